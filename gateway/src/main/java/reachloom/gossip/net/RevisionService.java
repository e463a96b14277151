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
import reachloom.revision.DisseminationMember;
import reachloom.revision.Peer;
import reachloom.revision.Revision;
import reachloom.revision.RevisionDissemination;
import reachloom.revision.RevisionMessage;
import reachloom.revision.RevisionMessageSender;
import reachloom.revision.SignatureScheme;
import reachloom.time.WallClock;

/**
 * Distributes revisions of the installation's configuration at this instance: connects {@link
 * RevisionDissemination} to gossip and to the {@link Installer} that puts a document in force.
 * Confined to the event loop's thread, except {@link Installer#put}, which runs on a separate
 * thread, one document at a time.
 */
public final class RevisionService implements PiggybackPayload, RevisionDissemination.Host {
  private static final Logger LOG = System.getLogger(RevisionService.class.getName());

  /** Puts documents in force, off the event loop. */
  public interface Installer {
    /**
     * Puts a document in force; may block.
     *
     * @param number the number of its revision
     * @return an empty string, or why the document can't be put in force; then the previous one
     *     stays in force
     */
    String put(long number, byte[] document);
  }

  private final EventLoop loop;
  private final Installer installer;
  private final RevisionDissemination dissemination;
  private final List<Peer> issuers;

  /** Replaced as a whole when certificates are reloaded. */
  private volatile SignatureScheme signatures;

  /** Null if this instance is not an issuer. */
  private ConsensusNode consensusNode;

  /**
   * Creates a service that holds no revision.
   *
   * @param settings must have a {@code configuration}
   * @throws ConfigException if the issuers' certificates can't be used
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
    DisseminationMember self =
        new DisseminationMember(
            name, configuration.place(), issuers, configuration.quorum(), signatureScheme());
    dissemination =
        new RevisionDissemination(self, new SplittableRandom(seed), sender, this, loop.now());
  }

  /**
   * Reloads the issuers' certificates.
   *
   * @throws ConfigException if they can't be used; then the previous ones stay in use
   */
  void reload(GossipSettings settings, NodeIdentity identity) throws ConfigException {
    signatures =
        IssuerSignatures.read(
            settings.configuration().orElseThrow(), identity, WallClock.unixMillis());
  }

  /** Returns the dissemination of revisions, which is confined to the event loop's thread. */
  public RevisionDissemination dissemination() {
    return dissemination;
  }

  /** Returns a scheme that signs and verifies votes by the certificates that were loaded last. */
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

  /** Returns all issuers that the settings name, with the addresses at which they listen. */
  public List<Peer> issuers() {
    return issuers;
  }

  /**
   * Makes this instance an issuer with that consensus node; must be called before the instance
   * starts.
   */
  public void setConsensusNode(ConsensusNode node) {
    consensusNode = node;
  }

  /** Returns the status of revisions at this instance, in lines of printable ASCII. */
  List<String> statusLines(long now) {
    List<String> lines = new ArrayList<>(dissemination.statusLines(now));
    if (consensusNode != null) {
      lines.addAll(consensusNode.statusLines());
    }
    return lines;
  }

  // ---- Payload piggybacked on gossip ----

  @Override
  public List<RevisionMessage> messages() {
    return List.of(dissemination.have());
  }

  @Override
  public void onMessages(long now, Peer sender, List<RevisionMessage> messages) {
    dissemination.receive(now, sender, messages);
    if (consensusNode != null) {
      consensusNode.receive(now, sender, messages);
    }
  }

  @Override
  public void onPeers(long now, Collection<Peer> present) {
    dissemination.setPeers(present);
  }

  @Override
  public void tick(long now) {
    dissemination.tick(now);
  }

  // ---- Host of the dissemination ----

  @Override
  public void apply(long nowNanos, Revision revision, byte[] document) {
    Thread thread = new Thread(() -> install(revision.number(), document), "revision");
    thread.setDaemon(true);
    thread.start();
  }

  /** Puts a document in force on a separate thread and posts the result to the event loop. */
  private void install(long number, byte[] document) {
    String rejection = installer.put(number, document);
    loop.post(0, () -> installed(number, rejection));
  }

  private void installed(long number, String rejection) {
    if (rejection.isEmpty()) {
      dissemination.onInForce(loop.now(), number);
    } else {
      dissemination.onRejected(loop.now(), number, rejection);
    }
  }

  @Override
  public void alarm(long nowNanos, String message) {
    LOG.log(Level.ERROR, "revisions: {0}", message);
  }
}
