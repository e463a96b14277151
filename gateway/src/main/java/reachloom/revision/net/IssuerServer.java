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
import reachloom.revision.ConsensusNode;

/**
 * An issuer as a process: a member of gossip without a gateway, with its council, its store and its
 * spool. All but the port's own threads runs on its loop.
 */
public final class IssuerServer {
  private static final Logger LOG = System.getLogger(IssuerServer.class.getName());
  private static final long MILLISECOND = 1_000_000; // nanoseconds
  private static final long TICK = 50 * MILLISECOND;
  private static final long LOOK = 100 * MILLISECOND;
  private static final long CLOSE_MS = 1_000; // for the last datagrams
  private static final long STATUS = 250 * MILLISECOND;

  private final String settingsFile;
  private final FileStore store;
  private final SpoolDirectory spool;
  private final EventLoop loop = new EventLoop();
  private final GossipNode node;
  private final ConsensusNode council;
  private final CountDownLatch stopped = new CountDownLatch(1);
  private GossipSettings settings;
  private boolean stopping;

  /** Opens store, spool and port; nothing is said before {@link #run}. */
  public IssuerServer(String settingsFile, Path folder) throws ConfigException, IOException {
    this.settingsFile = settingsFile;
    settings = settings(settingsFile);
    NodeIdentity identity = NodeIdentity.read(settings);
    issuer(settings, identity.name());
    store = FileStore.open(folder, identity.name(), settings.cluster());
    try {
      spool = new SpoolDirectory(folder);
      long seed = loop.now() ^ identity.name().hashCode();
      node = new GossipNode(loop, settings, identity, seed, (engine, level) -> {});
      council =
          new ConsensusNode(
              identity.name(),
              node.revisions().issuers(),
              node.revisions().seal(),
              store,
              node.revisions().dissemination(),
              node.gossip(),
              new SplittableRandom(seed),
              loop.now());
      node.revisions().join(council);
    } catch (ConfigException | IOException e) {
      store.close();
      throw e;
    }
    if (store.load() == null) {
      LOG.log(
          Level.WARNING,
          "{0} holds no state: it was lost, or never made (reachloom revision init); "
              + "{1} learns, and gives no vote before it may",
          folder,
          identity.name());
    }
    LOG.log(
        Level.INFO,
        "issuer {0} of {1} at {2}, revision {3}, store {4}",
        identity.name(),
        Integer.toString(settings.configuration().orElseThrow().issuers().size()),
        settings.listen(),
        Long.toString(council.number()),
        folder);
  }

  /** The gossip settings of an installation in which revisions are on. */
  public static GossipSettings settings(String file) throws ConfigException {
    GossipSettings s =
        LocalSettings.read(file, Map.of())
            .gossip()
            .orElseThrow(() -> new ConfigException(file + ": gossip is off"));
    if (s.configuration().isEmpty()) {
      throw new ConfigException(file + ": gossip names no issuers (configuration)");
    }
    return s;
  }

  /** The issuer of that name, which has to listen where the settings say. */
  static void issuer(GossipSettings s, String name) throws ConfigException {
    List<ConfigurationSettings.Issuer> all = s.configuration().orElseThrow().issuers();
    ConfigurationSettings.Issuer mine =
        all.stream()
            .filter(i -> i.name().equals(name))
            .findFirst()
            .orElseThrow(
                () ->
                    new ConfigException(
                        s.certificateFile()
                            + ": '"
                            + name
                            + "' is not among the issuers of the settings"));
    if (mine.address().getPort() != s.listen().getPort()) {
      throw new ConfigException(
          "gossip listen: "
              + s.listen()
              + " is not where the settings have issuer '"
              + name
              + "' ("
              + mine.address()
              + ")");
    }
  }

  /** Runs until it is stopped. */
  public void run() {
    loop.post(
        0,
        () -> {
          node.start();
          tick();
          look();
          status();
        });
    loop.run();
    try {
      node.awaitClosed(CLOSE_MS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    store.close();
    stopped.countDown();
  }

  private void tick() {
    if (!stopping) {
      council.tick(loop.now());
      loop.deadlines().add(loop.now() + TICK, this::tick);
    }
  }

  private void look() {
    if (!stopping) {
      spool.look(
          loop.now() / MILLISECOND,
          (document, result) -> council.propose(loop.now(), document, result));
      loop.deadlines().add(loop.now() + LOOK, this::look);
    }
  }

  private void status() {
    if (!stopping) {
      spool.status(progress());
      loop.deadlines().add(loop.now() + STATUS, this::status);
    }
  }

  private RolloutStatus progress() {
    Map<Integer, Integer> present = new TreeMap<>();
    List<String> issuers = node.revisions().issuers().stream().map(p -> p.name()).toList();
    for (Member m : node.gossip().membership().members()) {
      if (m.state().present() && m.place() != 0 && !issuers.contains(m.name())) {
        present.merge(m.place(), 1, Integer::sum);
      }
    }
    return RolloutStatus.of(council.number(), node.revisions().dissemination().censuses(), present);
  }

  /** Reads keys, authorities, revocations, seeds and the issuers' certificates again. */
  public void reload() {
    GossipSettings next;
    try {
      next = settings(settingsFile);
    } catch (ConfigException e) {
      LOG.log(Level.WARNING, "the settings stay as they are: {0}", e.getMessage());
      return;
    }
    loop.post(
        0,
        () -> {
          List<String> before = names(settings);
          if (!names(next).equals(before)) {
            LOG.log(
                Level.WARNING, "issuers: have changed, which takes effect at the next start only");
          }
          settings = next;
          node.reload(next);
        });
  }

  private static List<String> names(GossipSettings s) {
    return s.configuration().orElseThrow().issuers().stream()
        .map(i -> i.name() + i.address())
        .toList();
  }

  /** Says good-bye and ends {@link #run}; gives once it has ended. */
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
