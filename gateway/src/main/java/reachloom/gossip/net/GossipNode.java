package reachloom.gossip.net;

import java.io.IOException;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.nio.charset.StandardCharsets;
import java.security.cert.X509Certificate;
import java.util.ArrayList;
import java.util.Date;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.stream.Collectors;
import reachloom.config.ConfigException;
import reachloom.config.EngineMember;
import reachloom.config.GossipSettings;
import reachloom.gateway.EngineOutcomeListener;
import reachloom.gateway.EventLoop;
import reachloom.gossip.GossipProtocol;
import reachloom.gossip.Packet;
import reachloom.gossip.Transport;
import reachloom.gossip.wire.GossipCodec;
import reachloom.membership.BandwidthLimiter;
import reachloom.membership.MembershipMessage;
import reachloom.membership.MembershipSettings;
import reachloom.membership.MembershipUpdate;
import reachloom.peerreport.OutcomeWindow;
import reachloom.peerreport.PeerReport;
import reachloom.peerreport.WeightedQuorum;
import reachloom.revision.RevisionMessage;
import reachloom.scheduler.api.AttemptOutcome;
import reachloom.scheduler.api.EngineState;
import reachloom.time.WallClock;

/**
 * This gateway among the others: ties the pure modules to the loop and the port. All but the port's
 * own threads runs on the loop.
 */
public final class GossipNode implements EngineOutcomeListener, Transport {
  private static final Logger LOG = System.getLogger(GossipNode.class.getName());
  private static final long MILLISECOND = 1_000_000; // nanoseconds
  private static final int PAGE = 900; // bytes of a page of status
  private static final int MAX_PAGES = 200;

  /** What went through the port so far; bytes count what IP and UDP add. */
  public record Traffic(long sent, long sentBytes, long received, long receivedBytes) {}

  private final EventLoop loop;
  private final GossipSettings settings;
  private final DatagramVerifier doorway;
  private final DatagramTransport port;
  private final GossipProtocol gossip;
  private final int cluster;
  private final Set<String> knowsUs = new HashSet<>();
  private final Set<String> engines = new LinkedHashSet<>();
  private NodeIdentity identity;

  /** Null where the settings give the instance no part in spreading the configuration. */
  private RevisionService revisions;

  private long seq;
  private long sent;
  private boolean over;

  /** An instance that hears of revisions, where the settings say so, but puts none in force. */
  public GossipNode(
      EventLoop loop,
      GossipSettings settings,
      NodeIdentity identity,
      long seed,
      BiConsumer<String, Double> hearsay)
      throws IOException, ConfigException {
    this(loop, settings, identity, seed, hearsay, (number, document) -> "");
  }

  /**
   * Opens the port; {@code hearsay} hears, on the loop, of engines that others speak against,
   * {@code installer} puts revisions of the configuration in force.
   */
  public GossipNode(
      EventLoop loop,
      GossipSettings settings,
      NodeIdentity identity,
      long seed,
      BiConsumer<String, Double> hearsay,
      RevisionService.Installer installer)
      throws IOException, ConfigException {
    this.loop = loop;
    this.settings = settings;
    this.identity = identity;
    cluster = GossipCodec.cluster(settings.cluster());
    seq = loop.now(); // above all that an earlier life has used
    gossip =
        new GossipProtocol(
            new MembershipSettings(
                identity.name(),
                DatagramTransport.number(settings.listen()),
                seeds(settings),
                settings.periodNanos(),
                settings.bytesPerSecond()),
            loop.now(),
            seed,
            this,
            hearsay::accept);
    if (settings.configuration().isPresent()) {
      revisions =
          new RevisionService(loop, identity.name(), settings, identity, seed, gossip, installer);
      gossip.attachPayload(settings.configuration().get().place(), revisions);
    }
    doorway =
        new DatagramVerifier(
            settings.cluster(), identity, settings.periodNanos(), revisions != null);
    port =
        new DatagramTransport(
            settings.listen(),
            doorway,
            identity,
            loop::now,
            e -> loop.post(GossipCodec.MOST, () -> entered(e)));
    LOG.log(
        Level.INFO,
        "gossip as {0} in {1} at {2}, {3} bytes a second at most",
        identity.name(),
        settings.cluster(),
        settings.listen(),
        Integer.toString(settings.bytesPerSecond()));
  }

  private static List<Long> seeds(GossipSettings s) {
    return s.seeds().stream().map(DatagramTransport::number).toList();
  }

  /** Begins to look at the clock. */
  public void start() {
    tick();
  }

  private void tick() {
    if (over) {
      return;
    }
    gossip.tick(loop.now());
    doorway.members(
        gossip.membership().members().stream()
            .map(m -> m.address())
            .collect(Collectors.toUnmodifiableSet()));
    loop.deadlines().add(loop.now() + gossip.membership().tickIntervalNanos(), this::tick);
  }

  /** Takes over keys, authorities, revocations and seeds read anew. */
  public void reload(GossipSettings next) {
    try {
      NodeIdentity read = NodeIdentity.read(next);
      if (!read.name().equals(identity.name())) {
        LOG.log(
            Level.WARNING,
            "gossip identity: {0} is another instance; it stays {1}",
            read.name(),
            identity.name());
        return;
      }
      if (revisions != null && next.configuration().isPresent()) {
        revisions.reload(next, read);
      }
      identity = read;
      knowsUs.clear(); // they hold the certificate before
      doorway.identity(read);
      port.identity(read);
      gossip.membership().setSeeds(seeds(next));
    } catch (ConfigException e) {
      LOG.log(Level.WARNING, "gossip stays as it is: {0}", e.getMessage());
    }
  }

  /** Says good-bye and closes the port. */
  public void stop() {
    if (!over) {
      over = true;
      gossip.leave(loop.now());
      port.close();
    }
  }

  /** Closes the port without a word, as the end of the process would. */
  public void abandon() {
    over = true;
    port.abandon();
  }

  /** What went through the port so far; from any thread. */
  public Traffic traffic() {
    return port.traffic();
  }

  /** Waits, twice that long at most, until the good-bye has gone out and the port is free again. */
  public void awaitClosed(long ms) throws InterruptedException {
    port.awaitClosed(ms);
  }

  public GossipProtocol gossip() {
    return gossip;
  }

  /** Revisions of the configuration; null where they are off. */
  public RevisionService revisions() {
    return revisions;
  }

  // ---- What the gateway sees ----

  @Override
  public void onEndpoints(boolean whole, List<EngineMember> members) {
    Set<String> named = members.stream().map(m -> m.endpoint().name()).collect(Collectors.toSet());
    if (whole) {
      engines.stream().filter(e -> !named.contains(e)).toList().forEach(this::gone);
    }
    for (EngineMember m : members) {
      if (m.endpoint().state() == EngineState.REMOVED) {
        gone(m.endpoint().name());
      } else {
        engines.add(m.endpoint().name());
        gossip.addEngine(m.endpoint().name(), m.endpoint().incarnation());
      }
    }
  }

  private void gone(String engine) {
    engines.remove(engine);
    gossip.removeEngine(engine);
  }

  @Override
  public void onAttemptEnded(String engine, AttemptOutcome outcome, boolean wanted) {
    OutcomeWindow.Observation.of(outcome, wanted)
        .ifPresent(seen -> gossip.recordOutcome(loop.now(), engine, seen));
  }

  // ---- What comes ----

  private void entered(DatagramVerifier.Entered e) {
    if (over) {
      return;
    }
    Packet p = e.packet();
    // One that still holds the certificate before has to get the new one: its mark tells.
    if (e.knows() == GossipCodec.mark(identity.certificate())) {
      knowsUs.add(p.sender());
    } else {
      knowsUs.remove(p.sender());
    }
    if (p.message() instanceof MembershipMessage.StatusRequest s) {
      status(p, s, e.source(), e.timeMs());
    } else {
      gossip.receive(loop.now(), p);
    }
  }

  // ---- What goes out ----

  @Override
  public int messageBytes(String to, MembershipMessage message) {
    return GossipCodec.size(
        identity.name(), message, knowsUs.contains(to) ? 0 : identity.certificate().length);
  }

  @Override
  public int updateBytes(MembershipUpdate news) {
    return GossipCodec.size(news);
  }

  @Override
  public int reportBytes(PeerReport claim) {
    return GossipCodec.size(claim);
  }

  @Override
  public int revisionMessageBytes(RevisionMessage word) {
    return GossipCodec.size(word);
  }

  @Override
  public int payloadBytes(int place, List<RevisionMessage> words) {
    return GossipCodec.riding(place, words);
  }

  @Override
  public void send(String to, long address, Packet packet) {
    send(to, address, packet, loop.now() / MILLISECOND);
  }

  private void send(String to, long address, Packet packet, long timeMs) {
    byte[] certificate = knowsUs.contains(to) ? null : identity.certificate();
    byte[] unsigned =
        GossipCodec.write(cluster, packet, seq++, timeMs, certificate, doorway.knows(to));
    sent += unsigned.length + GossipCodec.SIGNATURE + GossipCodec.UDP;
    port.send(address, unsigned);
  }

  // ---- Status ----

  /**
   * Answers an operator with one page of the status, to where the question came from. The answer
   * bears the time of the question: that is fresh by the clock of whoever asked, however far from
   * this machine's.
   */
  private void status(Packet asked, MembershipMessage.StatusRequest s, long source, long timeMs) {
    List<String> pages = pages();
    if (s.page() < 0 || s.page() >= pages.size()) {
      return;
    }
    MembershipMessage answer =
        new MembershipMessage.StatusPage(s.page(), pages.size(), pages.get(s.page()));
    int size = messageBytes(asked.sender(), answer);
    if (gossip
        .membership()
        .bandwidth()
        .hasRoom(loop.now(), BandwidthLimiter.Purpose.ANSWER, size)) {
      gossip.membership().bandwidth().record(loop.now(), size, 0);
      send(
          asked.sender(),
          source,
          new Packet(
              identity.name(),
              DatagramTransport.number(settings.listen()),
              gossip.membership().incarnation(),
              answer,
              List.of(),
              List.of()),
          timeMs);
    }
  }

  private List<String> pages() {
    List<String> pages = new ArrayList<>();
    StringBuilder page = new StringBuilder();
    for (String line : lines()) {
      if (page.length() + line.length() + 1 > PAGE) {
        pages.add(page.toString());
        page.setLength(0);
      }
      page.append(line).append('\n');
    }
    pages.add(page.toString());
    return pages.subList(0, Math.min(MAX_PAGES, pages.size()));
  }

  private static boolean valid(X509Certificate c) {
    Date now = Date.from(WallClock.instant());
    return !now.before(c.getNotBefore()) && !now.after(c.getNotAfter());
  }

  /** What an operator wants to know, a line each; ASCII. */
  List<String> lines() {
    List<String> lines = new ArrayList<>();
    var membership = gossip.membership();
    long now = loop.now();
    lines.add(
        "instance "
            + identity.name()
            + " cluster "
            + settings.cluster()
            + " incarnation "
            + membership.incarnation()
            + " health "
            + membership.healthScore()
            + " members "
            + membership.size());
    lines.add(
        "bytes sent "
            + sent
            + " cap "
            + settings.bytesPerSecond()
            + " a second, datagrams dropped "
            + port.dropped()
            + ", sent "
            + port.traffic().sent()
            + ", received "
            + port.traffic().received()
            + " of "
            + port.traffic().receivedBytes()
            + " bytes");
    lines.add("refused " + doorway.refused());
    if (!valid(identity.own())) {
      lines.add(
          "certificate of this instance is not valid by this machine's wall clock, "
              + WallClock.instant());
    }
    if (revisions != null) {
      lines.addAll(revisions.lines(now));
    }
    membership
        .members()
        .forEach(
            m ->
                lines.add(
                    "member "
                        + m.name()
                        + " "
                        + DatagramTransport.address(m.address()).toString().substring(1)
                        + " "
                        + m.state()
                        + " incarnation "
                        + m.incarnation()
                        + " for "
                        + (now - m.sinceNanos()) / (1_000 * MILLISECOND)
                        + " s standing "
                        + String.format("%.2f", gossip.quorum().reputation(m.name()))
                        + " contradicted "
                        + gossip.quorum().contradictions(m.name())));
    for (WeightedQuorum.Assessment b : gossip.assessments()) {
      lines.add(
          "engine "
              + b.engine()
              + " level "
              + String.format("%.2f", b.level())
              + " accused by "
              + String.join(",", b.accusers())
              + " vouched for by "
              + String.join(",", b.vouchers()));
    }
    lines.replaceAll(l -> l.length() > PAGE - 1 ? l.substring(0, PAGE - 1) : l);
    lines.replaceAll(
        l -> new String(l.getBytes(StandardCharsets.US_ASCII), StandardCharsets.US_ASCII));
    return lines;
  }
}
