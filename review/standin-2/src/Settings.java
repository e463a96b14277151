/** Settings objects of two sites, from their site files in the form of the wire page. */
final class Settings {
  private Settings() {}

  private static String limits(int attempts, boolean retryAfter) {
    return "\"limits\":{\"cpuUsPerRequest\":0.0,\"cpuUsPerS\":500000,\"dialTimeout\":250000000,"
        + "\"keepalive\":30000000000,\"maxAttempts\":"
        + attempts
        + ",\"maxOpen\":20000,\"maxRetryAfter\":2000000000,\"mayCancel\":true,\"peers\":false,"
        + "\"probes\":true,\"retryAfter\":"
        + retryAfter
        + ",\"secondCopies\":false,\"streamsPerConn\":100},";
  }

  private static String queryClass(
      String name, String effect, double giveUpS, double goalS, double stretch, double worth, double windowS) {
    return String.format(
        java.util.Locale.ROOT,
        "{\"aimStretch\":%.1f,\"dedupScope\":\"all\",\"effect\":\"%s\",\"giveUp\":%d,\"goalTime\":%d,"
            + "\"keyTtl\":%d,\"lateValue\":0.1,\"name\":\"%s\",\"stream\":false,\"worth\":%.1f}",
        stretch, effect, (long) (giveUpS * 1e9), (long) (goalS * 1e9), (long) (windowS * 1e9), name, worth);
  }

  /**
   * The settings of semarang-buildhq for one gateway.
   *
   * @param windowS how long nodes drop the repeat of a load, in seconds; 15 at the site
   */
  static String semarang(double windowS) {
    return "{\"balancers\":1,\"classes\":["
        + queryClass("status-lookup", "repeatable", 5, 1, 1.5, 1, 5)
        + ","
        + queryClass("history-report", "repeatable", 20, 1.5, 2.5, 8, 5)
        + ","
        + queryClass("result-load", "by_key", 25, 3, 3, 12, windowS)
        + "],\"clients\":{\"marksRetry\":false},"
        + "\"contract\":{\"askWithin\":10000000000,\"cold\":12000000000,\"coldFrom\":0.31,\"fall\":1500000000,"
        + "\"fallMultiple\":2.5,\"graceToAnswer\":20000000,\"stopSendingWithin\":500000000},"
        + "\"deductions\":{\"crossZone\":0.015,\"lateFail\":0.059,\"probe\":0.0092,\"waste\":0.08},"
        + "\"discovery\":\"automatic\",\"kindOfService\":\"queries\",\"kinds\":[\"std-8\",\"std-16\"],\"layer\":0,"
        + limits(5, false)
        + "\"orgs\":[{\"fraction\":0.49,\"name\":\"site-surabaya\",\"quotaPerS\":72.0},"
        + "{\"fraction\":0.41,\"name\":\"site-bandung\",\"quotaPerS\":60.0},"
        + "{\"fraction\":0.1,\"name\":\"site-malang\",\"quotaPerS\":15.0}],\"overShareWorth\":0.1,\"selfIndex\":0,"
        + "\"specifics\":{\"classLoad\":[false,false,true],\"costInAnswers\":true,\"cpuOfKind\":[8,16],\"grants\":false,"
        + "\"largestShare\":0.4,\"notePeriod\":500000000,\"overbooked\":\"swap\",\"ramOfKindMb\":[16384.0,32768.0],"
        + "\"takesPriority\":true,\"widthByClass\":[1,2,2],\"yieldsToLoads\":[false,false,false]},"
        + "\"stats\":{\"names\":[\"util\",\"queue\",\"x0\",\"x1\"],\"via\":\"pull\"},\"tick\":5000000,"
        + "\"tiers\":[\"query-fleet\"],\"weights\":\"nominal\",\"worthBy\":\"request\",\"zone\":0,"
        + "\"zones\":[\"hall-a\",\"hall-b\",\"hall-c\"]}";
  }

  /** The settings of bandung-appbuild for one gateway. */
  static String bandung() {
    return "{\"balancers\":1,\"classes\":["
        + queryClass("status-check", "repeatable", 1.2, 0.25, 2, 1, 5)
        + ","
        + queryClass("history-report", "repeatable", 20, 3, 2.5, 20, 5)
        + ","
        + queryClass("result-load", "by_key", 20, 3, 2.5, 30, 12)
        + "],\"clients\":{\"marksRetry\":true},"
        + "\"contract\":{\"askWithin\":10000000000,\"cold\":15000000000,\"coldFrom\":0.35,\"fall\":1000000000,"
        + "\"fallMultiple\":2.5,\"graceToAnswer\":20000000,\"stopSendingWithin\":250000000},"
        + "\"deductions\":{\"crossZone\":0.032,\"lateFail\":0.05,\"probe\":0.01,\"waste\":0.056},"
        + "\"discovery\":\"automatic\",\"kindOfService\":\"queries\",\"kinds\":[\"std-8a\",\"std-8b\"],\"layer\":0,"
        + limits(6, true)
        + "\"orgs\":[{\"fraction\":0.81,\"name\":\"cimahi-site\",\"quotaPerS\":80.0},"
        + "{\"fraction\":0.19,\"name\":\"dago-site\",\"quotaPerS\":20.0}],\"overShareWorth\":0.05,\"selfIndex\":0,"
        + "\"specifics\":{\"classLoad\":[false,false,true],\"costInAnswers\":true,\"cpuOfKind\":[8,8],\"grants\":true,"
        + "\"largestShare\":0.4,\"notePeriod\":500000000,\"overbooked\":\"queue\",\"ramOfKindMb\":[16384.0,16384.0],"
        + "\"takesPriority\":false,\"widthByClass\":[1,4,2],\"yieldsToLoads\":[true,false,false]},"
        + "\"stats\":{\"names\":[\"util\",\"queue\",\"x0\"],\"via\":\"pull\"},\"tick\":5000000,"
        + "\"tiers\":[\"appbuild-query\"],\"weights\":\"silent\",\"worthBy\":\"request\",\"zone\":0,"
        + "\"zones\":[\"hall-a\",\"hall-b\"]}";
  }
}
