package reachloom.gossip.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import reachloom.gossip.Packet;
import reachloom.gossip.RejectionReason;
import reachloom.gossip.wire.DatagramEnvelope;
import reachloom.gossip.wire.GossipCodec;
import reachloom.lab.gossip.Installation;
import reachloom.membership.MembershipMessage;

/** Tests which datagrams the verifier accepts as time passes, with an injected wall clock. */
class DatagramVerifierTest {
  private static final long MILLISECOND = 1_000_000; // nanoseconds
  private static final long DAY = 24 * 60 * 60 * 1_000L; // milliseconds

  @TempDir Path folder;

  private Installation installation;
  private NodeIdentity sender;
  private DatagramVerifier verifier;
  private long seq = 1;
  private long wallClock;

  @BeforeEach
  void setUp() throws Exception {
    installation = new Installation(folder);
    installation.instance("g1", "ca", 30);
    installation.instance("g2", "ca", 3);
    sender = identity("g2");
    verifier =
        new DatagramVerifier(
            Installation.CLUSTER, identity("g1"), 1_000 * MILLISECOND, false, () -> wallClock);
  }

  private NodeIdentity identity(String name) throws Exception {
    return NodeIdentity.read(
        installation.settings(name, Installation.freeAddress(), 1, 1, List.of(), "ca"));
  }

  private byte[] datagram(long time, boolean certified) throws Exception {
    byte[] unsigned =
        GossipCodec.encode(
            new DatagramEnvelope(
                GossipCodec.clusterChecksum(Installation.CLUSTER),
                seq++,
                time,
                certified ? Optional.of(sender.encodedCertificate()) : Optional.empty(),
                0),
            new Packet("g2", 1, 1, new MembershipMessage.PayloadOnly(), List.of(), List.of()));
    return sender.appendSignature(unsigned);
  }

  private VerifiedDatagram verify(long timeMs, byte[] bytes) {
    return verify(timeMs, timeMs, bytes);
  }

  private VerifiedDatagram verify(long timeMs, long wallMs, byte[] bytes) {
    wallClock = wallMs * MILLISECOND;
    return verifier.verify(timeMs * MILLISECOND, 7, bytes).orElse(null);
  }

  @Test
  void acceptsDatagramsOfEitherClockAfterWallClockStep() throws Exception {
    long now = System.currentTimeMillis();
    long stepped = now + DAY / 24;
    assertNotNull(
        verify(now, stepped, datagram(now, true)), "of a peer whose clock was not stepped");
    assertNotNull(
        verify(now, stepped, datagram(stepped, true)), "of a tool started after the step");
    assertNull(verify(now, stepped, datagram(now - DAY / 24, true)));
    assertEquals(1L, verifier.rejections().get(RejectionReason.TIME));
  }

  @Test
  void rejectsCertificateThatExpiresWhileRunning() throws Exception {
    long now = System.currentTimeMillis();
    assertNotNull(verify(now, datagram(now, true)));
    assertTrue(
        verifier.knownCertificate("g2")
            == GossipCodec.certificateChecksum(sender.encodedCertificate()));
    assertNotNull(
        verify(now, datagram(now, false)), "the certificate is known and need not be sent again");
    long later = now + 4 * DAY;
    assertNull(verify(later, datagram(later, false)));
    assertNull(verify(later, datagram(later, true)));
    assertEquals(2L, verifier.rejections().get(RejectionReason.CERTIFICATE));
  }

  @Test
  void rejectsTruncatedAndCorruptedDatagrams() throws Exception {
    long now = System.currentTimeMillis();
    assertNotNull(verify(now, datagram(now, true)));
    byte[] good = datagram(now, false);
    for (int length = 0; length < good.length; length++) {
      now += 250; // the rate limit's budget refills
      assertNull(verify(now, Arrays.copyOf(good, length)));
    }
    for (int i = 0; i < good.length; i++) {
      now += 250;
      byte[] changed = good.clone();
      changed[i] ^= 1;
      assertNull(verify(now, changed), "byte " + i);
    }
  }
}
