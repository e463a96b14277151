package reachloom.gossip.net;

import java.security.GeneralSecurityException;
import java.security.cert.X509Certificate;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.function.LongSupplier;
import reachloom.gossip.DatagramRateLimiter;
import reachloom.gossip.Packet;
import reachloom.gossip.RejectionReason;
import reachloom.gossip.wire.DatagramHeader;
import reachloom.gossip.wire.GossipCodec;
import reachloom.gossip.wire.GossipCodec.UnreadableException;
import reachloom.time.WallClock;

/**
 * Takes datagrams in, or refuses them and counts why: first what is cheap, then the certificate,
 * then the signature, and only then the content. Belongs to the thread that reads the socket.
 */
final class DatagramVerifier {
  private static final long MILLISECOND = 1_000_000; // nanoseconds
  private static final int MAX_KNOWN = 2_048;

  /** What has come whole and proved; {@code timeMs} is its sender's Unix time in milliseconds. */
  record Entered(Packet packet, int knows, long source, long timeMs) {}

  private final int cluster;
  private final DatagramRateLimiter guard;
  private final LongSupplier wallClock;
  private final Map<String, X509Certificate> known = new LinkedHashMap<>(16, 0.75f, true);
  private volatile NodeIdentity identity;
  private volatile Set<Long> members = Set.of();

  DatagramVerifier(String cluster, NodeIdentity identity, long period) {
    this(cluster, identity, period, false);
  }

  DatagramVerifier(String cluster, NodeIdentity identity, long period, boolean revisions) {
    this(cluster, identity, period, revisions, WallClock::unixNanos);
  }

  /** The same by a wall clock handed in, in Unix nanoseconds. */
  DatagramVerifier(
      String cluster,
      NodeIdentity identity,
      long period,
      boolean revisions,
      LongSupplier wallClock) {
    guard = new DatagramRateLimiter(period, revisions);
    this.wallClock = wallClock;
    this.cluster = GossipCodec.cluster(cluster);
    this.identity = identity;
  }

  /** Keys, authorities and revocations read anew: whoever is known has to pass them again. */
  void identity(NodeIdentity next) {
    identity = next;
    synchronized (known) {
      known.clear();
    }
  }

  /** Addresses that members are known to send from. */
  void members(Set<Long> addresses) {
    members = addresses;
  }

  /**
   * The mark of a member's certificate as held here, so that it need not be sent again; 0 for none.
   */
  int knows(String member) {
    synchronized (known) {
      X509Certificate held = known.get(member);
      try {
        return held == null ? 0 : GossipCodec.mark(held.getEncoded());
      } catch (GeneralSecurityException e) {
        return 0;
      }
    }
  }

  /** How many were refused, by reason. */
  Map<RejectionReason, Long> refused() {
    synchronized (guard) {
      return guard.rejections();
    }
  }

  /**
   * Takes a datagram; null where it is refused, which is counted. {@code now} is the process's own
   * time in nanoseconds; certificates are valid by the wall clock.
   */
  Entered enter(long now, long source, byte[] bytes) {
    synchronized (guard) {
      try {
        return taken(now, source, bytes);
      } catch (UnreadableException e) {
        guard.reject(e.why());
        return null;
      }
    }
  }

  private Entered taken(long now, long source, byte[] bytes) throws UnreadableException {
    DatagramHeader head = GossipCodec.head(bytes);
    if (head.cluster() != cluster) {
      guard.reject(RejectionReason.CLUSTER);
      return null;
    }
    X509Certificate held;
    synchronized (known) {
      held = known.get(head.sender());
    }
    boolean same = held != null && (head.certificate() == null || same(held, head.certificate()));
    long wallClock = this.wallClock.getAsLong();
    DatagramRateLimiter.Arrival arrival =
        new DatagramRateLimiter.Arrival(
            source,
            members.contains(source),
            held != null,
            head.certificate() != null,
            head.sender(),
            head.time() * MILLISECOND,
            head.seq());
    if (guard.admit(now, wallClock, arrival).isPresent()) {
      return null;
    }
    X509Certificate of = same ? held : certificate(head, wallClock);
    if (of == null) {
      return null;
    }
    NodeIdentity me = identity;
    long ms = wallClock / MILLISECOND;
    if (me.revoked(of)) {
      guard.reject(RejectionReason.REVOKED);
      return null;
    }
    boolean valid = ms >= of.getNotBefore().getTime() && ms <= of.getNotAfter().getTime();
    if (!valid) {
      guard.reject(RejectionReason.CERTIFICATE);
      return null;
    }
    int signed = bytes.length - GossipCodec.SIGNATURE;
    byte[] signature = Arrays.copyOfRange(bytes, signed, bytes.length);
    if (!NodeIdentity.verify(of.getPublicKey(), bytes, signed, signature)) {
      guard.reject(RejectionReason.FORGED);
      return null;
    }
    if (!guard.acceptSequenceNumber(head.sender(), head.seq())) {
      return null;
    }
    if (!same) {
      keep(head.sender(), of);
    }
    return new Entered(GossipCodec.read(bytes, head), head.knows(), source, head.time());
  }

  private static boolean same(X509Certificate held, byte[] bytes) {
    try {
      return Arrays.equals(held.getEncoded(), bytes);
    } catch (GeneralSecurityException e) {
      return false;
    }
  }

  private X509Certificate certificate(DatagramHeader head, long wallClock) {
    try {
      X509Certificate c = NodeIdentity.certificate(head.certificate());
      if (NodeIdentity.commonName(c).equals(head.sender())
          && identity.trusts(c, wallClock / MILLISECOND)) {
        return c;
      }
    } catch (GeneralSecurityException e) {
      // told below
    }
    guard.reject(RejectionReason.CERTIFICATE);
    return null;
  }

  private void keep(String sender, X509Certificate c) {
    synchronized (known) {
      if (known.size() >= MAX_KNOWN) {
        known.remove(known.keySet().iterator().next());
      }
      known.put(sender, c);
    }
  }
}
