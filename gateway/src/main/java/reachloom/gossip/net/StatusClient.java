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
import java.util.TreeMap;
import reachloom.config.ConfigException;
import reachloom.config.GossipSettings;
import reachloom.gossip.Packet;
import reachloom.gossip.wire.GossipCodec;
import reachloom.membership.MembershipMessage;
import reachloom.time.WallClock;

/**
 * Asks an instance what it knows, page by page, over its gossip port; both sides prove who they
 * are.
 */
public final class StatusClient {
  private static final int TRIES = 5;
  private static final int TIMEOUT_MS = 1_000;
  private static final long MILLISECOND = 1_000_000; // nanoseconds

  private StatusClient() {}

  /** All pages as one text. */
  public static String ask(
      InetSocketAddress at, String clusterName, Path key, Path certificate, Path authority)
      throws IOException, GeneralSecurityException {
    NodeIdentity me;
    try {
      me =
          NodeIdentity.read(
              new GossipSettings(
                  clusterName, at, 0, 0, key, certificate, List.of(authority), null, List.of()));
    } catch (ConfigException e) {
      throw new IOException(e.getMessage());
    }
    DatagramVerifier doorway = new DatagramVerifier(clusterName, me, TIMEOUT_MS * MILLISECOND);
    TreeMap<Integer, String> pages = new TreeMap<>();
    long seq = WallClock.unixNanos();
    int count = 1;
    try (DatagramSocket socket = new DatagramSocket()) {
      socket.setSoTimeout(TIMEOUT_MS);
      for (int tries = 0; pages.size() < count && tries < TRIES * count; tries++) {
        send(socket, at, me, clusterName, pages.size(), seq++);
        MembershipMessage.StatusPage p = answer(socket, doorway);
        if (p != null && p.pageCount() > 0) {
          count = p.pageCount();
          pages.put(p.page(), p.text());
        }
      }
    }
    if (pages.size() < count || pages.isEmpty()) {
      throw new IOException(
          at
              + ": no answer; is it that cluster, and is the certificate signed by an "
              + "authority that it trusts?");
    }
    return String.join("", pages.values());
  }

  private static void send(
      DatagramSocket socket,
      InetSocketAddress at,
      NodeIdentity me,
      String clusterName,
      int page,
      long seq)
      throws IOException, GeneralSecurityException {
    Packet asked =
        new Packet(
            me.name(), 0, 0, new MembershipMessage.StatusRequest(page), List.of(), List.of());
    byte[] unsigned =
        GossipCodec.write(
            GossipCodec.cluster(clusterName),
            asked,
            seq,
            WallClock.unixMillis(),
            me.certificate(),
            0);
    byte[] signature = me.sign(unsigned);
    byte[] whole = Arrays.copyOf(unsigned, unsigned.length + signature.length);
    System.arraycopy(signature, 0, whole, unsigned.length, signature.length);
    socket.send(new DatagramPacket(whole, whole.length, at));
  }

  private static MembershipMessage.StatusPage answer(
      DatagramSocket socket, DatagramVerifier doorway) throws IOException {
    DatagramPacket in = new DatagramPacket(new byte[GossipCodec.MOST + 1], GossipCodec.MOST + 1);
    try {
      socket.receive(in);
    } catch (SocketTimeoutException e) {
      return null;
    }
    DatagramVerifier.Entered e =
        doorway.enter(
            WallClock.unixNanos(),
            DatagramTransport.number((InetSocketAddress) in.getSocketAddress()),
            Arrays.copyOf(in.getData(), in.getLength()));
    return e != null && e.packet().message() instanceof MembershipMessage.StatusPage p ? p : null;
  }
}
