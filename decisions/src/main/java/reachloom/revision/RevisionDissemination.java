package reachloom.revision;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Consumer;
import reachloom.revision.PeerTable.Other;
import reachloom.revision.PeerTable.Strike;
import reachloom.scheduler.state.TokenBucket;

/**
 * One member's part in spreading revisions: hears of them, proves them, fetches their documents,
 * has the host put the newest in force, passes it on, and lets it be known where it is in force. An
 * issuer's has no other part; its council hands in what was decided. Times are nanoseconds of the
 * clock handed in; all calls come from one thread.
 *
 * <p>Whoever holds a revision's document pushes the notice to some of its own zone, with the delta
 * from the one before where that fits; issuers push to some of each zone. What is lost is repaired
 * by what rides on each packet, by the zone's counters, which remind who does not have it in force,
 * and by the issuers, which answer a census that is behind.
 */
public final class RevisionDissemination implements RevisionRepository {
  /** What carries a revision out. */
  public interface Host {
    /**
     * Puts a revision in force, in its own time; {@link RevisionDissemination#inForce} or {@link
     * RevisionDissemination#refused} tells how it ended, also from within this call. The next is
     * handed over only then.
     */
    void apply(long now, Revision revision, byte[] document);

    /** Something that an operator has to know, once each time that it comes up. */
    void alarm(long now, String what);
  }

  /** One that was asked for the newest notice, as it claims to know of that number. */
  private record Asked(long number, long until) {}

  private static final long MILLI = 1_000_000; // nanoseconds
  private static final long SECOND = 1_000 * MILLI;
  private static final int FANOUT =
      3; // members of the own zone that are told at once, and a wave later
  private static final int WAVES = 2; // with 3 each, one of 400 is not told by anybody
  private static final int ISSUE_WAVES =
      3; // members of each place that the issuing issuer tells, one a wave
  private static final long WAVE = 100 * MILLI; // long enough to hear from some who know it already
  private static final long RETELL = 500 * MILLI; // until one that was told is told again
  private static final long GRACE =
      SECOND; // for zones to tell their own, before issuers tell who lacks it
  private static final int MAX_OWED = 64;
  private static final int MAX_ASKED = 8;
  private static final long ANSWER = 1_500 * MILLI; // to a question for the newest notice
  private static final int PROOFS =
      32; // checked in a second: three signatures of 0.15 ms each, 2% of a core
  private static final long REMIND_AFTER =
      600 * MILLI; // the waves have gone through a zone by then
  private static final long REMIND_AGAIN = SECOND; // doubling
  private static final int MAX_REMIND_DOUBLINGS = 1;
  private static final int REMINDERS = 2; // a tick: 10 KB a second
  private static final long CENSUS = 250 * MILLI; // after a change
  private static final long CENSUS_AGAIN = 2 * SECOND;
  private static final long SEEK = 500 * MILLI; // until one that knows nothing asks again, doubling
  private static final int MAX_SEEK_DOUBLINGS = 4;
  private static final int SEEKS_AFTER_STANDSTILL = 2;
  private static final int EARLY =
      8; // one of so many that start with nothing asks an issuer at once
  private static final long STANDSTILL = SECOND; // between two ticks
  private static final int MAX_VOTES = 9;
  private static final int MAX_NAME = 64;
  private static final int ACKS = 4; // a second, to those that ask for them by reminding
  private static final long APPLIED = 30 * SECOND; // the host should have put it in force by then

  private final String name;
  private final int place;
  private final boolean issuer;
  private final List<Peer> issuers;
  private final int quorum;
  private final SignatureScheme seal;
  private final SplittableRandom random;
  private final RevisionMessageSender outlet;
  private final Host host;
  private final RevisionLog log = new RevisionLog();
  private final PeerTable neighbours;
  private final TransferQueue serving = new TransferQueue();
  private final AcknowledgementAggregator counting = new AcknowledgementAggregator();
  private final AcknowledgementSummary sums = new AcknowledgementSummary();
  private final ProposalCache drafts = new ProposalCache();
  private final FetchScheduler pull;
  private final Map<String, Peer> owed = new LinkedHashMap<>();
  private final TreeMap<String, Asked> asked = new TreeMap<>();
  private final TokenBucket proofs = new TokenBucket(PROOFS, PROOFS);
  private final TokenBucket acks = new TokenBucket(ACKS, ACKS);
  private final ArrayDeque<Other> pushes = new ArrayDeque<>();
  private final Set<String> acksDue = new TreeSet<>();
  private final Set<String> censusDue = new TreeSet<>();
  private List<String> counters = List.of();
  private List<String> members = List.of();
  private RevisionLog.Entry applying;
  private long applyingSince;
  private boolean alarmed;
  private RevisionLog.Entry refused;
  private String refusal = "";
  private long learntAt;
  private long issuerHeardAt;
  private boolean issuerHeard;
  private int waves;
  private long nextWave;
  private boolean changed;
  private long nextCensus;
  private long censusAgain;
  private int seeks;
  private int seeksLeft = Integer.MAX_VALUE;
  private long nextSeek;
  private long lastTick;

  /**
   * A member that starts with nothing.
   *
   * @param place the region in the upper byte, the zone in the lower; 0 where unknown
   * @param issuer whether this member is one of the issuers
   * @param issuers all issuers that the settings name, at their static addresses, this one too if
   *     it is one
   * @param quorum how many votes of issuers prove a revision
   */
  public RevisionDissemination(
      String name,
      int place,
      boolean issuer,
      List<Peer> issuers,
      int quorum,
      SignatureScheme seal,
      SplittableRandom random,
      RevisionMessageSender outlet,
      Host host,
      long now) {
    this.name = name;
    this.place = place;
    this.issuer = issuer;
    this.issuers = List.copyOf(issuers);
    this.quorum = quorum;
    this.seal = seal;
    this.random = random;
    this.outlet = outlet;
    this.host = host;
    neighbours = new PeerTable(name, place, issuers, random);
    pull = new FetchScheduler(neighbours, log, outlet, random);
    nextSeek = now + random.nextLong(SEEK);
    censusAgain = now + random.nextLong(CENSUS_AGAIN);
    lastTick = now;
    peers(List.of());
  }

  /**
   * Who is present now, this member not among them; to be called when it has changed, once a tick.
   */
  public void peers(Collection<Peer> present) {
    neighbours.present(present);
    Set<String> names = new TreeSet<>();
    neighbours.zone().forEach(o -> names.add(o.peer.name()));
    if (!issuer) {
      names.add(name);
    }
    List<String> there = List.copyOf(names);
    if (there.equals(members)) {
      return;
    }
    members = there;
    counting.keep(names);
    List<String> before = counters;
    counters = AcknowledgementAggregator.counters(place, members);
    counters.stream().filter(c -> !before.contains(c)).forEach(acksDue::add);
    acksDue.retainAll(counters);
    if (counts() && !before.contains(name)) {
      censusDue.clear();
      noteSelf();
    }
    changed = true;
  }

  /** What rides on each packet of this member. */
  public RevisionMessage.Have have() {
    RevisionLog.Entry in = log.inForce();
    RevisionLog.Entry held = log.newestHeld();
    return new RevisionMessage.Have(
        in == null ? 0 : in.revision().number(),
        in == null ? 0 : in.mark(),
        held == null ? 0 : held.revision().number());
  }

  // ---- What comes ----

  /**
   * Words have come from a member whose sender is proved; those among issuers are not looked at
   * here.
   */
  public void hear(long now, Peer sender, List<RevisionMessage> words) {
    if (sender.name().equals(name)) {
      return;
    }
    if (neighbours.isIssuer(sender.name())) {
      issuerHeard = true;
      issuerHeardAt = now;
    }
    Other other = neighbours.get(sender.name());
    if (other != null) {
      other.heardAt = now;
    }
    boolean liar = neighbours.isLiar(now, sender.name());
    for (RevisionMessage w : words) {
      if (w instanceof RevisionMessage.Have h) {
        have(now, sender, h);
      } else if (w instanceof RevisionMessage.Notice n && !liar) {
        notice(now, sender, n);
      } else if (w instanceof RevisionMessage.Want want) {
        want(now, sender, want);
      } else if (w instanceof RevisionMessage.Piece p && !liar) {
        piece(now, sender, p);
      } else if (w instanceof RevisionMessage.Acknowledgement a) {
        changed |=
            neighbours.isOfZone(sender)
                && counting.note(sender.name(), a.number(), a.mark(), a.refusal());
      } else if (w instanceof RevisionMessage.Census c) {
        census(now, sender, c);
      }
    }
    step(now);
  }

  private void have(long now, Peer sender, RevisionMessage.Have h) {
    Other o = neighbours.get(sender.name());
    if (o != null) {
      o.known = h.known();
      o.inForce = h.inForce();
      o.mark = h.mark();
    }
    if (neighbours.isOfZone(sender)) {
      changed |= counting.have(sender.name(), h.inForce(), h.mark());
    }
    long newest = log.newestNumber();
    if (h.known() > newest) {
      ask(now, sender, h.known());
    } else if (h.known() == newest) {
      pull.source(sender);
    } else if (h.known() < newest
        && !busy()
        && (neighbours.isOfZone(sender) || issuer && now - learntAt > GRACE)) {
      owe(now, sender);
    }
  }

  /**
   * Asks one that says it knows of a newer revision for the proof; once, until it had time to
   * answer.
   */
  private void ask(long now, Peer peer, long number) {
    if (!asked.containsKey(peer.name())
        && asked.size() < MAX_ASKED
        && !neighbours.rests(now, peer.name())
        && tell(now, peer, new RevisionMessage.Want(0, 0, 0, 0))) {
      asked.put(peer.name(), new Asked(number, now + ANSWER));
    }
  }

  private void owe(long now, Peer peer) {
    owe(now, peer, RETELL);
  }

  private void owe(long now, Peer peer, long pause) {
    Other o = neighbours.get(peer.name());
    boolean justTold = o != null && o.told == log.newestNumber() && now - o.toldAt < pause;
    // Who tells of one has its document: the other will ask for that next.
    if (log.newest() != null
        && log.newest().document() != null
        && owed.size() < MAX_OWED
        && !justTold) {
      owed.put(peer.name(), peer);
    }
  }

  private void notice(long now, Peer sender, RevisionMessage.Notice n) {
    Revision r = n.revision();
    if (!sane(r, n.votes())) {
      neighbours.strike(now, sender.name(), Strike.LIED, 0);
      return;
    }
    Asked question = asked.remove(sender.name());
    RevisionLog.Standing standing = log.judge(r);
    if (standing == RevisionLog.Standing.HELD) {
      again(now, sender, r);
    } else if (standing == RevisionLog.Standing.OLDER) {
      owe(now, sender);
    } else if (!proofs.take(now)) {
      return; // it will be told again
    } else if (!proved(r, n.votes())) {
      neighbours.strike(now, sender.name(), Strike.LIED, 0);
      return;
    } else if (standing == RevisionLog.Standing.FORK) {
      forked(now, r);
    } else {
      learn(now, r, n.votes(), null);
      pull.source(sender);
    }
    if (question != null && question.number > log.newestNumber()) {
      neighbours.strike(
          now, sender.name(), Strike.UNPROVED, question.number); // it can't prove what it says
    } else {
      neighbours.good(sender.name(), r.number());
    }
  }

  private static boolean sane(Revision r, List<Vote> votes) {
    return r.number() > 0
        && r.previous().length == Revision.HASH_BYTES
        && r.digest().length == Revision.HASH_BYTES
        && r.size() >= 0
        && r.size() <= Revision.MAX_DOCUMENT_BYTES
        && r.issuer().length() <= MAX_NAME
        && votes.size() <= MAX_VOTES;
  }

  private boolean proved(Revision r, List<Vote> votes) {
    byte[] chain = r.chain();
    Set<String> who = new TreeSet<>();
    for (Vote v : votes) {
      if (who.size() < quorum
          && neighbours.isIssuer(v.issuer())
          && !who.contains(v.issuer())
          && seal.verify(v.issuer(), chain, v.signature())) {
        who.add(v.issuer());
      }
    }
    return who.size() >= quorum;
  }

  /**
   * Somebody tells of one that is held here: it has the document, and a counter wants to know of
   * us.
   */
  private void again(long now, Peer sender, Revision r) {
    Other o = neighbours.get(sender.name());
    if (o != null) {
      o.known = Math.max(o.known, r.number());
    }
    if (pull.isFor(r)) {
      pull.pushed(now, sender);
    }
    RevisionLog.Entry in = log.inForce();
    boolean done =
        in != null && in.revision().number() == r.number()
            || refused != null && refused.revision().number() == r.number();
    if (done && neighbours.isOfZone(sender) && acks.take(now)) {
      tell(now, sender, acknowledgement());
    }
  }

  private void forked(long now, Revision r) {
    if (log.fork(r)) {
      host.alarm(
          now,
          "two revisions are proved that can't both be: number "
              + r.number()
              + " by "
              + r.issuer()
              + " is not taken");
    }
  }

  private void learn(long now, Revision r, List<Vote> votes, byte[] document) {
    byte[] held = document == null ? drafts.document(r.number(), r.mark()).orElse(null) : document;
    log.add(r, votes, held);
    learntAt = now;
    seeksLeft = 0;
    pushes.clear();
    waves = 0;
    neighbours.zone().forEach(o -> o.reminders = 0);
    changed = true;
    pull.go(now, held == null ? r : null);
    if (held != null) {
      arrived(now, 1);
    }
  }

  /** The document of the newest is here: it goes on to others, and to the host. */
  private void arrived(long now, int issueWaves) {
    pull.go(now, null);
    waves = issuer ? issueWaves : rides() ? WAVES : WAVES * FANOUT; // of a large one, one at a time
    nextWave = now;
    offer(now);
  }

  private void want(long now, Peer asker, RevisionMessage.Want w) {
    if (w.number() == 0) {
      owe(now, asker, WAVE); // what was told before may have been lost
      return;
    }
    RevisionLog.Entry e = log.held(w.number(), w.base() == 0 ? w.baseMark() : 0);
    byte[] document = e == null ? null : e.document();
    if (document == null && w.base() == 0 && neighbours.isIssuer(asker.name())) {
      document = drafts.document(w.number(), w.baseMark()).orElse(null);
    }
    if (document == null) {
      if (log.newestNumber() > w.number()) {
        owe(now, asker);
      }
      return;
    }
    RevisionLog.Entry base = w.base() == 0 ? null : log.held(w.base(), w.baseMark());
    byte[] delta = base == null ? document : Delta.encode(base.document(), document);
    if (delta.length < document.length) {
      serving.order(now, asker, w.number(), w.base(), delta, w.from());
    } else {
      serving.order(now, asker, w.number(), 0, document, w.from());
    }
  }

  private void piece(long now, Peer sender, RevisionMessage.Piece p) {
    byte[] document = pull.piece(now, sender, p);
    if (document != null) {
      log.document(p.number(), document);
      arrived(now, 1);
    }
    drafts.piece(now, sender, p, log, neighbours);
  }

  private void census(long now, Peer sender, RevisionMessage.Census c) {
    if (!issuer || sender.place() != c.place() || neighbours.isIssuer(sender.name())) {
      return;
    }
    Set<String> there = new TreeSet<>(Set.of(sender.name()));
    neighbours.places().getOrDefault(c.place(), List.of()).forEach(o -> there.add(o.peer.name()));
    if (!AcknowledgementAggregator.mayCount(c.place(), there, sender.name())) {
      return;
    }
    if (c.number() > log.newestNumber()) {
      ask(now, sender, c.number());
    } else {
      sums.told(now, sender.name(), c);
      if (c.number() < log.newestNumber() && now - learntAt > WAVE * ISSUE_WAVES) {
        owe(now, sender);
      }
    }
  }

  // ---- The clock ----

  /** Looks at the clock; to be called each 50 to 100 ms. */
  public void tick(long now) {
    long gap = now - lastTick;
    lastTick = now;
    if (gap > STANDSTILL) {
      woke(now, gap);
    }
    for (Map.Entry<String, Asked> a : List.copyOf(asked.entrySet())) {
      if (now >= a.getValue().until) {
        asked.remove(a.getKey());
        neighbours.strike(now, a.getKey(), Strike.UNPROVED, a.getValue().number);
      }
    }
    if (applying != null && !alarmed && now - applyingSince > APPLIED) {
      alarmed = true;
      host.alarm(
          now,
          "revision " + applying.revision().number() + " is not in force after 30 s, nor refused");
    }
    seek(now);
    wave(now);
    remind(now);
    if (counts() && (changed && now >= nextCensus || now >= censusAgain)) {
      changed = false;
      nextCensus = now + CENSUS;
      censusAgain = now + CENSUS_AGAIN;
      issuers.forEach(i -> censusDue.add(i.name()));
    }
    if (issuer && now >= censusAgain) {
      censusAgain = now + CENSUS_AGAIN;
      meet(now);
    }
    step(now);
  }

  /**
   * An issuer tells the others what it has, so that one that was apart learns what it missed; and
   * counters from which it hears nothing: they may not know that it has started anew and can't
   * prove who they are.
   */
  private void meet(long now) {
    issuers.stream().filter(i -> !i.name().equals(name)).forEach(i -> tell(now, i, have()));
    neighbours
        .places()
        .forEach(
            (where, there) -> {
              List<String> names = there.stream().map(o -> o.peer.name()).toList();
              AcknowledgementAggregator.counters(where, names).stream()
                  .map(neighbours::get)
                  .filter(o -> now - o.heardAt > 2 * CENSUS_AGAIN)
                  .forEach(o -> tell(now, o.peer, have()));
            });
  }

  /** This process stood still: nobody is to blame, and much may have happened. */
  private void woke(long now, long gap) {
    asked.clear();
    neighbours.shift(gap);
    pull.shift(gap);
    drafts.shift(gap);
    seeks = 1;
    seeksLeft = Math.max(seeksLeft, SEEKS_AFTER_STANDSTILL);
    nextSeek = now;
  }

  /** One that knows nothing, or may have missed something, asks for the newest. */
  private void seek(long now) {
    if (seeksLeft <= 0 || now < nextSeek) {
      return;
    }
    RevisionMessage.Want newest = new RevisionMessage.Want(0, 0, 0, 0);
    List<Other> near =
        neighbours.draw(neighbours.zone(), 1, o -> !neighbours.rests(now, o.peer.name()));
    near.forEach(o -> tell(now, o.peer, newest));
    // Where all start at once, some ask the issuers, and the others their zone.
    if (seeks > 0 || counts() && members.size() > 1 || random.nextInt(EARLY) == 0) {
      Peer i = neighbours.anIssuer(now);
      if (i != null) {
        tell(now, i, newest);
      }
    }
    seeksLeft--;
    long pause = SEEK << Math.min(seeks++, MAX_SEEK_DOUBLINGS);
    nextSeek = now + pause / 2 + random.nextLong(pause);
  }

  /** Draws those that are told of the newest next. */
  private void wave(long now) {
    if (waves <= 0 || now < nextWave || !pushes.isEmpty() || busy()) {
      return;
    }
    waves--;
    nextWave = now + WAVE;
    long newest = log.newestNumber();
    if (issuer) {
      neighbours
          .places()
          .values()
          .forEach(p -> pushes.addAll(neighbours.draw(p, 1, o -> lacks(o, newest))));
    } else {
      int fanout = rides() ? FANOUT : 1;
      pushes.addAll(neighbours.draw(neighbours.zone(), fanout, o -> lacks(o, newest)));
    }
  }

  /** Whether the newest, or the change to it, is so small that it goes out with the notice. */
  private boolean rides() {
    return riding(log.newest(), null) != null;
  }

  /** Others wait for a large document: who hears of it now would come to wait, too. */
  private boolean busy() {
    return !serving.idle() && !rides();
  }

  private static boolean lacks(Other o, long newest) {
    return o.known < newest && o.told < newest;
  }

  /**
   * A counter reminds those of its place of which it does not know that they have the newest in
   * force.
   */
  private void remind(long now) {
    RevisionLog.Entry newest = log.newest();
    if (!counts()
        || newest == null
        || newest.document() == null
        || now - learntAt < REMIND_AFTER
        || busy()) {
      return;
    }
    int left = REMINDERS;
    for (Other o : neighbours.zone()) {
      long pause = REMIND_AGAIN << Math.min(o.reminders, MAX_REMIND_DOUBLINGS);
      boolean due =
          now - o.toldAt >= pause
              && !counting.has(o.peer.name(), newest)
              && !counting.refuses(o.peer.name(), newest);
      if (due) {
        if (left-- == 0 || !tellNewest(now, o.peer)) {
          return;
        }
        o.reminders++;
      }
    }
  }

  private boolean counts() {
    return !issuer && counters.contains(name);
  }

  // ---- What goes out ----

  /** Does what is due, as far as the budget bears it: first what is small. */
  private void step(long now) {
    for (String c : List.copyOf(acksDue)) {
      Other o = neighbours.get(c);
      boolean nothing = log.inForce() == null && refused == null;
      if (o == null || nothing || tell(now, o.peer, acknowledgement())) {
        acksDue.remove(c);
      }
    }
    pull.step(now);
    drafts.step(now, outlet);
    for (Peer p : List.copyOf(owed.values())) {
      if (log.newest().document() == null || !tellNewest(now, p)) {
        break;
      }
      owed.remove(p.name());
    }
    while (!pushes.isEmpty()
        && (pushes.peek().known >= log.newestNumber() || tellNewest(now, pushes.peek().peer))) {
      pushes.poll();
    }
    if (!censusDue.isEmpty()) {
      RevisionMessage.Census census = census(now);
      issuers.stream()
          .filter(i -> censusDue.contains(i.name()) && tell(now, i, census))
          .forEach(i -> censusDue.remove(i.name()));
    }
    serving.tick(now, outlet);
  }

  private RevisionMessage.Census census(long now) {
    RevisionLog.Entry newest = log.newest();
    if (newest == null) {
      return new RevisionMessage.Census(place, 0, members.size(), 0, 0, List.of(), 0);
    }
    return counting.census(place, newest, members, (now - learntAt) / MILLI);
  }

  private boolean tell(long now, Peer to, RevisionMessage word) {
    return outlet.send(now, to.name(), to.address(), List.of(word));
  }

  /** Tells one of the newest; where the delta from what it has is small, at once with that. */
  private boolean tellNewest(long now, Peer to) {
    RevisionLog.Entry newest = log.newest();
    List<RevisionMessage> words = new ArrayList<>();
    words.add(new RevisionMessage.Notice(newest.revision(), newest.votes()));
    Other o = neighbours.get(to.name());
    RevisionMessage.Piece riding = riding(newest, o);
    if (riding != null) {
      words.add(riding);
    }
    if (!outlet.send(now, to.name(), to.address(), words)) {
      return false;
    }
    if (o != null) {
      o.told = newest.revision().number();
      o.toldAt = now;
    }
    return true;
  }

  /**
   * The whole change in one piece that fits a packet beside the notice, or null; {@code to} may be
   * null.
   */
  private RevisionMessage.Piece riding(RevisionLog.Entry newest, Other to) {
    if (newest.document() == null) {
      return null;
    }
    long number = newest.revision().number();
    RevisionLog.Entry base =
        to != null && to.inForce > 0 ? log.held(to.inForce, to.mark) : log.heldBelow(number);
    byte[] delta =
        base == null ? newest.document() : Delta.encode(base.document(), newest.document());
    boolean smaller = base != null && delta.length < newest.document().length;
    byte[] bytes = smaller ? delta : newest.document();
    RevisionMessage.Piece piece =
        new RevisionMessage.Piece(number, smaller ? base.revision().number() : 0, 0, 1, bytes);
    int notice = outlet.encodedBytes(new RevisionMessage.Notice(newest.revision(), newest.votes()));
    return bytes.length <= ChunkedFetch.PIECE
            && notice + outlet.encodedBytes(piece) <= outlet.maxPacketBytes()
        ? piece
        : null;
  }

  private RevisionMessage.Acknowledgement acknowledgement() {
    if (refused != null
        && (log.inForce() == null || refused.revision().number() > have().inForce())) {
      return new RevisionMessage.Acknowledgement(
          refused.revision().number(), refused.mark(), refusal);
    }
    return new RevisionMessage.Acknowledgement(have().inForce(), have().mark(), "");
  }

  // ---- The host ----

  /** Hands the newest over, if the host has ended with the one before. */
  private void offer(long now) {
    RevisionLog.Entry e = log.newest();
    boolean wanted =
        applying == null
            && e != null
            && e.document() != null
            && e.mark() != have().mark()
            && (refused == null || refused.mark() != e.mark());
    if (wanted) {
      applying = e;
      applyingSince = now;
      alarmed = false;
      host.apply(now, e.revision(), e.document());
    }
  }

  /** The host has that revision in force. */
  public void inForce(long now, long number) {
    if (applying != null && applying.revision().number() == number) {
      log.inForce(applying);
      applied(now);
    }
  }

  /** The host can't put that revision in force; the one before stays. */
  public void refused(long now, long number, String reason) {
    if (applying != null && applying.revision().number() == number) {
      refused = applying;
      refusal = reason.isEmpty() ? "refused" : reason;
      applied(now);
    }
  }

  private void applied(long now) {
    applying = null;
    noteSelf();
    acksDue.addAll(counters);
    acksDue.remove(name);
    offer(now);
  }

  private void noteSelf() {
    RevisionMessage.Acknowledgement a = acknowledgement();
    changed |= counting.note(name, a.number(), a.mark(), a.refusal());
  }

  // ---- The council of an issuer ----

  /**
   * The council of this issuer knows a revision to be decided, or has found it in its store at a
   * start.
   */
  @Override
  public void proved(long now, Revision revision, List<Vote> votes, byte[] document) {
    if (!sane(revision, votes) || !revision.describes(document)) {
      host.alarm(
          now,
          "revision "
              + revision.number()
              + " is not issued: its document has "
              + document.length
              + " bytes, of "
              + Revision.MAX_DOCUMENT_BYTES
              + " at most, or is not the one that it names");
      return;
    }
    RevisionLog.Standing standing = log.judge(revision);
    if (standing == RevisionLog.Standing.FORK) {
      forked(now, revision);
    } else if (standing == RevisionLog.Standing.NEWER) {
      learn(now, revision, votes, document);
      waves = ISSUE_WAVES;
      issuers.stream().filter(i -> !i.name().equals(name)).forEach(i -> owed.put(i.name(), i));
    } else if (pull.isFor(revision)) {
      log.document(revision.number(), document);
      arrived(now, ISSUE_WAVES);
    }
    step(now);
  }

  /** The newest revision that is proved, with its proof; null for none. */
  @Override
  public Optional<RevisionMessage.Notice> newest() {
    return Optional.ofNullable(log.newest())
        .map(e -> new RevisionMessage.Notice(e.revision(), e.votes()));
  }

  /** The document of a revision, proved or a draft, if it is held; else null. */
  @Override
  public Optional<byte[]> document(Revision revision) {
    RevisionLog.Entry e = log.held(revision.number(), revision.mark());
    return e != null
        ? Optional.ofNullable(e.document())
        : drafts.document(revision.number(), revision.mark());
  }

  /** Holds a document that this issuer has proposed or accepted, for the other issuers to fetch. */
  @Override
  public void draft(Revision revision, byte[] document) {
    drafts.hold(revision, document);
  }

  /**
   * Fetches the document of a revision that is proposed and not yet proved, from the issuer that
   * proposes it; {@code then} is given it, or null where it could not be had; from within this call
   * if it is held.
   */
  @Override
  public void fetchDraft(long now, Revision revision, Peer from, Consumer<Optional<byte[]>> then) {
    Optional<byte[]> held = document(revision);
    if (held.isPresent() || !sane(revision, List.of())) {
      then.accept(held);
      return;
    }
    drafts.fetch(now, revision, from, then);
    drafts.step(now, outlet);
  }

  /** What the issuers' counters told last of each place; at an issuer only. */
  public List<RevisionMessage.Census> censuses() {
    return sums.all();
  }

  /** What there is to tell, in lines of ASCII. */
  public List<String> lines(long now) {
    List<String> lines = new ArrayList<>();
    lines.add(
        String.format(
            Locale.ROOT,
            "revision %d in force, newest known %d%s, issuers heard %s",
            have().inForce(),
            log.newestNumber(),
            log.newest() == null
                ? ""
                : String.format(Locale.ROOT, " since %.1f s", (now - learntAt) / (double) SECOND),
            issuerHeard
                ? String.format(Locale.ROOT, "%.1f s ago", (now - issuerHeardAt) / (double) SECOND)
                : "never"));
    if (applying != null) {
      lines.add("revision " + applying.revision().number() + " is being put in force");
    }
    if (pull.line() != null) {
      lines.add(ascii(pull.line()));
    }
    if (refused != null && refused.mark() != have().mark()) {
      lines.add("revision " + refused.revision().number() + " refused: " + ascii(refusal));
    }
    log.forks()
        .forEach(
            f ->
                lines.add(
                    "fork: another revision "
                        + f.number()
                        + " by "
                        + ascii(f.issuer())
                        + " is proved and not taken"));
    neighbours.resting(now).forEach(r -> lines.add("rested: " + ascii(r)));
    if (issuer) {
      Map<Integer, Integer> seen = new TreeMap<>();
      neighbours.places().forEach((p, o) -> seen.put(p, o.size()));
      sums.lines(now, seen).forEach(l -> lines.add(ascii(l)));
    }
    return lines;
  }

  private static String ascii(String text) {
    return text.replaceAll("[^ -~]", "?");
  }
}
