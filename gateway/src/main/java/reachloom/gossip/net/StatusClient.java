package reachloom.gossip.net;

import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetSocketAddress;
import java.net.SocketTimeoutException;
import java.nio.file.Path;
import java.security.GeneralSecurityException;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;
import reachloom.config.ConfigException;
import reachloom.config.GossipSettings;
import reachloom.gossip.Packet;
import reachloom.gossip.wire.DatagramEnvelope;
import reachloom.gossip.wire.GossipCodec;
import reachloom.membership.MembershipMessage;
import reachloom.time.WallClock;

/**
 * Requests the status of an instance, page by page, at its gossip address; each side authenticates
 * the other. Blocks; one object serves one request on one thread.
 */
public final class StatusClient {
  private static final int ATTEMPTS_PER_PAGE = 5;
  private static final int TIMEOUT_MILLIS = 1_000;
  private static final long NANOS_PER_MILLISECOND = 1_000_000;

  private final InetSocketAddress instance;
  private final String clusterName;
  private final NodeIdentity identity;
  private final DatagramVerifier verifier;
  private long nextSequenceNumber = WallClock.unixNanos();

  private StatusClient(InetSocketAddress instance, String clusterName, NodeIdentity identity) {
    this.instance = instance;
    this.clusterName = clusterName;
    this.identity = identity;
    verifier = new DatagramVerifier(clusterName, identity, TIMEOUT_MILLIS * NANOS_PER_MILLISECOND);
  }

  /**
   * Returns all pages of an instance's status as one text.
   *
   * @param instance the gossip address of the instance
   * @param clusterName name of its cluster
   * @param keyFile the operator's private key
   * @param certificateFile the operator's certificate
   * @param authorityFile certificate of the authority that issued the instance's certificate
   * @throws IOException if a file can't be used, or the instance sent no complete status
   * @throws GeneralSecurityException if the key can't be used
   */
  public static String fetchStatus(
      InetSocketAddress instance,
      String clusterName,
      Path keyFile,
      Path certificateFile,
      Path authorityFile)
      throws IOException, GeneralSecurityException {
    GossipSettings settings =
        new GossipSettings(
            clusterName,
            instance,
            0,
            0,
            keyFile,
            certificateFile,
            List.of(authorityFile),
            null,
            List.of());
    NodeIdentity identity;
    try {
      identity = NodeIdentity.read(settings);
    } catch (ConfigException e) {
      throw new IOException(e.getMessage(), e);
    }
    return new StatusClient(instance, clusterName, identity).fetchStatus();
  }

  private String fetchStatus() throws IOException, GeneralSecurityException {
    SortedMap<Integer, String> pages = new TreeMap<>();
    int count = 1;
    try (DatagramSocket socket = new DatagramSocket()) {
      socket.setSoTimeout(TIMEOUT_MILLIS);
      for (int attempt = 0;
          pages.size() < count && attempt < ATTEMPTS_PER_PAGE * count;
          attempt++) {
        send(socket, pages.size());
        Optional<MembershipMessage.StatusPage> page = receive(socket);
        if (page.isPresent() && page.get().pageCount() > 0) {
          count = page.get().pageCount();
          pages.put(page.get().page(), page.get().text());
        }
      }
    }
    if (pages.size() < count || pages.isEmpty()) {
      throw new IOException(
          instance
              + ": no complete status received; check that the instance runs in cluster '"
              + clusterName
              + "' and trusts the authority that issued this certificate");
    }
    return String.join("", pages.values());
  }

  private void send(DatagramSocket socket, int page) throws IOException, GeneralSecurityException {
    Packet request =
        new Packet(
            identity.name(), 0, 0, new MembershipMessage.StatusRequest(page), List.of(), List.of());
    DatagramEnvelope envelope =
        new DatagramEnvelope(
            GossipCodec.clusterChecksum(clusterName),
            nextSequenceNumber++,
            WallClock.unixMillis(),
            Optional.of(identity.encodedCertificate()),
            0);
    byte[] datagram = identity.appendSignature(GossipCodec.encode(envelope, request));
    socket.send(new DatagramPacket(datagram, datagram.length, instance));
  }

  private Optional<MembershipMessage.StatusPage> receive(DatagramSocket socket) throws IOException {
    byte[] buffer = new byte[GossipCodec.MAX_DATAGRAM_BYTES + 1];
    DatagramPacket datagram = new DatagramPacket(buffer, buffer.length);
    try {
      socket.receive(datagram);
    } catch (SocketTimeoutException e) {
      return Optional.empty();
    }
    return verifier
        .verify(
            WallClock.unixNanos(),
            PackedAddress.pack((InetSocketAddress) datagram.getSocketAddress()),
            Arrays.copyOf(buffer, datagram.getLength()))
        .map(verified -> verified.packet().message())
        .filter(MembershipMessage.StatusPage.class::isInstance)
        .map(MembershipMessage.StatusPage.class::cast);
  }
}
