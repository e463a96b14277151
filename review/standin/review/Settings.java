package review;

/** Settings of a small deployment, in the form that the wire page shows. */
final class Settings {
  private Settings() {}

  /** Returns the settings for a number of gateways; {@code @SELF@} stands for the own number. */
  static String small(int gateways) {
    return """
    {"balancers":%d,"selfIndex":@SELF@,"zone":0,"zones":["hall-a"],"kinds":["std-8"],
     "discovery":"automatic","tick":5000000,"weights":"nominal","worthBy":"request","layer":0,
     "tiers":["query-fleet"],"kindOfService":"queries","overShareWorth":0.1,
     "classes":[
      {"name":"status-lookup","effect":"repeatable","dedupScope":"all","keyTtl":5000000000,
       "giveUp":5000000000,"goalTime":1000000000,"aimStretch":1.5,"lateValue":0.1,"stream":false,"worth":1},
      {"name":"history-report","effect":"repeatable","dedupScope":"all","keyTtl":5000000000,
       "giveUp":20000000000,"goalTime":1500000000,"aimStretch":2.5,"lateValue":0.3,"stream":false,"worth":8},
      {"name":"result-load","effect":"by_key","dedupScope":"all","keyTtl":15000000000,
       "giveUp":25000000000,"goalTime":3000000000,"aimStretch":3,"lateValue":0.5,"stream":false,"worth":12}],
     "clients":{"marksRetry":false},
     "contract":{"askWithin":10000000000,"cold":12000000000,"coldFrom":0.31,"fall":1500000000,
      "fallMultiple":2.5,"graceToAnswer":20000000,"stopSendingWithin":500000000},
     "deductions":{"crossZone":0.015,"probe":0.0092,"waste":0.08,"lateFail":0.059},
     "limits":{"cpuUsPerS":500000,"dialTimeout":250000000,"keepalive":30000000000,"maxAttempts":5,
      "maxOpen":20000,"maxRetryAfter":2000000000,"mayCancel":true,"peers":false,"probes":true,
      "retryAfter":false,"secondCopies":false,"streamsPerConn":100},
     "orgs":[{"fraction":1.0,"name":"site-surabaya","quotaPerS":140.0}],
     "scoringMix":{"whole":0.3,"worstClass":0.2,"worstTenant":0.1,"worstWindow":0.4},
     "specifics":{"classLoad":[false,false,true],"costInAnswers":true,"cpuOfKind":[8],"grants":false,
      "largestShare":0.4,"notePeriod":500000000,"overbooked":"swap","ramOfKindMb":[16384.0],
      "takesPriority":true,"widthByClass":[1,2,2],"yieldsToLoads":[false,false,false]},
     "stats":{"names":["util","queue","x0","x1"],"via":"pull"}}"""
        .formatted(gateways)
        .replace("\n", "");
  }
}
