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
 * The control part alone in simulated time: gossip, dissemination and the issuers' council of every
 * gateway and control machine, with the real codec, in regions and zones, under a script of
 * troubles. The same seed gives the same run, byte for byte. Signatures are weighed and not
 * computed; putting a configuration in force takes a fixed time, and a restart, too.
 */
public final class VirtualControl {
  private static final long SECOND = VirtualCluster.SECOND;
  private static final long MILLISECOND = SECOND / 1_000;
  private static final long STEP = SECOND / 10;
  private static final long ACROSS = 30 * MILLISECOND; // one way between regions
  private static final long PERIOD = SECOND; // of gossip
  private static final long APPLY = 50 * MILLISECOND; // to put a configuration in force
  private static final long START = 1_600 * MILLISECOND; // of a process
  private static final long REPLACED = 20 * SECOND; // of a machine
  private static final long LONGEST_START = 180 * SECOND;
  private static final long LONGEST = 30 * SECOND; // without a revision: never
  private static final double DAY = 86_400; // seconds
  private static final double DAYS_CHANGES = 990;
  private static final double DAYS_RESTARTS = 480;
  private static final double DAYS_FAILURES = 5;
  private static final int LINE = 64; // bytes of a setting
  private static final int FAR_CHANGES = 10; // one change of so many alters settings far apart

  /** What goes wrong. */
  public enum Trouble {
    /** Nothing. */
    STEADY,
    /** Restarts and failures, as many to each change as on an ordinary day. */
    ORDINARY_DAY,
    /** All of a zone are lost in a quarter of the time, and come back together. */
    ZONE,
    /** One region is apart from the others between a quarter and the half of the time. */
    REGIONS_APART,
    /** One, two, then all control machines are lost, and come back. */
    CONTROL_LOST
  }

  /**
   * What is asked for.
   *
   * @param changes how many changes are issued, evenly over the time
   * @param cap bytes a second of a gateway, in all
   * @param controlCap the same of a control machine
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
    private final long at;
    private long knownAt;

    Change(long at) {
      this.at = at;
    }
  }

  /** What one instance remembers over a restart is its store alone. */
  private final class Member implements PiggybackPayload, RevisionDissemination.Host {
    private final Node node;
    private final Disk disk = new Disk();
    private final boolean issuer;
    private RevisionDissemination dissemination;
    private ConsensusNode council;
    private long upSince;
    private long newest;
    private long counted;
    private long countedReceived;

    Member(Node node, boolean issuer) {
      this.node = node;
      this.issuer = issuer;
    }

    void start() {
      long now = cluster.agenda.now();
      upSince = now;
      newest = 0;
      SignatureScheme seal = new Stamp(node.name);
      dissemination =
          new RevisionDissemination(
              new DisseminationMember(
                  node.name, place(node), issuers, ConsensusNode.quorum(plan.control), seal),
              random.split(),
              node.gossip,
              this,
              now);
      council =
          issuer
              ? new ConsensusNode(
                  node.name,
                  issuers,
                  new ConsensusEnvironment(seal, disk, dissemination, node.gossip),
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
    public void onMessages(long now, Peer sender, List<RevisionMessage> words) {
      dissemination.receive(now, sender, words);
      if (council != null) {
        council.receive(now, sender, words);
      }
    }

    @Override
    public void onPeers(long now, Collection<Peer> present) {
      dissemination.setPeers(present);
    }

    @Override
    public void tick(long now) {
      dissemination.tick(now);
      if (council != null) {
        council.tick(now);
      }
    }

    @Override
    public void apply(long now, Revision revision, byte[] document) {
      long since = upSince;
      cluster.agenda.at(
          cluster.agenda.now() + APPLY,
          () -> {
            if (node.up && since == upSince) {
              dissemination.onInForce(node.clock(), revision.number());
              inForce(this, revision.number());
            }
          });
    }

    @Override
    public void alarm(long now, String what) {
      alarms++;
    }
  }

  /** A store that outlives its process. */
  private static final class Disk implements ConsensusStore {
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

  /** Signatures of the right size that nobody forges here. */
  private record Stamp(String name) implements SignatureScheme {
    @Override
    public byte[] sign(byte[] chain) {
      try {
        MessageDigest d = MessageDigest.getInstance("SHA-512"); // as long as an Ed25519 signature
        d.update(name.getBytes(StandardCharsets.UTF_8));
        return d.digest(chain);
      } catch (NoSuchAlgorithmException e) {
        throw new IllegalStateException("each Java platform has SHA-512", e);
      }
    }

    @Override
    public boolean verify(String issuer, byte[] chain, byte[] signature) {
      return Arrays.equals(new Stamp(issuer).sign(chain), signature);
    }
  }

  private final Plan plan;
  private final SplittableRandom random;
  private final VirtualCluster cluster;
  private final List<Peer> issuers = new ArrayList<>();
  private final Map<Node, Member> members = new LinkedHashMap<>();
  private final TreeMap<Long, Change> changes = new TreeMap<>(); // by number
  private final List<Double> inForce = new ArrayList<>();
  private final List<Double> afterRestart = new ArrayList<>();
  private final List<Double> afterHeal = new ArrayList<>();
  private final List<Double> sent = new ArrayList<>();
  private final List<Double> received = new ArrayList<>();
  private final List<Double> controlBytes = new ArrayList<>();
  private byte[] document;
  private long healedAt = -1;
  private boolean apart;
  private int proposed;
  private int notIssued;
  private int restarts;
  private int failures;
  private long alarms;

  /** A run that has not been played. */
  public VirtualControl(Plan plan) {
    this.plan = plan;
    random = new SplittableRandom(plan.seed);
    cluster = new VirtualCluster(plan.seed, PERIOD, plan.cap, plan.loss);
    cluster.extraDelay = (from, to) -> region(from) == region(to) ? 0 : ACROSS;
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

  private List<Member> control() {
    return members.values().stream().filter(m -> m.issuer).toList();
  }

  /** Plays it; gives its figures by name, in order. */
  public Map<String, Object> play() {
    for (int i = 0; i < plan.control; i++) {
      String name = "g" + i;
      int zone = i % plan.zones;
      issuers.add(
          new Peer(name, VirtualCluster.address(i), zone % plan.regions + 1 << Byte.SIZE | zone));
    }
    cluster.add(plan.control + plan.gateways, plan.control);
    long begin = cluster.agenda.now();
    while (!cluster.agreed() && cluster.agenda.now() - begin < LONGEST_START) {
      cluster.agenda.runUntil(cluster.agenda.now() + SECOND);
    }
    long settled = cluster.agenda.now();
    issue();
    run(settled + LONGEST / 3, false);
    changes.clear();
    inForce.clear();
    afterRestart.clear();
    proposed = 0;
    notIssued = 0;
    alarms = 0;
    long start = cluster.agenda.now();
    long end = start + plan.seconds * SECOND;
    for (int i = 0; i < plan.changes; i++) {
      cluster.agenda.at(start + (end - start) * (2L * i + 1) / (2L * plan.changes), this::issue);
    }
    trouble(start, end - start);
    run(end, true);
    run(end + LONGEST / 2, true);
    return figures((settled - begin) / SECOND);
  }

  private void run(long until, boolean counts) {
    while (cluster.agenda.now() < until) {
      for (int i = 0; i < SECOND / STEP; i++) {
        cluster.agenda.runUntil(cluster.agenda.now() + STEP);
        known();
      }
      members.values().forEach(m -> count(m, counts));
    }
  }

  /** The bytes of the last second. */
  private void count(Member m, boolean counts) {
    double out = m.node.bytes - m.counted;
    double in = m.node.receivedBytes - m.countedReceived;
    m.counted = m.node.bytes;
    m.countedReceived = m.node.receivedBytes;
    if (counts && m.issuer) {
      controlBytes.add(out + in);
    } else if (counts && m.node.up) {
      sent.add(out);
      received.add(in);
    }
  }

  // ---- Changes ----

  private void issue() {
    for (int i = 0; i < (random.nextInt(FAR_CHANGES) == 0 ? 2 : 1); i++) {
      int at = random.nextInt(document.length / LINE) * LINE;
      for (int k = at; k < at + LINE / 2; k++) {
        document[k] = (byte) (' ' + random.nextInt('~' - ' '));
      }
    }
    // Who issues goes to an issuer that has the others at hand.
    List<Member> up =
        control().stream()
            .filter(m -> m.node.up && !(apart && region(m.node) == plan.regions - 1))
            .toList();
    proposed++;
    if (up.isEmpty()) {
      notIssued++;
      return;
    }
    Member by = up.get(random.nextInt(up.size()));
    long now = cluster.agenda.now();
    by.council.propose(by.node.clock(), document.clone(), r -> decided(now, r));
  }

  private void decided(long at, ProposalResult r) {
    if (r.kind() == ProposalResult.Kind.ISSUED) {
      changes.putIfAbsent(r.number(), new Change(at));
    } else if (r.isFinal()) {
      notIssued++;
    }
  }

  /** A gateway has that revision, and with it all before, in force. */
  private void inForce(Member m, long number) {
    if (m.issuer) {
      return;
    }
    long now = cluster.agenda.now();
    boolean first = m.newest == 0;
    for (Change c : changes.subMap(m.newest, false, number, true).values()) {
      double after = (now - c.at) / (double) SECOND;
      if (c.at < healedAt && now >= healedAt) {
        afterHeal.add((now - Math.max(healedAt, m.upSince)) / (double) SECOND);
      } else if (c.at >= m.upSince && !(apart && region(m.node) == plan.regions - 1)) {
        inForce.add(after);
      }
    }
    if (first && m.upSince > 0) {
      afterRestart.add((now - m.upSince) / (double) SECOND);
    }
    m.newest = number;
  }

  /** Looks whether an issuer knows the newest change to be in force at all that are up. */
  private void known() {
    if (changes.isEmpty()) {
      return;
    }
    long up = gateways().stream().filter(m -> m.node.up).count();
    long number = changes.lastKey();
    Change c = changes.get(number);
    boolean known =
        c.knownAt == 0
            && control().stream()
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

  // ---- Troubles ----

  private void trouble(long start, long time) {
    if (plan.trouble == Trouble.ORDINARY_DAY) {
      ordinary(start, time);
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
            apart = true;
            cluster.cut =
                (from, to) ->
                    region(from) != region(to)
                        && (region(from) == plan.regions - 1 || region(to) == plan.regions - 1);
          });
      cluster.agenda.at(
          start + time / 2,
          () -> {
            apart = false;
            healedAt = cluster.agenda.now();
            cluster.cut = (from, to) -> false;
          });
    } else if (plan.trouble == Trouble.CONTROL_LOST) {
      List<Member> control = control();
      for (int i = 0; i < control.size(); i++) {
        Member m = control.get(i);
        cluster.agenda.at(start + time * Math.min(i + 1, 3) / 6, () -> stop(m));
        cluster.agenda.at(start + time * 4 / 6, () -> start(m));
      }
    }
  }

  private void ordinary(long start, long time) {
    double days = plan.changes / DAYS_CHANGES;
    restarts = (int) Math.round(DAYS_RESTARTS * days);
    failures = (int) Math.max(1, Math.round(DAYS_FAILURES * days));
    List<Member> all = gateways();
    for (int i = 0; i < restarts + failures; i++) {
      Member m = all.get(random.nextInt(all.size()));
      long at = start + random.nextLong(time);
      long away = i < restarts ? START : REPLACED;
      cluster.agenda.at(at, () -> stop(m));
      cluster.agenda.at(at + away, () -> start(m));
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
    f.put("changes", proposed);
    f.put("changes_issued", changes.size());
    f.put("changes_refused", notIssued);
    f.put("compression", Math.round(plan.changes * DAY / DAYS_CHANGES / plan.seconds * 10) / 10.0);
    f.put("restarts", restarts);
    f.put("failures", failures);
    f.put("config_in_force_s_p50", share(inForce, 0.5));
    f.put("config_in_force_s_p99", share(inForce, 0.99));
    f.put("config_in_force_s_max", share(inForce, 1));
    f.put("config_never", gateways().stream().filter(m -> m.node.up && m.newest < newest).count());
    List<Double> knownAfter =
        changes.values().stream()
            .filter(c -> c.knownAt > 0)
            .map(c -> (c.knownAt - c.at) / (double) SECOND)
            .toList();
    f.put("config_known", knownAfter.size());
    f.put("config_known_s_p50", share(knownAfter, 0.5));
    f.put("config_known_s_max", share(knownAfter, 1));
    Change last = changes.isEmpty() ? null : changes.lastEntry().getValue();
    boolean known = last != null && last.knownAt > 0;
    f.put("newest_known_s", known ? (last.knownAt - last.at) / (double) SECOND : -1);
    f.put("restarted_in_force_s_max", share(afterRestart, 1));
    f.put("behind_after_heal_s_max", share(afterHeal, 1));
    f.put("control_bytes_per_s_p99", share(sent, 0.99));
    f.put("control_bytes_per_s_max", share(sent, 1));
    f.put("control_received_bytes_per_s_p99", share(received, 0.99));
    f.put("control_machine_bytes_per_s_p99", share(controlBytes, 0.99));
    f.put("control_machine_bytes_per_s_max", share(controlBytes, 1));
    f.put("alarms", alarms);
    return f;
  }

  private static double share(List<Double> of, double share) {
    if (of.isEmpty()) {
      return -1;
    }
    List<Double> sorted = of.stream().sorted().toList();
    double value = sorted.get((int) Math.min(sorted.size() - 1, Math.floor(sorted.size() * share)));
    return Math.round(value * 100) / 100.0;
  }
}
