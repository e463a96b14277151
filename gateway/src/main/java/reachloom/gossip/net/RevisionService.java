package reachloom.gossip.net;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.SplittableRandom;
import reachloom.config.ConfigException;
import reachloom.config.ConfigurationSettings;
import reachloom.config.GossipSettings;
import reachloom.gateway.EventLoop;
import reachloom.gossip.PiggybackPayload;
import reachloom.revision.ConsensusNode;
import reachloom.revision.Peer;
import reachloom.revision.Revision;
import reachloom.revision.RevisionDissemination;
import reachloom.revision.RevisionMessage;
import reachloom.revision.RevisionMessageSender;
import reachloom.revision.SignatureScheme;
import reachloom.time.WallClock;

/**
 * Revisions of the installation's configuration at this instance: ties {@link
 * RevisionDissemination} to gossip and to whoever puts a document in force. All of it runs on the
 * loop, but for putting in force, which has a thread of its own, one document at a time.
 */
public final class RevisionService implements PiggybackPayload, RevisionDissemination.Host {
  private static final Logger LOG = System.getLogger(RevisionService.class.getName());

  /** Puts a document in force, off the loop. */
  public interface Installer {
    /** Gives "", or why it can't be put in force; then the one before stays. */
    String put(long number, byte[] document);
  }

  private final EventLoop loop;
  private final Installer installer;
  private final RevisionDissemination dissemination;
  private final List<Peer> issuers;
  private volatile SignatureScheme seal;

  /** Null where this instance is no issuer. */
  private ConsensusNode council;

  RevisionService(
      EventLoop loop,
      String name,
      GossipSettings settings,
      NodeIdentity identity,
      long seed,
      RevisionMessageSender outlet,
      Installer installer)
      throws ConfigException {
    this.loop = loop;
    this.installer = installer;
    ConfigurationSettings c = settings.configuration().orElseThrow();
    reload(settings, identity);
    issuers =
        c.issuers().stream()
            .map(i -> new Peer(i.name(), DatagramTransport.number(i.address()), 0))
            .toList();
    boolean issuer = issuers.stream().anyMatch(i -> i.name().equals(name));
    dissemination =
        new RevisionDissemination(
            name,
            c.place(),
            issuer,
            issuers,
            c.quorum(),
            seal(),
            new SplittableRandom(seed),
            outlet,
            this,
            loop.now());
  }

  /** Reads the issuers' certificates anew. */
  void reload(GossipSettings settings, NodeIdentity identity) throws ConfigException {
    seal =
        IssuerSignatures.read(
            settings.configuration().orElseThrow(), identity, WallClock.unixMillis());
  }

  /** The member's part; for the loop's thread. */
  public RevisionDissemination dissemination() {
    return dissemination;
  }

  /** What signs and proves votes, whatever certificates are read anew. */
  public SignatureScheme seal() {
    return new SignatureScheme() {
      @Override
      public byte[] sign(byte[] chain) {
        return seal.sign(chain);
      }

      @Override
      public boolean verify(String of, byte[] chain, byte[] signature) {
        return seal.verify(of, chain, signature);
      }
    };
  }

  /** All issuers that the settings name, where they listen. */
  public List<Peer> issuers() {
    return issuers;
  }

  /** This instance is an issuer; before it starts. */
  public void join(ConsensusNode of) {
    council = of;
  }

  /** What there is to tell, in lines of ASCII. */
  List<String> lines(long now) {
    List<String> lines = new ArrayList<>(dissemination.lines(now));
    if (council != null) {
      lines.addAll(council.statusLines());
    }
    return lines;
  }

  // ---- What rides on gossip ----

  @Override
  public List<RevisionMessage> messages() {
    return List.of(dissemination.have());
  }

  @Override
  public void onMessages(long now, Peer sender, List<RevisionMessage> words) {
    dissemination.hear(now, sender, words);
    if (council != null) {
      council.receive(now, sender, words);
    }
  }

  @Override
  public void onPeers(long now, Collection<Peer> present) {
    dissemination.peers(present);
  }

  @Override
  public void tick(long now) {
    dissemination.tick(now);
  }

  // ---- What comes of it ----

  @Override
  public void apply(long now, Revision revision, byte[] document) {
    Thread t =
        new Thread(
            () -> {
              String refusal = installer.put(revision.number(), document);
              loop.post(
                  0,
                  () -> {
                    if (refusal.isEmpty()) {
                      dissemination.inForce(loop.now(), revision.number());
                    } else {
                      dissemination.refused(loop.now(), revision.number(), refusal);
                    }
                  });
            },
            "revision");
    t.setDaemon(true);
    t.start();
  }

  @Override
  public void alarm(long now, String what) {
    LOG.log(Level.ERROR, "revisions: {0}", what);
  }
}
