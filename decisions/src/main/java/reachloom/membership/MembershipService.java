package reachloom.membership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * One instance's part in keeping the list of members: it probes the others in turn, has others ask
 * for it where one does not answer, suspects, gives time to object, and lets news ride on what it
 * sends anyway.
 *
 * <p>Beyond the sources: nobody is believed about the end of another. That somebody has died or
 * left, told by a third one, is one more accusation, and each instance lets the time to object pass
 * by itself; so that a liar can bring a healthy member under suspicion, but not out of the list. A
 * packet of a member's own, whose sender is proved, goes before all hearsay about its address and
 * incarnation.
 *
 * <p>Times are nanoseconds of the clock handed in.
 */
public final class MembershipService {
  private static final long SECOND = 1_000_000_000; // nanoseconds
  private static final int MOST_PACKET = 1_200; // bytes; fits each usual path without being cut up
  private static final int MOST_NAME = 33; // bytes of a name on the wire
  private static final double DIRECT_SHARE = 0.4; // of a period, for a member's own answer
  private static final double RELAY_SHARE = 0.3; // ... and for a relay's word on its way back
  private static final int RELAYS = 3; // k of SWIM: others that are asked to ask
  private static final int LAST_ASKS = 2; // own questions to one whose time is up
  private static final int RETOLD = 2; // suspects told again in a period
  private static final int MOST_RELAYED = 64; // questions that others have put through this one
  private static final int TICKS = 10; // in a period, at least: more than that late is a standstill
  private static final double STANDSTILL = 0.5; // of a period
  private static final int RECONNECT = 4; // periods between tries to reach one given up, or a seed
  private static final double GREETERS =
      4; // members that greet a newcomer without being asked, about
  private static final int MOST_DOUBLINGS = 1; // of the pause between two tries to join
  // periods between two rounds of bringing tables together, at most and on average
  private static final int SYNC = 12;
  private static final int CROWD = 3; // newcomers after which tables are compared soon
  private static final int SETTLING = 15; // periods after which one that starts probes in any case
  private static final int MARK = 2; // bytes
  private static final int MOST_MEMBERS = 2_048; // held, the dead among them
  private static final long DEAD_MEMORY = 600; // periods for which one that is gone is remembered
  private static final long FUTURE =
      60; // seconds that an incarnation heard of may be ahead of the clock

  private record Relayed(String asker, long address, long seq, String target, long until) {}

  /** A question that is out. */
  private static final class Probe {
    private final Member target;
    private final long seq;
    private long directUntil;
    private long until;
    private boolean indirect;
    private int asked;
    private int nacks;

    Probe(Member target, long seq, long directUntil, long until) {
      this.target = target;
      this.seq = seq;
      this.directUntil = directUntil;
      this.until = until;
    }
  }

  private final String name;
  private final long address;
  private final long period;
  private final SplittableRandom random;
  private final MessageSender out;
  private final WireSizes weights;
  private final BandwidthLimiter meter;
  private final LocalHealth health = new LocalHealth();
  private final UpdateQueue rumours = new UpdateQueue();
  private final TreeMap<String, Member> members = new TreeMap<>();
  private final List<Member> order = new ArrayList<>();
  private final Map<Long, Relayed> relayed = new LinkedHashMap<>();
  private List<Long> seeds;
  private int place;
  private long incarnation;
  private long seq;
  private int next;
  private int present;
  private Probe probe;
  private long nextProbeAt;
  private long nextReconnectAt;
  private long nextSyncAt;
  private String syncAfter = "";
  private boolean syncHungry;
  private int quietRounds;

  /** Members that have come since the last question for tables. */
  private int newcomers;

  private Member teller;
  private final long startedAt;

  /** Until it knows about whom it has to deal with, it asks nobody whether he is there. */
  private boolean settled;

  private boolean pulled;
  private int lonely;
  private long lastTick;
  private boolean leaving;

  /** An instance that starts; {@code cap} bounds the bytes that it sends in a second. */
  public MembershipService(
      String name,
      long address,
      List<Long> seeds,
      long now,
      long period,
      int cap,
      SplittableRandom random,
      MessageSender out,
      WireSizes weights) {
    this.name = name;
    this.address = address;
    this.seeds = List.copyOf(seeds);
    this.period = period;
    this.random = random;
    this.out = out;
    this.weights = weights;
    meter = new BandwidthLimiter(cap);
    incarnation = now / SECOND;
    seq = random.nextInt(1 << 16);
    lastTick = now;
    startedAt = now;
    nextProbeAt = now + random.nextLong(period);
    nextReconnectAt = now; // who starts asks the seeds at once
    nextSyncAt = now + random.nextLong(period);
  }

  // ---- What is believed ----

  /** All members but this one, those that are gone among them as long as they are remembered. */
  public Collection<Member> members() {
    return Collections.unmodifiableCollection(members.values());
  }

  /** The member of that name, or null. */
  public Member member(String of) {
    return members.get(of);
  }

  /** How many members there are, this one among them. */
  public int size() {
    return present + 1;
  }

  public long incarnation() {
    return incarnation;
  }

  /** How badly this instance does by its own probes: 0 is well, 8 the most. */
  public int healthScore() {
    return health.score();
  }

  /** The meter of all that goes out, evidence and answers to operators among it. */
  public BandwidthLimiter bandwidth() {
    return meter;
  }

  /** How often {@link #tick} is to be called. */
  public long tickIntervalNanos() {
    return period / TICKS;
  }

  /** The largest packet. */
  public int mostPacket() {
    return MOST_PACKET;
  }

  /** Takes over seeds of settings read anew. */
  public void setSeeds(List<Long> now) {
    seeds = List.copyOf(now);
  }

  /** Sets this instance's own region and zone, before it starts; 0 where they are not known. */
  public void setPlace(int own) {
    place = own;
  }

  /** This instance's region and zone. */
  public int place() {
    return place;
  }

  // ---- Time ----

  /** Looks at the clock: what is due goes out, what has run out is judged. */
  public void tick(long now) {
    noteStandstill(now);
    lastTick = now;
    if (leaving) {
      return;
    }
    followProbe(now);
    settled |= now - startedAt > SETTLING * period;
    if (settled && now >= nextProbeAt) {
      startProbe(now);
    }
    judgeSuspects(now);
    relayed
        .values()
        .removeIf(
            r -> {
              if (now >= r.until) {
                send(
                    now,
                    BandwidthLimiter.Purpose.ANSWER,
                    r.asker,
                    r.address,
                    new MembershipMessage.Nack(r.seq));
              }
              return now >= r.until;
            });
    if (now >= nextReconnectAt) {
      reconnect(now);
    }
    if (now >= nextSyncAt && present > 0) {
      sync(now);
    }
    forget(now);
  }

  /**
   * Against a process that stood still: what it did not hear meanwhile blames itself, not the
   * others. It harms when a member dies while this one stands: it is found so much later.
   */
  private void noteStandstill(long now) {
    long late = now - lastTick - period / TICKS;
    if (late <= period * STANDSTILL) {
      return;
    }
    health.worsen((int) Math.min(TICKS, 1 + late / period));
    members.values().stream()
        .filter(m -> m.suspicion != null)
        .forEach(m -> m.suspicion.shift(late + m.suspicion.least()));
    if (probe != null) { // its answer may wait on the socket, or have been dropped
      probe.directUntil += late + period;
      probe.until += late + period;
    }
  }

  private void followProbe(long now) {
    if (probe == null) {
      return;
    }
    if (!probe.indirect && now >= probe.directUntil) {
      probe.indirect = true;
      probe.asked = askThrough(now, probe.target, probe.seq);
    }
    if (now >= probe.until) {
      // Relays that did not even say "no" show that it is this instance which does not hear.
      health.worsen(probe.asked == 0 ? 1 : probe.asked - Math.min(probe.asked, probe.nacks));
      Member target = probe.target;
      probe = null;
      if (target.state == MemberState.ALIVE) {
        suspect(now, target, name);
      } else if (target.state == MemberState.SUSPECT && target.suspicion.confirm(name)) {
        rumours.add(target.toUpdate());
      }
    }
  }

  /** Has others ask a member; gives how many were sent for. */
  private int askThrough(long now, Member target, long number) {
    MembershipMessage ask =
        new MembershipMessage.PingRequest(number, target.name(), target.address);
    return (int)
        draw(RELAYS, m -> m != target && m.state == MemberState.ALIVE).stream()
            .filter(
                relay ->
                    send(now, BandwidthLimiter.Purpose.PROBE, relay.name(), relay.address, ask))
            .count();
  }

  private void startProbe(long now) {
    nextProbeAt = now + health.stretch(period);
    tellSuspects(now);
    if (probe != null) {
      return;
    }
    Member target = nextTarget();
    if (target == null) {
      return;
    }
    long direct = health.stretch((long) (period * DIRECT_SHARE));
    Probe started = new Probe(target, seq++, now + direct, now + health.stretch(period));
    // Without room for the question, nobody may be blamed for no answer.
    probe =
        send(
                now,
                BandwidthLimiter.Purpose.PROBE,
                target.name(),
                target.address,
                new MembershipMessage.Ping(started.seq, target.name()))
            ? started
            : null;
  }

  /**
   * Whom this one accuses is asked again in each period, and so hears of it at once: its objection
   * follows the accusation by one or two periods, instead of by the time that news takes to get
   * round twice.
   */
  private void tellSuspects(long now) {
    members.values().stream()
        .filter(m -> m.state == MemberState.SUSPECT && m.accuser.equals(name))
        .limit(RETOLD)
        .toList()
        .forEach(
            m ->
                send(
                    now,
                    BandwidthLimiter.Purpose.PROBE,
                    m.name(),
                    m.address,
                    new MembershipMessage.Ping(seq++, m.name())));
  }

  /**
   * Each one once in each round, in an order drawn anew for each: what bounds the time until a
   * crash is seen.
   */
  private Member nextTarget() {
    for (int i = 0; i <= order.size(); i++) {
      if (next >= order.size()) {
        shuffle();
        next = 0;
      }
      if (order.isEmpty()) {
        return null;
      }
      Member m = order.get(next++);
      if (m.state.present()) {
        return m;
      }
    }
    return null;
  }

  private void shuffle() {
    order.removeIf(m -> !m.state.present() || members.get(m.name()) != m);
    for (int i = order.size() - 1; i > 0; i--) {
      Collections.swap(order, i, random.nextInt(i + 1));
    }
  }

  /**
   * Nobody is given up by one that has not asked it itself, and told it what it is accused of:
   * where its objection was on its way round but had not come here, it comes now. The last
   * questions go through others, too: with 6% of all packets lost, two questions of its own are
   * both in vain once in 75 times, and hundreds suspect at once. A real crash is known some periods
   * later for it.
   */
  private void judgeSuspects(long now) {
    for (Member m : List.copyOf(members.values())) {
      if (m.suspicion == null || now < m.suspicion.until()) {
        continue;
      }
      if (m.suspicion.lastAsks() >= LAST_ASKS) {
        turn(now, m, MemberState.DEAD, m.incarnation);
      } else if (send(
          now,
          BandwidthLimiter.Purpose.PROBE,
          m.name(),
          m.address,
          new MembershipMessage.Ping(seq++, m.name()))) {
        m.suspicion.asked(now + health.stretch(period));
        askThrough(now, m, seq++);
      }
    }
  }

  /**
   * Tries those given up, and the seeds: two halves that have lost each other find together again.
   */
  private void reconnect(long now) {
    nextReconnectAt = now + RECONNECT * period;
    List<Member> gone = members.values().stream().filter(m -> m.state == MemberState.DEAD).toList();
    if (!gone.isEmpty()) {
      Member m = gone.get(random.nextInt(gone.size()));
      send(
          now,
          BandwidthLimiter.Purpose.SYNC,
          m.name(),
          m.address,
          new MembershipMessage.Ping(seq++, m.name()));
    }
    List<Long> unknown =
        seeds.stream()
            .filter(
                s ->
                    s != address
                        && members.values().stream()
                            .noneMatch(m -> m.address == s && m.state.present()))
            .toList();
    if (!unknown.isEmpty()) {
      long seed = unknown.get(random.nextInt(unknown.size()));
      send(now, BandwidthLimiter.Purpose.SYNC, "", seed, new MembershipMessage.Ping(seq++, ""));
      if (present == 0) { // the more often in vain, the more others there must be who try
        long pause = period << Math.min(lonely++, MOST_DOUBLINGS);
        nextReconnectAt = now + pause / 2 + random.nextLong(pause);
      }
    }
  }

  /**
   * Asks a member drawn by chance for what it holds and this one does not. Where the table is too
   * large for one question, the next one goes on behind it.
   */
  private void sync(long now) {
    // One that has more to tell is asked again: it needs no certificate any more, and knows what
    // was told.
    Member m = syncHungry && teller != null && teller.state == MemberState.ALIVE ? teller : null;
    List<Member> drawn = m != null ? List.of(m) : draw(1, d -> d.state == MemberState.ALIVE);
    if (drawn.isEmpty()) {
      return;
    }
    m = drawn.get(0);
    teller = null;
    int salt = random.nextInt();
    int size =
        weights.messageBytes(
                m.name(), new MembershipMessage.SyncRequest(syncAfter, "", salt, List.of()))
            + MOST_NAME;
    if (!meter.hasRoom(now, BandwidthLimiter.Purpose.SYNC, size)) {
      nextSyncAt = now + random.nextLong(period);
      return;
    }
    List<Integer> marks = new ArrayList<>();
    String last = "";
    int room = (meter.maxSyncBytes(now, size, MOST_PACKET) - size) / MARK;
    for (Member held : members.tailMap(syncAfter, false).values()) {
      if (marks.size() >= room) {
        break;
      }
      marks.add(MemberDigest.of(salt, held));
      last = held.name();
    }
    boolean whole = last.isEmpty() || members.higherKey(last) == null;
    MembershipMessage pull =
        new MembershipMessage.SyncRequest(syncAfter, whole ? "" : last, salt, marks);
    meter.record(now, out.send(now, m.name(), m.address, pull, List.of(), 0), 0);
    syncAfter = whole ? "" : last;
    pulled = true;
    newcomers = 0;
    // Rounds that bring nothing new come less and less often; the others close upon each other.
    quietRounds = syncHungry ? 0 : quietRounds + (whole ? 1 : 0);
    long pause = Math.min(SYNC, 1L + quietRounds) * period;
    nextSyncAt =
        now + pause / 2 + random.nextLong(pause); // without an answer, too: there will be others
  }

  /**
   * What is held of members in that range and has no mark there; those gone are others' own to find
   * out.
   */
  private MembershipMessage.SyncResponse lacking(MembershipMessage.SyncRequest p, int room) {
    Set<Integer> marks = new TreeSet<>(p.digests());
    List<MembershipUpdate> held = new ArrayList<>();
    int left = room;
    boolean more = false;
    List<Member> open = new ArrayList<>();
    for (Member m : members.tailMap(p.afterName(), false).values()) {
      if (!p.lastName().isEmpty() && m.name().compareTo(p.lastName()) > 0) {
        break;
      }
      if (m.state.present() && !marks.contains(MemberDigest.of(p.salt(), m))) {
        open.add(m);
      }
    }
    Collections.rotate(
        open, open.isEmpty() ? 0 : random.nextInt(open.size())); // not the same ones to each
    for (Member m : open) {
      MembershipUpdate n = m.toUpdate();
      if (weights.updateBytes(n) > left) {
        more = true;
        break;
      }
      held.add(n);
      left -= weights.updateBytes(n);
    }
    return new MembershipMessage.SyncResponse(more, held);
  }

  /** A part of somebody's table has come, asked for or as a welcome. */
  private void part(long now, Member from, MembershipMessage.SyncResponse p) {
    int before = members.size();
    p.updates().forEach(n -> hear(now, n, from.name(), false));
    syncHungry =
        p.truncated()
            || !pulled
            || members.size() > before; // where something was new, there is more
    teller = p.truncated() ? from : null;
    settled |= !syncHungry;
    if (syncHungry) {
      nextSyncAt = Math.min(nextSyncAt, now + period / TICKS + random.nextLong(period / 2));
    }
    pulled = false;
  }

  private void forget(long now) {
    members.values().removeIf(m -> !m.state.present() && now - m.since > DEAD_MEMORY * period);
  }

  // ---- What comes ----

  /** The same of a sender that does not say its place. */
  public void receive(
      long now,
      String sender,
      long from,
      long itsIncarnation,
      MembershipMessage message,
      List<MembershipUpdate> news) {
    receive(now, sender, from, 0, itsIncarnation, message, news);
  }

  /**
   * A packet has come whose sender is proved; {@code from} is where that sender says it listens,
   * {@code of} its place.
   */
  public void receive(
      long now,
      String sender,
      long from,
      int of,
      long itsIncarnation,
      MembershipMessage message,
      List<MembershipUpdate> news) {
    if (sender.equals(name) || leaving) {
      return;
    }
    Member m = direct(now, sender, from, of, itsIncarnation);
    if (m == null) {
      return; // the table is full of others
    }
    if (message instanceof MembershipMessage.Leave) {
      if (itsIncarnation >= m.incarnation && m.state != MemberState.LEFT) {
        turn(now, m, MemberState.LEFT, itsIncarnation);
      }
      return;
    }
    news.forEach(n -> hear(now, n, sender, true));
    answer(now, m, message);
  }

  private void answer(long now, Member m, MembershipMessage message) {
    if (message instanceof MembershipMessage.Ping p) {
      if (p.target().isEmpty()) {
        welcome(now, m);
      } else if (p.target().equals(name)) {
        send(
            now,
            BandwidthLimiter.Purpose.ANSWER,
            m.name(),
            m.address,
            new MembershipMessage.Ack(p.sequenceNumber()));
      }
    } else if (message instanceof MembershipMessage.Ack a) {
      acked(now, m, a.sequenceNumber());
    } else if (message instanceof MembershipMessage.Nack n) {
      if (probe != null && probe.seq == n.sequenceNumber()) {
        probe.nacks++;
      }
    } else if (message instanceof MembershipMessage.PingRequest r) {
      relay(now, m, r);
    } else if (message instanceof MembershipMessage.SyncRequest p) {
      int size =
          weights.messageBytes(m.name(), new MembershipMessage.SyncResponse(false, List.of()));
      if (meter.hasRoom(now, BandwidthLimiter.Purpose.SYNC, size)) {
        int most = meter.maxSyncBytes(now, size, MOST_PACKET);
        meter.record(
            now, out.send(now, m.name(), m.address, lacking(p, most - size), List.of(), most), 0);
      }
    } else if (message instanceof MembershipMessage.SyncResponse p) {
      part(now, m, p);
    }
  }

  /**
   * Tells one that asks whoever listens here of some others, drawn by chance: when many join at
   * once, few answers that spread them over all members are worth more than many that keep them
   * with the seeds.
   */
  private void welcome(long now, Member m) {
    MembershipMessage none = new MembershipMessage.SyncResponse(true, List.of());
    int size = weights.messageBytes(m.name(), none);
    int left = Math.min(meter.maxPiggybackBytes(), MOST_PACKET - size);
    List<MembershipUpdate> some = new ArrayList<>();
    for (Member other :
        draw(left / weights.updateBytes(own()), o -> o != m && o.state == MemberState.ALIVE)) {
      left -= weights.updateBytes(other.toUpdate());
      if (left >= 0) {
        some.add(other.toUpdate());
        size += weights.updateBytes(other.toUpdate());
      }
    }
    if (meter.hasRoom(now, BandwidthLimiter.Purpose.WELCOME, size)) {
      meter.record(
          now,
          out.send(
              now,
              m.name(),
              m.address,
              new MembershipMessage.SyncResponse(true, some),
              List.of(),
              size),
          0);
    }
  }

  private void acked(long now, Member m, long ofSeq) {
    if (probe != null && probe.seq == ofSeq) {
      // An answer that came through a relay bears the relay's name, and the same number.
      if (probe.target == m && now < probe.directUntil) {
        health.improve();
      }
      probe = null;
      return;
    }
    Relayed r = relayed.get(ofSeq);
    if (r != null && r.target.equals(m.name())) {
      relayed.remove(ofSeq);
      // With what it says itself: the one that asks may hold an accusation that was objected to
      // long ago.
      send(
          now,
          BandwidthLimiter.Purpose.ANSWER,
          r.asker,
          r.address,
          new MembershipMessage.Ack(r.seq),
          m.toUpdate());
    }
  }

  private void relay(long now, Member asker, MembershipMessage.PingRequest r) {
    if (relayed.size() >= MOST_RELAYED || r.target().equals(name)) {
      return;
    }
    long mine = seq++;
    if (send(
        now,
        BandwidthLimiter.Purpose.ANSWER,
        r.target(),
        r.targetAddress(),
        new MembershipMessage.Ping(mine, r.target()))) {
      relayed.put(
          mine,
          new Relayed(
              asker.name(),
              asker.address,
              r.sequenceNumber(),
              r.target(),
              now + (long) (period * RELAY_SHARE)));
    }
  }

  /** A packet of its own shows a member alive, where it listens, and in which incarnation. */
  private Member direct(long now, String sender, long from, int of, long itsIncarnation) {
    Member m = members.get(sender);
    if (m == null) {
      m =
          join(
              now,
              new MembershipUpdate(sender, from, itsIncarnation, MemberState.ALIVE, "", of),
              true);
      if (m == null) {
        return null;
      }
    } else if (itsIncarnation > m.incarnation) {
      m.address = from;
      m.place = of;
      turn(now, m, MemberState.ALIVE, itsIncarnation);
    } else if (of != 0 && m.place == 0 && itsIncarnation == m.incarnation) {
      placed(now, m, of);
    } else if (m.heardAt == 0 && itsIncarnation == m.incarnation && m.address != from) {
      m.address = from; // hearsay had it elsewhere
      rumours.add(m.toUpdate());
    }
    m.heardAt = now;
    return m;
  }

  /** Where a member is has become known: others may lack it as well. */
  private void placed(long now, Member m, int of) {
    m.place = of;
    rumours.add(m.toUpdate());
    out.onMemberChanged(now, m.toUpdate());
  }

  private Member join(long now, MembershipUpdate n, boolean isNews) {
    if (members.size() >= MOST_MEMBERS && !evict()) {
      return null;
    }
    Member m = new Member(n.member(), n.address(), n.incarnation(), MemberState.ALIVE, now);
    m.place = n.place();
    members.put(n.member(), m);
    present++;
    order.add(next + random.nextInt(order.size() - next + 1), m);
    if (isNews) {
      rumours.add(m.toUpdate());
    }
    if (++newcomers >= CROWD) { // where so many come, there are more than news can tell of in time
      quietRounds = 0;
      nextSyncAt = Math.min(nextSyncAt, now + period / 2 + random.nextLong(period));
    }
    out.onMemberChanged(now, m.toUpdate());
    return m;
  }

  /** Makes room in the table: the one gone for longest goes; false where all are present. */
  private boolean evict() {
    Member oldest =
        members.values().stream()
            .filter(m -> !m.state.present())
            .min((a, b) -> Long.compare(a.since, b.since))
            .orElse(null);
    return oldest != null && members.remove(oldest.name()) != null;
  }

  /**
   * What somebody says of somebody; what stands in a table that was asked for is no news to be
   * passed on.
   */
  private void hear(long now, MembershipUpdate n, String teller, boolean isNews) {
    if (n.incarnation() > now / SECOND + FUTURE) {
      return; // no honest instance has got there: it would leave no number to object with
    }
    if (n.member().equals(name)) {
      hearOfSelf(now, n);
      return;
    }
    Member m = members.get(n.member());
    if (m == null) {
      if (n.state() == MemberState.ALIVE) {
        Member joined = join(now, n, isNews);
        if (joined != null && isNews && random.nextDouble() * size() < GREETERS) {
          welcome(now, joined); // the seeds may have no room left for it
        }
      }
    } else if (n.state() == MemberState.ALIVE) {
      if (n.incarnation() > m.incarnation) {
        m.address = n.address();
        m.place = n.place() == 0 ? m.place : n.place();
        turn(now, m, MemberState.ALIVE, n.incarnation());
      } else if (m.place == 0 && n.place() != 0) { // hearsay fills a gap, it moves nobody
        placed(now, m, n.place());
      }
    } else if (n.incarnation() >= m.incarnation && m.state.present()) {
      m.incarnation = n.incarnation();
      String accuser =
          n.state() == MemberState.SUSPECT && !n.accuser().isEmpty() ? n.accuser() : teller;
      if (m.state == MemberState.ALIVE) {
        suspect(now, m, accuser);
      } else if (m.suspicion.confirm(accuser)) {
        m.accuser = accuser;
        rumours.add(m.toUpdate());
      }
    }
  }

  /** Objects to what can't be true: this one is here, in the incarnation that it says. */
  private void hearOfSelf(long now, MembershipUpdate n) {
    boolean wrong =
        n.state() != MemberState.ALIVE && n.incarnation() >= incarnation
            || n.incarnation() > incarnation
            || n.incarnation() == incarnation && n.address() != address;
    if (!wrong) {
      return;
    }
    if (n.state() != MemberState.ALIVE) {
      health.worsen(1);
    }
    incarnation = n.incarnation() + 1;
    rumours.add(own());
  }

  // ---- States ----

  private void suspect(long now, Member m, String accuser) {
    m.accuser = accuser;
    turn(now, m, MemberState.SUSPECT, m.incarnation);
  }

  private void turn(long now, Member m, MemberState to, long itsIncarnation) {
    boolean was = m.state.present();
    boolean differs = m.state != to;
    m.state = to;
    m.incarnation = itsIncarnation;
    m.since = differs ? now : m.since;
    m.suspicion = to == MemberState.SUSPECT ? new Suspicion(now, period, size(), m.accuser) : null;
    m.accuser = to == MemberState.SUSPECT || to == MemberState.DEAD ? m.accuser : "";
    present += (to.present() ? 1 : 0) - (was ? 1 : 0);
    if (to.present() && !was && !order.contains(m)) {
      order.add(next + random.nextInt(order.size() - next + 1), m);
    }
    rumours.add(m.toUpdate());
    if (differs) {
      out.onMemberChanged(now, m.toUpdate());
    }
  }

  // ---- What goes out ----

  /** Tells some members that this one goes; from here on it neither asks nor answers. */
  public void leave(long now) {
    for (Member m : draw(2 * RELAYS, m -> m.state == MemberState.ALIVE)) {
      send(now, BandwidthLimiter.Purpose.PROBE, m.name(), m.address, new MembershipMessage.Leave());
    }
    leaving = true;
  }

  /** Lets what rides on packets reach some others now, and not only with the next probes. */
  public void sendPayload(long now) {
    if (!leaving) {
      draw(RELAYS, m -> m.state == MemberState.ALIVE)
          .forEach(
              m ->
                  send(
                      now,
                      BandwidthLimiter.Purpose.SYNC,
                      m.name(),
                      m.address,
                      new MembershipMessage.PayloadOnly()));
    }
  }

  private MembershipUpdate own() {
    return new MembershipUpdate(name, address, incarnation, MemberState.ALIVE, "", place);
  }

  /**
   * Sends where the cap leaves room; one that is suspected, or given up, is told so first: it may
   * object.
   */
  private boolean send(
      long now, BandwidthLimiter.Purpose use, String to, long at, MembershipMessage message) {
    return send(now, use, to, at, message, null);
  }

  private boolean send(
      long now,
      BandwidthLimiter.Purpose use,
      String to,
      long at,
      MembershipMessage message,
      MembershipUpdate about) {
    int size = weights.messageBytes(to, message);
    Member m = members.get(to);
    MembershipUpdate first =
        m != null
                && (m.state != MemberState.ALIVE
                    || message instanceof MembershipMessage.Ack
                        && m.incarnation > 0
                        && m.heardAt == 0)
            ? m.toUpdate()
            : about;
    int least = size + (first == null ? 0 : weights.updateBytes(first));
    if (!meter.hasRoom(now, use, least)) {
      return false;
    }
    int most = meter.maxWithPiggyback(now, least, MOST_PACKET);
    List<MembershipUpdate> news = rumours.take(first, size(), most - size, weights);
    int sent = out.send(now, to, at, message, news, most);
    meter.record(now, sent, sent - least);
    return true;
  }

  private List<Member> draw(int count, java.util.function.Predicate<Member> wanted) {
    List<Member> open = new ArrayList<>(members.values().stream().filter(wanted).toList());
    List<Member> drawn = new ArrayList<>();
    while (drawn.size() < count && !open.isEmpty()) {
      int last = open.size() - 1;
      Collections.swap(open, random.nextInt(last + 1), last);
      drawn.add(open.remove(last));
    }
    return drawn;
  }
}
