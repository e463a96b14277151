package reachloom.revision;

import java.util.Optional;

/**
 * Passes revisions to the host one at a time, and keeps the outcome of the last one. Times are
 * nanoseconds of the clock that the caller passes in; confined to the thread of {@link
 * RevisionDissemination}.
 */
final class RevisionActivation {
  /**
   * Time after which an alarm reports that the host has neither applied nor rejected a revision.
   */
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

  /** Passes the newest revision to the host if its document is held and the host is idle. */
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

  /** Records that the host has a revision in force; false if the host was not given that one. */
  boolean onInForce(long number) {
    if (!isApplying(number)) {
      return false;
    }
    log.setInForce(applying);
    applying = null;
    return true;
  }

  /** Records that the host rejects a revision; false if the host was not given that one. */
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

  /** Returns whether that revision is in force, or was the last one to be rejected. */
  boolean isCompleted(long number) {
    return log.inForce().filter(e -> e.number() == number).isPresent()
        || rejected != null && rejected.number() == number;
  }

  /** Returns whether no revision has been put in force or rejected so far. */
  boolean isInitial() {
    return log.inForce().isEmpty() && rejected == null;
  }

  /** Returns this member's acknowledgement to the aggregators of its zone. */
  RevisionMessage.Acknowledgement acknowledgement() {
    RevisionMessage.Have have = log.have();
    boolean rejectedNewer =
        rejected != null && (log.inForce().isEmpty() || rejected.number() > have.inForce());
    return rejectedNewer
        ? new RevisionMessage.Acknowledgement(rejected.number(), rejected.fingerprint(), rejection)
        : new RevisionMessage.Acknowledgement(have.inForce(), have.fingerprint(), "");
  }

  /** Raises one alarm per revision if the host takes too long. */
  void checkOverdue(long nowNanos) {
    if (applying != null && !overdueReported && nowNanos - applyingSinceNanos > OVERDUE_NANOS) {
      overdueReported = true;
      host.alarm(
          nowNanos,
          "revision " + applying.number() + " is neither in force nor refused after 30 s");
    }
  }

  /** Returns the number of the revision that the host is putting in force. */
  Optional<Long> applyingNumber() {
    return Optional.ofNullable(applying).map(RevisionLog.Entry::number);
  }

  /** Returns the status line of the last rejected revision; empty if that one is in force now. */
  Optional<String> rejectionLine() {
    return Optional.ofNullable(rejected)
        .filter(entry -> entry.fingerprint() != log.have().fingerprint())
        .map(entry -> "revision " + entry.number() + " refused: " + rejection);
  }
}
