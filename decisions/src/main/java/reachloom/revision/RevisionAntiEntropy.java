package reachloom.revision;

import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.TreeMap;
import reachloom.revision.PeerBackoff.Misbehaviour;

/**
 * The repairing part of epidemic dissemination (anti-entropy): members compare what they hold by
 * the numbers that ride on each packet, and the one that is behind asks, or is told. Issuers tell
 * each other what they hold at regular intervals. A member that may have missed much does not wait
 * for that: see {@link NewestRevisionQuery}.
 *
 * <p>Times are nanoseconds of the clock handed in; confined to the thread of {@link
 * RevisionDissemination}.
 */
final class RevisionAntiEntropy {
  /** For zones to tell their own, before an issuer tells who is behind. */
  private static final long ZONE_GRACE_NANOS = 1_000_000_000;

  /** The same for an aggregator that is behind. */
  private static final long AGGREGATOR_GRACE_NANOS =
      EagerPush.ISSUE_ROUNDS * EagerPush.ROUND_INTERVAL_NANOS;

  private static final int MAX_QUESTIONS = 8;

  /** For the answer to a question for the newest revision. */
  private static final long ANSWER_TIMEOUT_NANOS = 1_500_000_000;

  /** The request for the newest notice. */
  static final RevisionMessage.Want WANT_NEWEST = new RevisionMessage.Want(0, 0, 0, 0);

  /** A peer that was asked for the newest notice, as it claims to know that number. */
  private record Question(long claimedNumber, long answerDueAtNanos) {}

  private final DisseminationMember self;
  private final RevisionLog log;
  private final PeerTable peers;
  private final PeerMessenger messenger;
  private final NoticeSender notices;
  private final TreeMap<String, Question> questions = new TreeMap<>(); // by name of the peer
  private long nextExchangeAtNanos;

  RevisionAntiEntropy(
      RevisionLog log,
      PeerTable peers,
      PeerMessenger messenger,
      NoticeSender notices,
      long firstExchangeAtNanos) {
    self = peers.self();
    this.log = log;
    this.peers = peers;
    this.messenger = messenger;
    this.notices = notices;
    nextExchangeAtNanos = firstExchangeAtNanos;
  }

  /** A packet tells the newest number that its sender holds: who is behind is told, or asks. */
  void onHave(long nowNanos, Peer sender, RevisionMessage.Have have) {
    if (have.known() > log.newestNumber()) {
      ask(nowNanos, sender, have.known());
    } else if (have.known() < log.newestNumber()
        && !notices.isCongested()
        && (peers.isInZone(sender) || mayTellOthersZone(nowNanos))) {
      notices.enqueue(nowNanos, sender);
    }
  }

  private boolean mayTellOthersZone(long nowNanos) {
    return self.isIssuer() && nowNanos - log.newestSinceNanos() > ZONE_GRACE_NANOS;
  }

  /** At an issuer: an aggregator tells which revision it has summed up. */
  void onSum(long nowNanos, Peer sender, RevisionMessage.Census sum) {
    if (sum.number() > log.newestNumber()) {
      ask(nowNanos, sender, sum.number());
    } else if (sum.number() < log.newestNumber()
        && nowNanos - log.newestSinceNanos() > AGGREGATOR_GRACE_NANOS) {
      notices.enqueue(nowNanos, sender);
    }
  }

  /** Asks a peer that claims to know a newer revision for its proof; once, until it is due. */
  private void ask(long nowNanos, Peer peer, long claimedNumber) {
    if (!questions.containsKey(peer.name())
        && questions.size() < MAX_QUESTIONS
        && !peers.backoff().isBackedOff(nowNanos, peer.name())
        && messenger.send(nowNanos, peer, WANT_NEWEST)) {
      questions.put(peer.name(), new Question(claimedNumber, nowNanos + ANSWER_TIMEOUT_NANOS));
    }
  }

  /** A peer has sent a notice; the number that it was asked to prove, if it was asked. */
  OptionalLong onAnswer(Peer sender) {
    Question question = questions.remove(sender.name());
    return question == null ? OptionalLong.empty() : OptionalLong.of(question.claimedNumber);
  }

  /** This process has stood still: no peer is to blame for an answer that did not come. */
  void onStandstill() {
    questions.clear();
  }

  /** Gives up questions whose answer is overdue. */
  void tick(long nowNanos) {
    for (Map.Entry<String, Question> entry : List.copyOf(questions.entrySet())) {
      Question question = entry.getValue();
      if (nowNanos >= question.answerDueAtNanos) {
        questions.remove(entry.getKey());
        peers
            .backoff()
            .penalize(
                nowNanos, entry.getKey(), Misbehaviour.UNPROVEN_CLAIM, question.claimedNumber);
      }
    }
  }

  /**
   * At an issuer, at regular intervals: tells the other issuers what it holds, so that one that was
   * cut off learns what it missed; and aggregators from which nothing has come for long, as they
   * may not know that this issuer has restarted and can't prove who they are.
   */
  void exchange(long nowNanos) {
    if (!self.isIssuer() || nowNanos < nextExchangeAtNanos) {
      return;
    }
    nextExchangeAtNanos = nowNanos + AcknowledgementTracker.REPORT_INTERVAL_NANOS;
    self.otherIssuers().forEach(issuer -> messenger.send(nowNanos, issuer, log.have()));
    peers
        .peersByPlace()
        .forEach(
            (place, members) -> {
              List<String> names = members.stream().map(state -> state.peer.name()).toList();
              AggregatorElection.elect(place, names).stream()
                  .flatMap(name -> peers.find(name).stream())
                  .filter(state -> isSilent(nowNanos, state))
                  .forEach(state -> messenger.send(nowNanos, state.peer, log.have()));
            });
  }

  private static boolean isSilent(long nowNanos, PeerTable.PeerState state) {
    return nowNanos - state.heardAtNanos > 2 * AcknowledgementTracker.REPORT_INTERVAL_NANOS;
  }
}
