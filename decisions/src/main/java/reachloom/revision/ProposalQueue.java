package reachloom.revision;

import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.Deque;
import java.util.Iterator;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import reachloom.revision.ProposalResult.Kind;

/**
 * The documents that clients have submitted to this issuer, each held until its final result is
 * reported. At most one is waiting (the newest), and at most one is being proposed. Others are
 * unresolved: they were proposed and withdrawn, and may still be chosen. Of more than four
 * unresolved ones, the oldest is dropped without a final result. Confined to the thread of its
 * {@link Proposer}.
 */
final class ProposalQueue {
  private static final long NANOS_PER_MILLI = 1_000_000;

  /**
   * Time after which a document is withdrawn. It is less than the 10 s that a change may take,
   * since members need some of that time to put the revision in force.
   */
  private static final long TIMEOUT_NANOS = 8_000 * NANOS_PER_MILLI;

  private static final int MAX_UNRESOLVED = 4;

  /** A document that a client has submitted. */
  private record Request(byte[] document, Consumer<ProposalResult> client, long receivedAtNanos) {}

  /** A request with the revision under which its document is proposed. */
  private record NumberedRequest(Request request, Revision revision) {
    long number() {
      return revision.number();
    }
  }

  private final BiConsumer<Consumer<ProposalResult>, ProposalResult> reporter;
  private final Deque<NumberedRequest> unresolved = new ArrayDeque<>();

  /** The request to propose next, or null. */
  private Request waiting;

  /** The request being proposed, or null. */
  private NumberedRequest current;

  /** Whether the current revision may have been sent to other issuers, so that it may be chosen. */
  private boolean currentProposed;

  /**
   * Creates an empty queue.
   *
   * @param reporter reports a result to a client once the current event is handled
   */
  ProposalQueue(BiConsumer<Consumer<ProposalResult>, ProposalResult> reporter) {
    this.reporter = reporter;
  }

  // ---- Requests ----

  /** Adds a document, which supersedes the waiting one. */
  void add(long nowNanos, byte[] document, Consumer<ProposalResult> client) {
    if (waiting != null) {
      report(
          waiting, Kind.SUPERSEDED, 0, "a newer document was given before this one was proposed");
    }
    waiting = new Request(document.clone(), client, nowNanos);
  }

  /** Returns whether a document is waiting to be proposed. */
  boolean hasWaiting() {
    return waiting != null;
  }

  /** Returns whether a document is being proposed. */
  boolean hasCurrent() {
    return current != null;
  }

  /** Returns whether there is nothing to propose. */
  boolean isIdle() {
    return waiting == null && current == null;
  }

  /** Returns whether that revision is being proposed. */
  boolean isCurrent(Revision revision) {
    return current != null && current.revision().equals(revision);
  }

  /** Returns the revision that is being proposed; there must be one. */
  Revision currentRevision() {
    return current.revision();
  }

  /** Returns the document that is being proposed; there must be one. */
  byte[] currentDocument() {
    return current.request().document();
  }

  /** Makes the waiting document the current one; requires a waiting and no current one. */
  void startWaiting(Revision newest, long issuedAtMillis, String issuer) {
    Revision next = Revision.after(newest, waiting.document(), issuedAtMillis, issuer);
    current = new NumberedRequest(waiting, next);
    currentProposed = false;
    waiting = null;
  }

  /** Records that the current revision is about to be sent to other issuers. */
  void markCurrentProposed() {
    currentProposed = true;
  }

  // ---- Withdrawal ----

  /** Returns whether the waiting document has reached its timeout. */
  boolean isWaitingExpired(long nowNanos) {
    return waiting != null && nowNanos - waiting.receivedAtNanos() >= TIMEOUT_NANOS;
  }

  /** Returns whether the current document has reached its timeout. */
  boolean isCurrentExpired(long nowNanos) {
    return current != null && nowNanos - current.request().receivedAtNanos() >= TIMEOUT_NANOS;
  }

  /** Withdraws the waiting document after its timeout. */
  void expireWaiting(long nowNanos) {
    withdrawWaiting(Kind.NO_MAJORITY, noMajority(nowNanos - waiting.receivedAtNanos()));
  }

  /** Withdraws the current document after its timeout; see {@link #withdrawCurrent}. */
  boolean expireCurrent(long nowNanos) {
    return withdrawCurrent(
        Kind.NO_MAJORITY, noMajority(nowNanos - current.request().receivedAtNanos()));
  }

  /**
   * Returns the text of a timeout. A waiting document also reaches it behind another document, or
   * while this issuer lacks the newest document.
   */
  private static String noMajority(long afterNanos) {
    return "no majority of the issuers answered within " + afterNanos / NANOS_PER_MILLI + " ms";
  }

  /** Withdraws the waiting document, which has not been sent to any other issuer. */
  void withdrawWaiting(Kind kind, String text) {
    Request request = waiting;
    waiting = null;
    report(request, kind, 0, text + "; it is withdrawn");
  }

  /** Rejects the waiting document because this issuer does not vote. */
  void rejectWaiting(ProposalResult abstains) {
    Request request = waiting;
    waiting = null;
    reporter.accept(request.client(), abstains);
  }

  /**
   * Withdraws the current document.
   *
   * @return whether it may still be chosen, since it may have been sent to other issuers; its
   *     client then receives a second result, unless the request is dropped as the oldest of too
   *     many unresolved ones
   */
  boolean withdrawCurrent(Kind kind, String text) {
    NumberedRequest proposal = current;
    current = null;
    if (!currentProposed) {
      report(proposal.request(), kind, 0, text + "; it is withdrawn");
      return false;
    }
    if (unresolved.size() >= MAX_UNRESOLVED) {
      unresolved.poll();
    }
    unresolved.add(proposal);
    report(
        proposal.request(),
        kind,
        proposal.number(),
        text + "; it was proposed and may yet be issued as revision " + proposal.number());
    return true;
  }

  // ---- Decided requests ----

  /**
   * Settles all proposals up to the number of a newer chosen revision: reports their results, or
   * queues the current document again if another one was issued and none is waiting.
   */
  void settle(Revision newest) {
    for (Iterator<NumberedRequest> i = unresolved.iterator(); i.hasNext(); ) {
      NumberedRequest proposal = i.next();
      if (proposal.number() <= newest.number()) {
        i.remove();
        settle(proposal, newest, false);
      }
    }
    if (current != null && current.number() <= newest.number()) {
      NumberedRequest proposal = current;
      current = null;
      settle(proposal, newest, true);
    }
  }

  private void settle(NumberedRequest proposal, Revision newest, boolean mayBeRepeated) {
    Request request = proposal.request();
    long number = proposal.number();
    if (isChosen(proposal.revision(), newest)) {
      report(request, Kind.ISSUED, number, "issued as revision " + number);
    } else if (newest.number() > number + 1) {
      report(
          request,
          Kind.OVERTAKEN,
          number,
          "it was proposed as revision "
              + number
              + "; revision "
              + newest.number()
              + " is proved, and whether it was issued before is not known");
    } else if (mayBeRepeated && waiting == null) {
      waiting = request;
    } else {
      report(request, Kind.SUPERSEDED, number, "another document was issued as revision " + number);
    }
  }

  private static boolean isChosen(Revision revision, Revision newest) {
    boolean followed =
        newest.number() == revision.number() + 1
            && Arrays.equals(newest.previous(), revision.chain());
    return newest.equals(revision) || followed;
  }

  private void report(Request request, Kind kind, long number, String text) {
    reporter.accept(request.client(), new ProposalResult(kind, number, text));
  }
}
