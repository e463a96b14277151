package reachloom.lab.scale;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.TreeMap;
import reachloom.gossip.PiggybackPayload;
import reachloom.lab.gossip.VirtualCluster;
import reachloom.lab.gossip.VirtualCluster.Node;
import reachloom.revision.ConsensusEnvironment;
import reachloom.revision.ConsensusNode;
import reachloom.revision.ConsensusState;
import reachloom.revision.ConsensusStore;
import reachloom.revision.DisseminationMember;
import reachloom.revision.Peer;
import reachloom.revision.ProposalResult;
import reachloom.revision.Revision;
import reachloom.revision.RevisionDissemination;
import reachloom.revision.RevisionMessage;
import reachloom.revision.SignatureScheme;

/**
 * Simulates only the control part: gossip, dissemination and the issuers' consensus of every
 * gateway and control machine, with the real codec, in regions and zones, under a fault script. The
 * same seed gives the same run, byte for byte. Signatures have the size of real ones but are not
 * computed; applying a configuration and restarting take fixed times.
 */
public final class VirtualControl {
  private static final long SECOND = VirtualCluster.SECOND;
  private static final long MILLISECOND = SECOND / 1_000;
  private static final long STEP_NANOS = SECOND / 10;
  private static final long INTER_REGION_DELAY_NANOS = 30 * MILLISECOND; // one way
  private static final long GOSSIP_PERIOD_NANOS = SECOND;
  private static final long APPLY_NANOS = 50 * MILLISECOND; // of a configuration
  private static final long PROCESS_RESTART_NANOS = 1_600 * MILLISECOND;
  private static final long MACHINE_REPLACEMENT_NANOS = 20 * SECOND;
  private static final long MAX_SETTLE_NANOS = 180 * SECOND;

  /**
   * Base of the waits for a rollout: a third of it for the first revision, half of it after the
   * planned time. A gateway that then lacks the newest revision counts as never having it.
   */
  private static final long MAX_ROLLOUT_NANOS = 30 * SECOND;

  private static final double SECONDS_PER_DAY = 86_400;
  private static final double CHANGES_PER_DAY = 990;
  private static final double RESTARTS_PER_DAY = 480;
  private static final double FAILURES_PER_DAY = 5;
  private static final int SETTING_BYTES = 64;

  /** One change in this many, on average, alters two settings, as a rule far apart. */
  private static final int FAR_CHANGE_INTERVAL = 10;

  /** Faults of a run. */
  public enum Trouble {
    /** No faults. */
    STEADY,
    /** Restarts and failures in the ratio to changes of an ordinary day. */
    ORDINARY_DAY,
    /** All members of a zone are lost after a quarter of the time and restart at half of it. */
    ZONE,
    /** One region is partitioned from the others between a quarter and half of the time. */
    REGIONS_APART,
    /** One, then two, then all control machines are lost, and come back together. */
    CONTROL_LOST
  }

  /**
   * Parameters of a run.
   *
   * @param changes number of changes issued, spread evenly over the time
   * @param cap bytes a second that a gateway may send in total
   * @param controlCap bytes a second that a control machine may send in total
   */
  public record Plan(
      int gateways,
      int regions,
      int zones,
      int control,
      int seconds,
      int changes,
      long seed,
      double loss,
      int cap,
      int controlCap,
      int document,
      Trouble trouble) {}

  /** A change that was issued. */
  private static final class Change {
    private final long issuedAt;
    private long knownAt;

    Change(long issuedAt) {
      this.issuedAt = issuedAt;
    }
  }

  /** A gateway or a control machine; only its store survives a restart. */
  private final class Member implements PiggybackPayload, RevisionDissemination.Host {
    private final Node node;
    private final DurableStore store = new DurableStore();
    private final boolean issuer;
    private RevisionDissemination dissemination;
    private ConsensusNode consensus;
    private long startedAt;
    private long newestInForce;
    private long countedSent;
    private long countedReceived;

    Member(Node node, boolean issuer) {
      this.node = node;
      this.issuer = issuer;
    }

    void start() {
      long now = cluster.agenda.now();
      startedAt = now;
      newestInForce = 0;
      SignatureScheme signatures = new SimulatedSignatures(node.name);
      dissemination =
          new RevisionDissemination(
              new DisseminationMember(
                  node.name, place(node), issuers, ConsensusNode.quorum(plan.control), signatures),
              random.split(),
              node.gossip,
              this,
              now);
      consensus =
          issuer
              ? new ConsensusNode(
                  node.name,
                  issuers,
                  new ConsensusEnvironment(signatures, store, dissemination, node.gossip),
                  random.split(),
                  now)
              : null;
      node.gossip.attachPayload(place(node), this);
    }

    @Override
    public List<RevisionMessage> messages() {
      return List.of(dissemination.have());
    }

    @Override
    public void onMessages(long now, Peer sender, List<RevisionMessage> messages) {
      dissemination.receive(now, sender, messages);
      if (consensus != null) {
        consensus.receive(now, sender, messages);
      }
    }

    @Override
    public void onPeers(long now, Collection<Peer> present) {
      dissemination.setPeers(present);
    }

    @Override
    public void tick(long now) {
      dissemination.tick(now);
      if (consensus != null) {
        consensus.tick(now);
      }
    }

    @Override
    public void apply(long now, Revision revision, byte[] document) {
      long since = startedAt;
      cluster.agenda.at(
          cluster.agenda.now() + APPLY_NANOS,
          () -> {
            if (node.up && since == startedAt) {
              dissemination.onInForce(node.clock(), revision.number());
              onInForce(this, revision.number());
            }
          });
    }

    @Override
    public void alarm(long now, String what) {
      alarms++;
    }
  }

  /** A store that survives restarts of its process. */
  private static final class DurableStore implements ConsensusStore {
    private ConsensusState state = ConsensusState.initial();

    @Override
    public Optional<ConsensusState> load() {
      return Optional.of(state);
    }

    @Override
    public boolean save(ConsensusState next) {
      state = next;
      return true;
    }
  }

  /** Stand-in for signatures, of the real size; the simulation has no forgers. */
  private record SimulatedSignatures(String name) implements SignatureScheme {
    @Override
    public byte[] sign(byte[] chain) {
      try {
        MessageDigest d = MessageDigest.getInstance("SHA-512"); // as long as an Ed25519 signature
        d.update(name.getBytes(StandardCharsets.UTF_8));
        return d.digest(chain);
      } catch (NoSuchAlgorithmException e) {
        throw new IllegalStateException("SHA-512 is not available", e);
      }
    }

    @Override
    public boolean verify(String issuer, byte[] chain, byte[] signature) {
      return Arrays.equals(new SimulatedSignatures(issuer).sign(chain), signature);
    }
  }

  private final Plan plan;
  private final SplittableRandom random;
  private final VirtualCluster cluster;
  private final List<Peer> issuers = new ArrayList<>();
  private final Map<Node, Member> members = new LinkedHashMap<>();
  private final TreeMap<Long, Change> changes = new TreeMap<>(); // by number
  private final List<Double> inForceSeconds = new ArrayList<>();
  private final List<Double> afterRestartSeconds = new ArrayList<>();
  private final List<Double> afterHealSeconds = new ArrayList<>();
  private final List<Double> sentPerSecond = new ArrayList<>();
  private final List<Double> receivedPerSecond = new ArrayList<>();
  private final List<Double> controlBytesPerSecond = new ArrayList<>();
  private byte[] document;
  private long healedAt = -1;
  private boolean partitioned;
  private int proposedChanges;
  private int refusedChanges;
  private int restarts;
  private int failures;
  private long alarms;

  /** Prepares a run. */
  public VirtualControl(Plan plan) {
    this.plan = plan;
    random = new SplittableRandom(plan.seed);
    cluster = new VirtualCluster(plan.seed, GOSSIP_PERIOD_NANOS, plan.cap, plan.loss);
    cluster.extraDelay = (from, to) -> region(from) == region(to) ? 0 : INTER_REGION_DELAY_NANOS;
    cluster.capOf = n -> index(n) < plan.control ? plan.controlCap : plan.cap;
    cluster.onStart =
        n -> members.computeIfAbsent(n, k -> new Member(n, index(n) < plan.control)).start();
    document = new byte[plan.document];
    for (int i = 0; i < document.length; i++) {
      document[i] = (byte) (' ' + random.nextInt('~' - ' '));
    }
  }

  private static int index(Node n) {
    return Integer.parseInt(n.name.substring(1));
  }

  private int zone(Node n) {
    return index(n) % plan.zones;
  }

  private int region(Node n) {
    return zone(n) % plan.regions;
  }

  private int place(Node n) {
    return region(n) + 1 << Byte.SIZE | zone(n);
  }

  private List<Member> gateways() {
    return members.values().stream().filter(m -> !m.issuer).toList();
  }

  private List<Member> controlMachines() {
    return members.values().stream().filter(m -> m.issuer).toList();
  }

  /** Runs the simulation and returns its figures by name, in order. */
  public Map<String, Object> play() {
    for (int i = 0; i < plan.control; i++) {
      String name = "g" + i;
      int zone = i % plan.zones;
      issuers.add(
          new Peer(name, VirtualCluster.address(i), zone % plan.regions + 1 << Byte.SIZE | zone));
    }
    cluster.add(plan.control + plan.gateways, plan.control);
    long begin = cluster.agenda.now();
    while (!cluster.agreed() && cluster.agenda.now() - begin < MAX_SETTLE_NANOS) {
      cluster.agenda.runUntil(cluster.agenda.now() + SECOND);
    }
    long settled = cluster.agenda.now();
    proposeChange();
    run(settled + MAX_ROLLOUT_NANOS / 3, false);
    changes.clear();
    inForceSeconds.clear();
    afterRestartSeconds.clear();
    proposedChanges = 0;
    refusedChanges = 0;
    alarms = 0;
    long start = cluster.agenda.now();
    long end = start + plan.seconds * SECOND;
    for (int i = 0; i < plan.changes; i++) {
      cluster.agenda.at(
          start + (end - start) * (2L * i + 1) / (2L * plan.changes), this::proposeChange);
    }
    scheduleTrouble(start, end - start);
    run(end, true);
    run(end + MAX_ROLLOUT_NANOS / 2, true);
    return figures((settled - begin) / SECOND);
  }

  private void run(long until, boolean counts) {
    while (cluster.agenda.now() < until) {
      for (int i = 0; i < SECOND / STEP_NANOS; i++) {
        cluster.agenda.runUntil(cluster.agenda.now() + STEP_NANOS);
        recordKnownChange();
      }
      members.values().forEach(m -> sampleBytes(m, counts));
    }
  }

  /** Samples the bytes that a member sent and received in the last second. */
  private void sampleBytes(Member m, boolean counts) {
    double out = m.node.bytes - m.countedSent;
    double in = m.node.receivedBytes - m.countedReceived;
    m.countedSent = m.node.bytes;
    m.countedReceived = m.node.receivedBytes;
    if (counts && m.issuer) {
      controlBytesPerSecond.add(out + in);
    } else if (counts && m.node.up) {
      sentPerSecond.add(out);
      receivedPerSecond.add(in);
    }
  }

  // ---- Changes ----

  private void proposeChange() {
    for (int i = 0; i < (random.nextInt(FAR_CHANGE_INTERVAL) == 0 ? 2 : 1); i++) {
      int at = random.nextInt(document.length / SETTING_BYTES) * SETTING_BYTES;
      for (int k = at; k < at + SETTING_BYTES / 2; k++) {
        document[k] = (byte) (' ' + random.nextInt('~' - ' '));
      }
    }
    // An operator uses an issuer that can reach the others.
    List<Member> up =
        controlMachines().stream()
            .filter(m -> m.node.up && !(partitioned && region(m.node) == plan.regions - 1))
            .toList();
    proposedChanges++;
    if (up.isEmpty()) {
      refusedChanges++;
      return;
    }
    Member by = up.get(random.nextInt(up.size()));
    long now = cluster.agenda.now();
    by.consensus.propose(by.node.clock(), document.clone(), r -> onProposalResult(now, r));
  }

  private void onProposalResult(long issuedAt, ProposalResult r) {
    if (r.kind() == ProposalResult.Kind.ISSUED) {
      changes.putIfAbsent(r.number(), new Change(issuedAt));
    } else if (r.isFinal()) {
      refusedChanges++;
    }
  }

  /** Records that a gateway has a revision, and with it all earlier ones, in force. */
  private void onInForce(Member m, long number) {
    if (m.issuer) {
      return;
    }
    long now = cluster.agenda.now();
    boolean first = m.newestInForce == 0;
    for (Change c : changes.subMap(m.newestInForce, false, number, true).values()) {
      double after = (now - c.issuedAt) / (double) SECOND;
      if (c.issuedAt < healedAt && now >= healedAt) {
        afterHealSeconds.add((now - Math.max(healedAt, m.startedAt)) / (double) SECOND);
      } else if (c.issuedAt >= m.startedAt
          && !(partitioned && region(m.node) == plan.regions - 1)) {
        inForceSeconds.add(after);
      }
    }
    if (first && m.startedAt > 0) {
      afterRestartSeconds.add((now - m.startedAt) / (double) SECOND);
    }
    m.newestInForce = number;
  }

  /** Records when an issuer knows that the newest change is in force at all running gateways. */
  private void recordKnownChange() {
    if (changes.isEmpty()) {
      return;
    }
    long up = gateways().stream().filter(m -> m.node.up).count();
    long number = changes.lastKey();
    Change c = changes.get(number);
    boolean known =
        c.knownAt == 0
            && controlMachines().stream()
                .filter(m -> m.node.up)
                .anyMatch(
                    m ->
                        up
                            == m.dissemination.censuses().stream()
                                .filter(s -> s.number() == number)
                                .mapToInt(RevisionMessage.Census::inForce)
                                .sum());
    if (known) {
      c.knownAt = cluster.agenda.now();
    }
  }

  // ---- Faults ----

  private void scheduleTrouble(long start, long time) {
    if (plan.trouble == Trouble.ORDINARY_DAY) {
      scheduleOrdinaryDay(start, time);
    } else if (plan.trouble == Trouble.ZONE) {
      List<Member> zone =
          members.values().stream().filter(m -> zone(m.node) == plan.zones - 1).toList();
      cluster.agenda.at(start + time / 4, () -> zone.forEach(this::stop));
      cluster.agenda.at(
          start + time / 2,
          () -> {
            healedAt = cluster.agenda.now();
            zone.forEach(this::start);
          });
    } else if (plan.trouble == Trouble.REGIONS_APART) {
      cluster.agenda.at(
          start + time / 4,
          () -> {
            partitioned = true;
            cluster.cut =
                (from, to) ->
                    region(from) != region(to)
                        && (region(from) == plan.regions - 1 || region(to) == plan.regions - 1);
          });
      cluster.agenda.at(
          start + time / 2,
          () -> {
            partitioned = false;
            healedAt = cluster.agenda.now();
            cluster.cut = (from, to) -> false;
          });
    } else if (plan.trouble == Trouble.CONTROL_LOST) {
      List<Member> controlMachines = controlMachines();
      for (int i = 0; i < controlMachines.size(); i++) {
        Member m = controlMachines.get(i);
        cluster.agenda.at(start + time * Math.min(i + 1, 3) / 6, () -> stop(m));
        cluster.agenda.at(start + time * 4 / 6, () -> start(m));
      }
    }
  }

  private void scheduleOrdinaryDay(long start, long time) {
    double days = plan.changes / CHANGES_PER_DAY;
    restarts = (int) Math.round(RESTARTS_PER_DAY * days);
    failures = (int) Math.max(1, Math.round(FAILURES_PER_DAY * days));
    List<Member> all = gateways();
    for (int i = 0; i < restarts + failures; i++) {
      Member m = all.get(random.nextInt(all.size()));
      long at = start + random.nextLong(time);
      long downtime = i < restarts ? PROCESS_RESTART_NANOS : MACHINE_REPLACEMENT_NANOS;
      cluster.agenda.at(at, () -> stop(m));
      cluster.agenda.at(at + downtime, () -> start(m));
    }
  }

  private void stop(Member m) {
    m.node.up = false;
  }

  private void start(Member m) {
    if (!m.node.up) {
      cluster.start(m.node, plan.control);
    }
  }

  // ---- Figures ----

  private Map<String, Object> figures(long settled) {
    Map<String, Object> f = new LinkedHashMap<>();
    long newest = changes.isEmpty() ? 0 : changes.lastKey();
    f.put("gateways", plan.gateways);
    f.put("settled_s", settled);
    f.put("changes", proposedChanges);
    f.put("changes_issued", changes.size());
    f.put("changes_refused", refusedChanges);
    f.put(
        "compression",
        Math.round(plan.changes * SECONDS_PER_DAY / CHANGES_PER_DAY / plan.seconds * 10) / 10.0);
    f.put("restarts", restarts);
    f.put("failures", failures);
    f.put("config_in_force_s_p50", percentile(inForceSeconds, 0.5));
    f.put("config_in_force_s_p99", percentile(inForceSeconds, 0.99));
    f.put("config_in_force_s_max", percentile(inForceSeconds, 1));
    f.put(
        "config_never",
        gateways().stream().filter(m -> m.node.up && m.newestInForce < newest).count());
    List<Double> knownAfter =
        changes.values().stream()
            .filter(c -> c.knownAt > 0)
            .map(c -> (c.knownAt - c.issuedAt) / (double) SECOND)
            .toList();
    f.put("config_known", knownAfter.size());
    f.put("config_known_s_p50", percentile(knownAfter, 0.5));
    f.put("config_known_s_max", percentile(knownAfter, 1));
    Change last = changes.isEmpty() ? null : changes.lastEntry().getValue();
    boolean known = last != null && last.knownAt > 0;
    f.put("newest_known_s", known ? (last.knownAt - last.issuedAt) / (double) SECOND : -1);
    f.put("restarted_in_force_s_max", percentile(afterRestartSeconds, 1));
    f.put("behind_after_heal_s_max", percentile(afterHealSeconds, 1));
    f.put("control_bytes_per_s_p99", percentile(sentPerSecond, 0.99));
    f.put("control_bytes_per_s_max", percentile(sentPerSecond, 1));
    f.put("control_received_bytes_per_s_p99", percentile(receivedPerSecond, 0.99));
    f.put("control_machine_bytes_per_s_p99", percentile(controlBytesPerSecond, 0.99));
    f.put("control_machine_bytes_per_s_max", percentile(controlBytesPerSecond, 1));
    f.put("alarms", alarms);
    return f;
  }

  private static double percentile(List<Double> samples, double share) {
    if (samples.isEmpty()) {
      return -1;
    }
    List<Double> sorted = samples.stream().sorted().toList();
    double value = sorted.get((int) Math.min(sorted.size() - 1, Math.floor(sorted.size() * share)));
    return Math.round(value * 100) / 100.0;
  }
}
