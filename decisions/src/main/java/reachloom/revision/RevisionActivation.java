package reachloom.revision;

import java.util.Optional;

/**
 * Has the host put revisions in force, one at a time, and keeps how the last one ended. Times are
 * nanoseconds of the clock handed in; confined to the thread of {@link RevisionDissemination}.
 */
final class RevisionActivation {
  /** By then the host should have put a revision in force, or rejected it. */
  private static final long OVERDUE_NANOS = 30_000_000_000L;

  private final RevisionLog log;
  private final RevisionDissemination.Host host;
  private RevisionLog.Entry applying; // null for none
  private long applyingSinceNanos;
  private boolean overdueReported;
  private RevisionLog.Entry rejected; // the last one that was rejected, or null
  private String rejection = "";

  RevisionActivation(RevisionLog log, RevisionDissemination.Host host) {
    this.log = log;
    this.host = host;
  }

  /** Hands the newest over, if its document is held and the host is done with the one before. */
  void offerNewest(long nowNanos) {
    if (applying != null) {
      return;
    }
    log.newest()
        .filter(RevisionLog.Entry::hasDocument)
        .filter(newest -> newest.fingerprint() != log.have().fingerprint())
        .filter(newest -> rejected == null || rejected.fingerprint() != newest.fingerprint())
        .ifPresent(newest -> apply(nowNanos, newest));
  }

  private void apply(long nowNanos, RevisionLog.Entry entry) {
    applying = entry;
    applyingSinceNanos = nowNanos;
    overdueReported = false;
    host.apply(nowNanos, entry.revision(), entry.document());
  }

  /** The host has a revision in force; false where it was not handed that one. */
  boolean onInForce(long number) {
    if (!isApplying(number)) {
      return false;
    }
    log.setInForce(applying);
    applying = null;
    return true;
  }

  /** The host can't put a revision in force; false where it was not handed that one. */
  boolean onRejected(long number, String reason) {
    if (!isApplying(number)) {
      return false;
    }
    rejected = applying;
    rejection = reason.isEmpty() ? "refused" : reason;
    applying = null;
    return true;
  }

  private boolean isApplying(long number) {
    return applying != null && applying.number() == number;
  }

  /** Whether that revision is in force, or was the last one to be rejected. */
  boolean isDone(long number) {
    return log.inForce().filter(e -> e.number() == number).isPresent()
        || rejected != null && rejected.number() == number;
  }

  /** Whether no revision has been put in force or rejected so far. */
  boolean isUntouched() {
    return log.inForce().isEmpty() && rejected == null;
  }

  /** What this member tells the aggregators of its zone. */
  RevisionMessage.Acknowledgement acknowledgement() {
    RevisionMessage.Have have = log.have();
    boolean rejectedNewer =
        rejected != null && (log.inForce().isEmpty() || rejected.number() > have.inForce());
    return rejectedNewer
        ? new RevisionMessage.Acknowledgement(rejected.number(), rejected.fingerprint(), rejection)
        : new RevisionMessage.Acknowledgement(have.inForce(), have.fingerprint(), "");
  }

  /** Raises an alarm, once, where the host takes too long. */
  void checkOverdue(long nowNanos) {
    if (applying != null && !overdueReported && nowNanos - applyingSinceNanos > OVERDUE_NANOS) {
      overdueReported = true;
      host.alarm(
          nowNanos, "revision " + applying.number() + " is not in force after 30 s, nor refused");
    }
  }

  /** The number of the revision that is being put in force. */
  Optional<Long> applyingNumber() {
    return Optional.ofNullable(applying).map(RevisionLog.Entry::number);
  }

  /** The last revision that was rejected, and why, for the status lines; not if it is in force. */
  Optional<String> rejectionLine() {
    return Optional.ofNullable(rejected)
        .filter(entry -> entry.fingerprint() != log.have().fingerprint())
        .map(entry -> "revision " + entry.number() + " refused: " + rejection);
  }
}
