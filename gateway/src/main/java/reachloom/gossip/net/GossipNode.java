package reachloom.gossip.net;

import java.io.IOException;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.stream.Collectors;
import reachloom.config.ConfigException;
import reachloom.config.EngineMember;
import reachloom.config.GossipSettings;
import reachloom.gateway.EngineOutcomeListener;
import reachloom.gateway.EventLoop;
import reachloom.gossip.GossipProtocol;
import reachloom.gossip.wire.GossipCodec;
import reachloom.membership.MembershipMessage;
import reachloom.membership.MembershipService;
import reachloom.membership.MembershipSettings;
import reachloom.peerreport.OutcomeWindow;
import reachloom.scheduler.api.AttemptOutcome;
import reachloom.scheduler.api.EngineState;
import reachloom.time.WallClock;

/**
 * Runs gossip in this instance: connects {@link GossipProtocol} to the timers of the event loop, to
 * the socket and to the gateway, whose attempt outcomes it receives as an {@link
 * EngineOutcomeListener}.
 *
 * <p>Confined to the event loop's thread, except {@link #traffic} and {@link #awaitClosed}. {@link
 * DatagramTransport} has threads of its own; the datagrams that they verify are posted to the event
 * loop.
 */
public final class GossipNode implements EngineOutcomeListener {
  private static final Logger LOG = System.getLogger(GossipNode.class.getName());

  /** Datagrams and bytes that the socket sent and received; bytes include IP and UDP headers. */
  public record Traffic(long sent, long sentBytes, long received, long receivedBytes) {}

  private final EventLoop loop;
  private final GossipSettings settings;
  private final DatagramVerifier verifier;
  private final DatagramTransport transport;
  private final PacketSender sender;
  private final GossipProtocol gossip;
  private final StatusResponder statusResponder;
  private final Set<String> engines = new LinkedHashSet<>();

  /** Empty if the settings have no configuration to distribute. */
  private final Optional<RevisionService> revisions;

  private NodeIdentity identity;
  private boolean stopped;

  /**
   * Creates an instance that takes part in distributing revisions, if the settings say so. It
   * applies none, but reports each as in force.
   */
  public GossipNode(
      EventLoop loop,
      GossipSettings settings,
      NodeIdentity identity,
      long seed,
      BiConsumer<String, Double> peerReports)
      throws IOException, ConfigException {
    this(loop, settings, identity, seed, peerReports, (number, document) -> "");
  }

  /**
   * Creates an instance and binds its socket; nothing is sent before {@link #start}.
   *
   * @param loop the event loop that runs the instance
   * @param settings addresses, files and limits
   * @param identity key, certificate and trusted authorities
   * @param seed seed of the protocol's random numbers
   * @param peerReports receives, on the event loop, the name of an engine and the degree to which
   *     peers report it as faulty, from 0 (not at all) to 1
   * @param installer puts revisions of the configuration in force
   * @throws IOException if the socket can't be bound
   * @throws ConfigException if the issuers' certificates can't be used
   */
  public GossipNode(
      EventLoop loop,
      GossipSettings settings,
      NodeIdentity identity,
      long seed,
      BiConsumer<String, Double> peerReports,
      RevisionService.Installer installer)
      throws IOException, ConfigException {
    this.loop = loop;
    this.settings = settings;
    this.identity = identity;
    long address = PackedAddress.pack(settings.listen());
    verifier =
        new DatagramVerifier(
            settings.cluster(),
            identity,
            settings.periodNanos(),
            settings.configuration().isPresent());
    sender = new PacketSender(settings.cluster(), identity, loop::now, verifier, this::transmit);
    gossip =
        new GossipProtocol(
            new MembershipSettings(
                identity.name(),
                address,
                seeds(settings),
                settings.periodNanos(),
                settings.bytesPerSecond()),
            loop.now(),
            seed,
            sender,
            peerReports::accept);
    statusResponder = new StatusResponder(identity.name(), address, gossip, sender, loop::now);
    revisions = revisions(seed, installer);
    transport =
        new DatagramTransport(
            settings.listen(),
            verifier,
            identity,
            loop::now,
            datagram -> loop.post(GossipCodec.MAX_DATAGRAM_BYTES, () -> receive(datagram)));
    LOG.log(
        Level.INFO,
        "gossip started: instance {0}, cluster {1}, listening at {2}, limit {3} bytes/s",
        identity.name(),
        settings.cluster(),
        settings.listen(),
        Integer.toString(settings.bytesPerSecond()));
  }

  private Optional<RevisionService> revisions(long seed, RevisionService.Installer installer)
      throws ConfigException {
    if (settings.configuration().isEmpty()) {
      return Optional.empty();
    }
    RevisionService service =
        new RevisionService(loop, identity.name(), settings, identity, seed, gossip, installer);
    gossip.attachPayload(settings.configuration().get().place(), service);
    return Optional.of(service);
  }

  private void transmit(long address, byte[] unsigned) {
    transport.send(address, unsigned);
  }

  private static List<Long> seeds(GossipSettings settings) {
    return settings.seeds().stream().map(PackedAddress::pack).toList();
  }

  // ---- Lifecycle ----

  /** Starts the protocol's timer. */
  public void start() {
    tick();
  }

  private void tick() {
    if (stopped) {
      return;
    }
    gossip.tick(loop.now());
    MembershipService membership = gossip.membership();
    verifier.setMemberAddresses(
        membership.members().stream()
            .map(member -> member.address())
            .collect(Collectors.toUnmodifiableSet()));
    loop.deadlines().add(loop.now() + membership.tickIntervalNanos(), this::tick);
  }

  /**
   * Reloads keys, authorities, revocations, seeds and, if the instance distributes revisions, the
   * issuers' certificates. If any of them can't be used, or the certificate names another instance,
   * all previous ones stay in use and a warning is logged.
   */
  public void reload(GossipSettings next) {
    try {
      NodeIdentity reloaded = NodeIdentity.read(next);
      if (!reloaded.name().equals(identity.name())) {
        LOG.log(
            Level.WARNING,
            "gossip identity not reloaded: the certificate names {0}, this instance is {1}",
            reloaded.name(),
            identity.name());
        return;
      }
      if (revisions.isPresent() && next.configuration().isPresent()) {
        revisions.get().reload(next, reloaded);
      }
      identity = reloaded;
      sender.setIdentity(reloaded);
      verifier.setIdentity(reloaded);
      transport.setIdentity(reloaded);
      gossip.membership().setSeeds(seeds(next));
    } catch (ConfigException e) {
      LOG.log(
          Level.WARNING,
          "gossip settings not reloaded, the previous ones stay in use: {0}",
          e.getMessage());
    }
  }

  /**
   * Queues the announcement that this instance leaves, and has the socket closed once that is sent;
   * closes it at once if the queue is full.
   */
  public void stop() {
    if (!stopped) {
      stopped = true;
      gossip.leave(loop.now());
      transport.close();
    }
  }

  /** Closes the socket without an announcement, as the end of the process would. */
  public void abandon() {
    stopped = true;
    transport.abandon();
  }

  /**
   * Waits until the datagrams that {@link #stop} queues are sent and the socket is closed. May be
   * called from any thread except the event loop's.
   *
   * @param millis the longest wait for each of the transport's two threads, in milliseconds
   */
  public void awaitClosed(long millis) throws InterruptedException {
    transport.awaitClosed(millis);
  }

  /** Returns the traffic of the socket so far. May be called from any thread. */
  public Traffic traffic() {
    return transport.traffic();
  }

  /** Returns the gossip protocol of this instance. */
  public GossipProtocol gossip() {
    return gossip;
  }

  /**
   * Returns the service that distributes revisions of the configuration.
   *
   * @throws IllegalStateException if the settings have no configuration to distribute
   */
  public RevisionService revisions() {
    return revisions.orElseThrow(
        () -> new IllegalStateException("the gossip settings have no configuration to distribute"));
  }

  // ---- Events of engines, from the gateway ----

  @Override
  public void onEndpoints(boolean complete, List<EngineMember> members) {
    Set<String> named =
        members.stream().map(member -> member.endpoint().name()).collect(Collectors.toSet());
    if (complete) {
      engines.stream().filter(engine -> !named.contains(engine)).toList().forEach(this::remove);
    }
    for (EngineMember member : members) {
      String engine = member.endpoint().name();
      if (member.endpoint().state() == EngineState.REMOVED) {
        remove(engine);
      } else {
        engines.add(engine);
        gossip.addEngine(engine, member.endpoint().incarnation());
      }
    }
  }

  private void remove(String engine) {
    engines.remove(engine);
    gossip.removeEngine(engine);
  }

  @Override
  public void onAttemptEnded(String engine, AttemptOutcome outcome, boolean wanted) {
    OutcomeWindow.Observation.of(outcome, wanted)
        .ifPresent(observation -> gossip.recordOutcome(loop.now(), engine, observation));
  }

  // ---- Datagrams of other members ----

  private void receive(VerifiedDatagram datagram) {
    if (stopped) {
      return;
    }
    sender.noteKnownCertificate(datagram.packet().sender(), datagram.knownCertificate());
    if (datagram.packet().message() instanceof MembershipMessage.StatusRequest request) {
      statusResponder.answer(datagram, request, status());
    } else {
      gossip.receive(loop.now(), datagram.packet());
    }
  }

  /** Returns the current status. */
  StatusReport status() {
    long nowNanos = loop.now();
    StatusReport report =
        new StatusReport(nowNanos)
            .instance(identity.name(), settings.cluster(), gossip.membership())
            .traffic(sender.sentBytes(), settings.bytesPerSecond(), transport)
            .rejections(verifier.rejections())
            .certificate(identity.x509Certificate(), WallClock.instant());
    revisions.ifPresent(service -> report.lines(service.statusLines(nowNanos)));
    return report.members(gossip.membership(), gossip.quorum()).assessments(gossip.assessments());
  }
}
