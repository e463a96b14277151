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

/** What the verifier takes as time passes, with a clock handed in. */
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
  void make() throws Exception {
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

  private VerifiedDatagram enter(long time, byte[] bytes) {
    return enter(time, time, bytes);
  }

  private VerifiedDatagram enter(long time, long wall, byte[] bytes) {
    wallClock = wall * MILLISECOND;
    return verifier.verify(time * MILLISECOND, 7, bytes).orElse(null);
  }

  @Test
  void afterAStepOfTheWallClockADatagramIsFreshByEitherClockAndNoOther() throws Exception {
    long now = System.currentTimeMillis();
    long stepped = now + DAY / 24;
    assertNotNull(
        enter(now, stepped, datagram(now, true)), "of a peer whose clock was not stepped");
    assertNotNull(enter(now, stepped, datagram(stepped, true)), "of a tool started after the step");
    assertNull(enter(now, stepped, datagram(now - DAY / 24, true)));
    assertEquals(1L, verifier.rejections().get(RejectionReason.TIME));
  }

  @Test
  void aCertificateThatExpiresWhileRunningIsNoLongerTaken() throws Exception {
    long now = System.currentTimeMillis();
    assertNotNull(enter(now, datagram(now, true)));
    assertTrue(
        verifier.knownCertificate("g2")
            == GossipCodec.certificateChecksum(sender.encodedCertificate()));
    assertNotNull(enter(now, datagram(now, false)), "it is known, and need not bring it again");
    long later = now + 4 * DAY;
    assertNull(enter(later, datagram(later, false)));
    assertNull(enter(later, datagram(later, true)));
    assertEquals(2L, verifier.rejections().get(RejectionReason.CERTIFICATE));
  }

  @Test
  void tornAtEachByteOrChangedInAnyNothingGetsIn() throws Exception {
    long now = System.currentTimeMillis();
    assertNotNull(enter(now, datagram(now, true)));
    byte[] good = datagram(now, false);
    for (int length = 0; length < good.length; length++) {
      now += 250; // the budget fills
      assertNull(enter(now, Arrays.copyOf(good, length)));
    }
    for (int i = 0; i < good.length; i++) {
      now += 250;
      byte[] changed = good.clone();
      changed[i] ^= 1;
      assertNull(enter(now, changed), "byte " + i);
    }
  }
}
