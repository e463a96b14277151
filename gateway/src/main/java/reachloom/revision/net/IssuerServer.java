package reachloom.revision.net;

import java.io.IOException;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.concurrent.CountDownLatch;
import reachloom.config.ConfigException;
import reachloom.config.ConfigurationSettings;
import reachloom.config.GossipSettings;
import reachloom.config.LocalSettings;
import reachloom.gateway.EventLoop;
import reachloom.gossip.net.GossipNode;
import reachloom.gossip.net.NodeIdentity;
import reachloom.membership.Member;
import reachloom.revision.ConsensusEnvironment;
import reachloom.revision.ConsensusNode;

/**
 * The server process of an issuer: a gossip member without a gateway, with a consensus node, a
 * store and a spool.
 *
 * <p>These components are confined to the thread that calls {@link #run}, which runs the event
 * loop; only the gossip transport has threads of its own. {@link #reload} and {@link #stop} may be
 * called from any thread.
 */
public final class IssuerServer {
  private static final Logger LOG = System.getLogger(IssuerServer.class.getName());
  private static final long MILLISECOND_NANOS = 1_000_000;
  private static final long TICK_INTERVAL_NANOS = 50 * MILLISECOND_NANOS;
  private static final long POLL_INTERVAL_NANOS = 100 * MILLISECOND_NANOS;
  private static final long CLOSE_TIMEOUT_MILLIS = 1_000; // to send the last datagrams
  private static final long STATUS_INTERVAL_NANOS = 250 * MILLISECOND_NANOS;

  private final String settingsFile;
  private final FileStore store;
  private final SpoolDirectory spool;
  private final EventLoop loop = new EventLoop();
  private final GossipNode node;
  private final ConsensusNode consensus;
  private final CountDownLatch stopped = new CountDownLatch(1);
  private GossipSettings settings;
  private boolean stopping;

  /**
   * Opens the store, the spool and the socket; sends nothing before {@link #run}.
   *
   * @param settingsFile the settings of the issuer (XML)
   * @param directory the issuer's own directory, with its store and its spool
   * @throws ConfigException if settings, keys or certificates cannot be used
   * @throws StoreException if the store cannot be used
   * @throws IOException if the spool or the socket cannot be opened
   */
  public IssuerServer(String settingsFile, Path directory)
      throws ConfigException, StoreException, IOException {
    this.settingsFile = settingsFile;
    settings = readSettings(settingsFile);
    NodeIdentity identity = NodeIdentity.read(settings);
    checkIssuer(settings, identity.name());
    store = FileStore.open(directory, identity.name(), settings.cluster());
    try {
      spool = new SpoolDirectory(directory);
      long seed = loop.now() ^ identity.name().hashCode();
      node = new GossipNode(loop, settings, identity, seed, (engine, level) -> {});
      consensus =
          new ConsensusNode(
              identity.name(),
              node.revisions().issuers(),
              new ConsensusEnvironment(
                  node.revisions().signatureScheme(),
                  store,
                  node.revisions().dissemination(),
                  node.gossip()),
              new SplittableRandom(seed),
              loop.now());
      node.revisions().setConsensusNode(consensus);
    } catch (ConfigException | IOException e) {
      store.close();
      throw e;
    }
    logStart(directory, identity.name());
  }

  private void logStart(Path directory, String name) {
    if (store.load().isEmpty()) {
      LOG.log(
          Level.WARNING,
          "{0}: no state file, it was lost or never created (reachloom revision init); "
              + "issuer {1} learns revisions and does not vote until it is safe to",
          directory,
          name);
    }
    LOG.log(
        Level.INFO,
        "issuer {0} of {1} at {2}, revision {3}, store {4}",
        name,
        Integer.toString(settings.configuration().orElseThrow().issuers().size()),
        settings.listen(),
        Long.toString(consensus.newestNumber()),
        directory);
  }

  /**
   * Reads the gossip settings of a file in which gossip and revisions are enabled.
   *
   * @throws ConfigException if the file cannot be used, or does not enable gossip or revisions
   */
  public static GossipSettings readSettings(String file) throws ConfigException {
    GossipSettings settings =
        LocalSettings.read(file, Map.of())
            .gossip()
            .orElseThrow(() -> new ConfigException(file + ": gossip is not enabled"));
    if (settings.configuration().isEmpty()) {
      throw new ConfigException(
          file + ": gossip: configuration, which names the issuers, is missing");
    }
    return settings;
  }

  /** Checks that the settings name this issuer, with the port that it listens on. */
  private static void checkIssuer(GossipSettings settings, String name) throws ConfigException {
    ConfigurationSettings.Issuer issuer =
        settings.configuration().orElseThrow().issuers().stream()
            .filter(candidate -> candidate.name().equals(name))
            .findFirst()
            .orElseThrow(() -> unknownIssuer(settings, name));
    if (issuer.address().getPort() != settings.listen().getPort()) {
      throw new ConfigException(
          "gossip listen: "
              + settings.listen()
              + " does not have the port of issuer '"
              + name
              + "' in the settings ("
              + issuer.address()
              + ")");
    }
  }

  private static ConfigException unknownIssuer(GossipSettings settings, String name) {
    return new ConfigException(
        settings.certificateFile() + ": '" + name + "' is not among the issuers of the settings");
  }

  /** Runs the event loop on the calling thread until {@link #stop} is called. */
  public void run() {
    loop.post(
        0,
        () -> {
          node.start();
          tick();
          pollSpool();
          writeStatus();
        });
    loop.run();
    try {
      node.awaitClosed(CLOSE_TIMEOUT_MILLIS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    store.close();
    stopped.countDown();
  }

  private void tick() {
    if (!stopping) {
      consensus.tick(loop.now());
      loop.deadlines().add(loop.now() + TICK_INTERVAL_NANOS, this::tick);
    }
  }

  private void pollSpool() {
    if (!stopping) {
      spool.poll(
          loop.now() / MILLISECOND_NANOS,
          (document, result) -> consensus.propose(loop.now(), document, result));
      loop.deadlines().add(loop.now() + POLL_INTERVAL_NANOS, this::pollSpool);
    }
  }

  private void writeStatus() {
    if (!stopping) {
      spool.writeStatus(rolloutStatus());
      loop.deadlines().add(loop.now() + STATUS_INTERVAL_NANOS, this::writeStatus);
    }
  }

  private RolloutStatus rolloutStatus() {
    Map<Integer, Integer> present = new TreeMap<>();
    List<String> issuers = node.revisions().issuers().stream().map(p -> p.name()).toList();
    for (Member member : node.gossip().membership().members()) {
      if (member.state().present() && member.place() != 0 && !issuers.contains(member.name())) {
        present.merge(member.place(), 1, Integer::sum);
      }
    }
    return RolloutStatus.of(
        consensus.newestNumber(), node.revisions().dissemination().censuses(), present);
  }

  /**
   * Reloads keys, authorities, revocations, seeds and the issuers' certificates. Settings that
   * cannot be used are logged, and the previous ones stay in effect.
   */
  public void reload() {
    GossipSettings next;
    try {
      next = readSettings(settingsFile);
    } catch (ConfigException e) {
      LOG.log(
          Level.WARNING,
          "cannot reload the settings, the previous ones stay in effect: {0}",
          e.getMessage());
      return;
    }
    loop.post(
        0,
        () -> {
          List<String> before = issuerAddresses(settings);
          if (!issuerAddresses(next).equals(before)) {
            LOG.log(
                Level.WARNING,
                "the issuers in the settings have changed; this takes effect only after a restart");
          }
          settings = next;
          node.reload(next);
        });
  }

  private static List<String> issuerAddresses(GossipSettings settings) {
    return settings.configuration().orElseThrow().issuers().stream()
        .map(i -> i.name() + i.address())
        .toList();
  }

  /**
   * Leaves the gossip cluster and ends {@link #run}; returns once {@code run} has ended.
   *
   * @throws InterruptedException if the calling thread is interrupted while it waits
   */
  public void stop() throws InterruptedException {
    loop.post(
        0,
        () -> {
          stopping = true;
          node.stop();
          loop.end();
        });
    stopped.await();
  }
}
