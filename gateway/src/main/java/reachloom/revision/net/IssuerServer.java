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
 * An issuer as a process: a member of gossip without a gateway, with its consensus node, its store
 * and its spool.
 *
 * <p>All of these are confined to the thread that calls {@link #run}, which runs the event loop;
 * only the gossip transport has threads of its own. {@link #reload} and {@link #stop} may be called
 * from any thread.
 */
public final class IssuerServer {
  private static final Logger LOG = System.getLogger(IssuerServer.class.getName());
  private static final long MILLISECOND = 1_000_000; // nanoseconds
  private static final long TICK_INTERVAL_NANOS = 50 * MILLISECOND;
  private static final long POLL_INTERVAL_NANOS = 100 * MILLISECOND;
  private static final long CLOSE_TIMEOUT_MILLIS = 1_000; // for the last datagrams
  private static final long STATUS_INTERVAL_NANOS = 250 * MILLISECOND;

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
   * Opens store, spool and socket; nothing is sent before {@link #run}.
   *
   * @param settingsFile the installation's settings (XML)
   * @param directory the issuer's own, with its store and its spool
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
                  node.revisions().signatureScheme(), store, node.revisions().dissemination(), node.gossip()),
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
          "{0} holds no state: it was lost, or never made (reachloom revision init); "
              + "{1} learns, and gives no vote before it may",
          directory,
          name);
    }
    LOG.log(
        Level.INFO,
        "issuer {0} of {1} at {2}, revision {3}, store {4}",
        name,
        Integer.toString(settings.configuration().orElseThrow().issuers().size()),
        settings.listen(),
        Long.toString(consensus.number()),
        directory);
  }

  /**
   * The gossip settings of an installation in which revisions are on.
   *
   * @throws ConfigException if the file cannot be used, or has gossip or revisions off
   */
  public static GossipSettings readSettings(String file) throws ConfigException {
    GossipSettings settings =
        LocalSettings.read(file, Map.of())
            .gossip()
            .orElseThrow(() -> new ConfigException(file + ": gossip is off"));
    if (settings.configuration().isEmpty()) {
      throw new ConfigException(file + ": gossip names no issuers (configuration)");
    }
    return settings;
  }

  /** Checks that the settings name this issuer, at the address where it listens. */
  private static void checkIssuer(GossipSettings settings, String name) throws ConfigException {
    ConfigurationSettings.Issuer issuer =
        settings.configuration().orElseThrow().issuers().stream()
            .filter(candidate -> candidate.name().equals(name))
            .findFirst()
            .orElseThrow(() -> notNamed(settings, name));
    if (issuer.address().getPort() != settings.listen().getPort()) {
      throw new ConfigException(
          "gossip listen: "
              + settings.listen()
              + " is not where the settings have issuer '"
              + name
              + "' ("
              + issuer.address()
              + ")");
    }
  }

  private static ConfigException notNamed(GossipSettings settings, String name) {
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
          loop.now() / MILLISECOND,
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
    for (Member m : node.gossip().membership().members()) {
      if (m.state().present() && m.place() != 0 && !issuers.contains(m.name())) {
        present.merge(m.place(), 1, Integer::sum);
      }
    }
    return RolloutStatus.of(
        consensus.number(), node.revisions().dissemination().censuses(), present);
  }

  /**
   * Reads keys, authorities, revocations, seeds and the issuers' certificates again. Settings that
   * cannot be used are logged, and change nothing.
   */
  public void reload() {
    GossipSettings next;
    try {
      next = readSettings(settingsFile);
    } catch (ConfigException e) {
      LOG.log(Level.WARNING, "the settings stay as they are: {0}", e.getMessage());
      return;
    }
    loop.post(
        0,
        () -> {
          List<String> before = issuerAddresses(settings);
          if (!issuerAddresses(next).equals(before)) {
            LOG.log(
                Level.WARNING, "issuers: have changed, which takes effect at the next start only");
          }
          settings = next;
          node.reload(next);
        });
  }

  private static List<String> issuerAddresses(GossipSettings s) {
    return s.configuration().orElseThrow().issuers().stream()
        .map(i -> i.name() + i.address())
        .toList();
  }

  /**
   * Leaves gossip and ends {@link #run}; returns once that has ended.
   *
   * @throws InterruptedException if the calling thread is interrupted meanwhile
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
