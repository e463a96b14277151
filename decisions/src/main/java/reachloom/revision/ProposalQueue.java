package reachloom.revision;

import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.Deque;
import java.util.Iterator;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import reachloom.revision.ProposalResult.Kind;

/**
 * The documents that clients gave to this issuer, each until its last result is reported. One waits
 * at most, the newest; one is proposed at a time; a few are unresolved: they were proposed and
 * given up, and may yet be chosen. Confined to the thread of its {@link Proposer}.
 */
final class ProposalQueue {
  private static final long MILLISECOND = 1_000_000; // nanoseconds

  /**
   * A document that is not issued by then is not proposed any more: members need a part of the 10 s
   * that a change may take, too.
   */
  private static final long TIMEOUT_NANOS = 8_000 * MILLISECOND;

  private static final int MAX_UNRESOLVED = 4;

  /** A document as a client gave it. */
  private record Request(byte[] document, Consumer<ProposalResult> client, long receivedAtNanos) {}

  /** A request that has become a revision of the log, if it is chosen. */
  private record NumberedRequest(Request request, Revision revision) {
    long number() {
      return revision.number();
    }
  }

  private final BiConsumer<Consumer<ProposalResult>, ProposalResult> reporter;
  private final Deque<NumberedRequest> unresolved = new ArrayDeque<>();

  /** The request that is to be proposed next, or null. */
  private Request waiting;

  /** The request that is being proposed, or null. */
  private NumberedRequest current;

  /** Whether others may have been asked to accept the current one, so that it may be chosen. */
  private boolean currentSent;

  /**
   * An empty queue.
   *
   * @param reporter tells a client a result, after the present event
   */
  ProposalQueue(BiConsumer<Consumer<ProposalResult>, ProposalResult> reporter) {
    this.reporter = reporter;
  }

  // ---- Requests ----

  /** Takes a document, in place of one that waits. */
  void add(long nowNanos, byte[] document, Consumer<ProposalResult> client) {
    if (waiting != null) {
      report(
          waiting, Kind.SUPERSEDED, 0, "a newer document was given before this one was proposed");
    }
    waiting = new Request(document.clone(), client, nowNanos);
  }

  /** Whether a document waits to be proposed. */
  boolean hasWaiting() {
    return waiting != null;
  }

  /** Whether a document is being proposed. */
  boolean hasCurrent() {
    return current != null;
  }

  /** Whether there is nothing to propose. */
  boolean isIdle() {
    return waiting == null && current == null;
  }

  /** Whether that revision is the one that is being proposed. */
  boolean isCurrent(Revision revision) {
    return current != null && current.revision().equals(revision);
  }

  /** The revision that is being proposed; there has to be one. */
  Revision currentRevision() {
    return current.revision();
  }

  /** Its document. */
  byte[] currentDocument() {
    return current.request().document();
  }

  /** Begins to propose the document that waits; there has to be one, and no current one. */
  void startWaiting(Revision newest, long issuedAtMillis, String issuer) {
    Revision next = Revision.after(newest, waiting.document(), issuedAtMillis, issuer);
    current = new NumberedRequest(waiting, next);
    currentSent = false;
    waiting = null;
  }

  /** Others may be asked to accept the current one from now on. */
  void markCurrentSent() {
    currentSent = true;
  }

  // ---- Requests that are given up ----

  /** Whether the waiting document has waited for too long. */
  boolean isWaitingExpired(long nowNanos) {
    return waiting != null && nowNanos - waiting.receivedAtNanos() >= TIMEOUT_NANOS;
  }

  /** Whether the current document has been proposed for too long. */
  boolean isCurrentExpired(long nowNanos) {
    return current != null && nowNanos - current.request().receivedAtNanos() >= TIMEOUT_NANOS;
  }

  /** Withdraws the waiting document after its timeout. */
  void expireWaiting(long nowNanos) {
    withdrawWaiting(Kind.NO_MAJORITY, noMajority(nowNanos - waiting.receivedAtNanos()));
  }

  /** Gives up the current document after its timeout; see {@link #withdrawCurrent}. */
  boolean expireCurrent(long nowNanos) {
    return withdrawCurrent(
        Kind.NO_MAJORITY, noMajority(nowNanos - current.request().receivedAtNanos()));
  }

  private static String noMajority(long afterNanos) {
    return "no majority of the issuers answered within " + afterNanos / MILLISECOND + " ms";
  }

  /** Withdraws the waiting document, which nobody else has seen. */
  void withdrawWaiting(Kind kind, String text) {
    Request request = waiting;
    waiting = null;
    report(request, kind, 0, text + "; it is withdrawn");
  }

  /** Tells the client of the waiting document that this issuer does not vote. */
  void rejectWaiting(ProposalResult abstains) {
    Request request = waiting;
    waiting = null;
    reporter.accept(request.client(), abstains);
  }

  /**
   * Gives up the current document.
   *
   * @return whether it may yet be chosen, since others may have been asked to accept it; its client
   *     then gets a second result
   */
  boolean withdrawCurrent(Kind kind, String text) {
    NumberedRequest given = current;
    current = null;
    if (!currentSent) {
      report(given.request(), kind, 0, text + "; it is withdrawn");
      return false;
    }
    if (unresolved.size() >= MAX_UNRESOLVED) {
      unresolved.poll();
    }
    unresolved.add(given);
    report(
        given.request(),
        kind,
        given.number(),
        text + "; it was proposed and may yet be issued as revision " + given.number());
    return true;
  }

  // ---- Requests that are decided ----

  /** A newer revision is chosen: what was proposed up to its number is decided. */
  void settle(Revision newest) {
    for (Iterator<NumberedRequest> i = unresolved.iterator(); i.hasNext(); ) {
      NumberedRequest given = i.next();
      if (given.number() <= newest.number()) {
        i.remove();
        settle(given, newest, false);
      }
    }
    if (current != null && current.number() <= newest.number()) {
      NumberedRequest given = current;
      current = null;
      settle(given, newest, true);
    }
  }

  private void settle(NumberedRequest given, Revision newest, boolean mayBeRepeated) {
    Request request = given.request();
    long number = given.number();
    if (isChosen(given.revision(), newest)) {
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
