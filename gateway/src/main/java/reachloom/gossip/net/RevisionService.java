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
import reachloom.revision.LocalMember;
import reachloom.revision.Peer;
import reachloom.revision.Revision;
import reachloom.revision.RevisionDissemination;
import reachloom.revision.RevisionMessage;
import reachloom.revision.RevisionMessageSender;
import reachloom.revision.SignatureScheme;
import reachloom.time.WallClock;

/**
 * Revisions of the installation's configuration at this instance: ties {@link
 * RevisionDissemination} to gossip, and to whoever puts a document in force. Confined to the event
 * loop's thread, but for {@link Installer#put}, which runs on a thread of its own, one document at
 * a time.
 */
public final class RevisionService implements PiggybackPayload, RevisionDissemination.Host {
  private static final Logger LOG = System.getLogger(RevisionService.class.getName());

  /** Puts documents in force, off the event loop. */
  public interface Installer {
    /**
     * Puts a document in force; may block.
     *
     * @param number the number of its revision
     * @return an empty string, or why it can't be put in force; then the one before stays
     */
    String put(long number, byte[] document);
  }

  private final EventLoop loop;
  private final Installer installer;
  private final RevisionDissemination dissemination;
  private final List<Peer> issuers;

  /** Replaced as a whole when certificates are read again. */
  private volatile SignatureScheme signatures;

  /** Null where this instance is no issuer. */
  private ConsensusNode consensusNode;

  /**
   * Starts with no revision.
   *
   * @param settings with {@code configuration}
   * @throws ConfigException where the issuers' certificates can't be used
   */
  RevisionService(
      EventLoop loop,
      String name,
      GossipSettings settings,
      NodeIdentity identity,
      long seed,
      RevisionMessageSender sender,
      Installer installer)
      throws ConfigException {
    this.loop = loop;
    this.installer = installer;
    ConfigurationSettings configuration = settings.configuration().orElseThrow();
    reload(settings, identity);
    issuers =
        configuration.issuers().stream()
            .map(issuer -> new Peer(issuer.name(), PackedAddress.pack(issuer.address()), 0))
            .toList();
    LocalMember self =
        new LocalMember(name, configuration.place(), issuers, configuration.quorum(), signatureScheme());
    dissemination =
        new RevisionDissemination(self, new SplittableRandom(seed), sender, this, loop.now());
  }

  /**
   * Reads the issuers' certificates again.
   *
   * @throws ConfigException where they can't be used; then those before stay
   */
  void reload(GossipSettings settings, NodeIdentity identity) throws ConfigException {
    signatures =
        IssuerSignatures.read(
            settings.configuration().orElseThrow(), identity, WallClock.unixMillis());
  }

  /** This member's part in spreading revisions; for the event loop's thread. */
  public RevisionDissemination dissemination() {
    return dissemination;
  }

  /** Signs and proves votes by the certificates that were read last. */
  public SignatureScheme signatureScheme() {
    return new SignatureScheme() {
      @Override
      public byte[] sign(byte[] chain) {
        return signatures.sign(chain);
      }

      @Override
      public boolean verify(String issuer, byte[] chain, byte[] signature) {
        return signatures.verify(issuer, chain, signature);
      }
    };
  }

  /** All issuers that the settings name, where they listen. */
  public List<Peer> issuers() {
    return issuers;
  }

  /** This instance is an issuer, with that consensus node; to be called before it starts. */
  public void setConsensusNode(ConsensusNode node) {
    consensusNode = node;
  }

  /** The status of this instance, in lines of printable ASCII. */
  List<String> lines(long now) {
    List<String> lines = new ArrayList<>(dissemination.lines(now));
    if (consensusNode != null) {
      lines.addAll(consensusNode.statusLines());
    }
    return lines;
  }

  // ---- The payload of gossip ----

  @Override
  public List<RevisionMessage> messages() {
    return List.of(dissemination.have());
  }

  @Override
  public void onMessages(long now, Peer sender, List<RevisionMessage> words) {
    dissemination.hear(now, sender, words);
    if (consensusNode != null) {
      consensusNode.receive(now, sender, words);
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

  // ---- The host of the dissemination ----

  @Override
  public void apply(long nowNanos, Revision revision, byte[] document) {
    Thread thread = new Thread(() -> install(revision.number(), document), "revision");
    thread.setDaemon(true);
    thread.start();
  }

  /** Runs on a thread of its own; the result goes back to the event loop. */
  private void install(long number, byte[] document) {
    String rejection = installer.put(number, document);
    loop.post(0, () -> installed(number, rejection));
  }

  private void installed(long number, String rejection) {
    if (rejection.isEmpty()) {
      dissemination.inForce(loop.now(), number);
    } else {
      dissemination.refused(loop.now(), number, rejection);
    }
  }

  @Override
  public void alarm(long nowNanos, String message) {
    LOG.log(Level.ERROR, "revisions: {0}", message);
  }
}
