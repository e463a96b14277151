package reachloom.gossip.wire;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import reachloom.evidence.Claim;
import reachloom.gossip.Packet;
import reachloom.gossip.Refusal;
import reachloom.gossip.wire.GossipCodec.UnreadableException;
import reachloom.membership.Message;
import reachloom.membership.News;
import reachloom.membership.State;

/** Gossip's datagrams: what is written is read, what is torn or made up is refused with its reason. */
class GossipCodecTest {
  private static final long ADDRESS = 0x7f000001L << 16 | 7946;
  private static final News NEWS = new News("g2", ADDRESS + 1, 1_700_000_000L, State.SUSPECT, "g3");
  private static final Claim CLAIM = new Claim("s-00c41f7a", 1_700_000_000_000L, 12, 3, 65_535, 5_000_000);
  private static final List<Message> MESSAGES = List.of(new Message.Ping(-7, ""), new Message.Ping(7, "g2"),
      new Message.Ack(Long.MAX_VALUE), new Message.PingRequest(9, "g4", ADDRESS), new Message.Nack(0),
      new Message.Pull("a", "", 5, List.of(0, 1, 65_535)), new Message.Part(true, List.of(NEWS)),
      new Message.Part(false, List.of()), new Message.Tell(),
      new Message.Status(3), new Message.StatusPage(3, 4, "member g1\n"), new Message.Leave());

  private static Packet packet(Message m) {
    return new Packet("g1", ADDRESS, 1_700_000_001L, m, List.of(NEWS, new News("g9", 0, 0, State.ALIVE, "")),
        List.of(CLAIM));
  }

  private static byte[] whole(Packet p, byte[] certificate, boolean knows) {
    byte[] signed = GossipCodec.write(GossipCodec.cluster("east"), p, 42, 1_234, certificate, knows ? 7 : 0);
    return Arrays.copyOf(signed, signed.length + GossipCodec.SIGNATURE);
  }

  @Test
  void whatIsWrittenIsReadAndWeighsWhatWasSaid() throws Exception {
    for (Message m : MESSAGES) {
      Packet p = packet(m);
      byte[] bytes = whole(p, null, true);
      Head head = GossipCodec.head(bytes);
      assertEquals(p, GossipCodec.read(bytes, head));
      assertEquals(42, head.seq());
      assertEquals(1_234, head.time());
      assertEquals(GossipCodec.cluster("east"), head.cluster());
      assertEquals(7, head.knows());
      assertNull(head.certificate());
      int weight = GossipCodec.size("g1", m, 0) + p.news().stream().mapToInt(GossipCodec::size).sum()
          + GossipCodec.size(CLAIM);
      assertEquals(weight, bytes.length + GossipCodec.UDP, m.toString());
    }
    byte[] certificate = new byte[250];
    byte[] bytes = whole(packet(new Message.Ack(1)), certificate, false);
    assertArrayEquals(certificate, GossipCodec.head(bytes).certificate());
    assertEquals(GossipCodec.size("g1", new Message.Ack(1), 250) + GossipCodec.size(NEWS)
        + GossipCodec.size(new News("g9", 0, 0, State.ALIVE, "")) + GossipCodec.size(CLAIM),
        bytes.length + GossipCodec.UDP);
  }

  @Test
  void tornAtEachByteItIsRefusedNeverThrownAbout() {
    for (Message m : MESSAGES) {
      byte[] bytes = whole(packet(m), new byte[200], true);
      for (int length = 0; length < bytes.length; length++) {
        byte[] torn = Arrays.copyOf(bytes, length);
        try {
          GossipCodec.read(torn, GossipCodec.head(torn));
        } catch (UnreadableException e) {
          assertTrue(e.why() == Refusal.FORM || e.why() == Refusal.NONSENSE);
        }
      }
    }
  }

  @Test
  void randomBytesAndFlippedBitsAreRefusedOrReadAsSomethingBounded() {
    SplittableRandom random = new SplittableRandom(3);
    int refused = 0;
    for (int i = 0; i < 50_000; i++) {
      Message m = MESSAGES.get(i % MESSAGES.size());
      byte[] bytes = whole(packet(m), i % 3 == 0 ? new byte[200] : null, true);
      for (int k = 0; k <= random.nextInt(4); k++) {
        bytes[random.nextInt(bytes.length)] = (byte) random.nextInt();
      }
      try {
        Packet p = GossipCodec.read(bytes, GossipCodec.head(bytes));
        assertTrue(p.sender().length() <= 32 && p.sender().chars().allMatch(c -> c > ' ' && c < 0x7f));
      } catch (UnreadableException e) {
        refused++;
      }
      byte[] noise = new byte[random.nextInt(1_300)];
      random.nextBytes(noise);
      assertThrows(UnreadableException.class, () -> GossipCodec.head(noise));
    }
    assertTrue(refused > 1_000);
  }

  @Test
  void anOversizeDatagramAnotherVersionAndAnotherClusterAreTold() throws Exception {
    byte[] bytes = whole(packet(MESSAGES.get(0)), null, false);
    assertEquals(Refusal.FORM, assertThrows(UnreadableException.class,
        () -> GossipCodec.head(new byte[GossipCodec.MOST + 1])).why());
    bytes[2] = 2;
    assertEquals(Refusal.VERSION,
        assertThrows(UnreadableException.class, () -> GossipCodec.head(bytes)).why());
    assertTrue(GossipCodec.cluster("east") != GossipCodec.cluster("west"));
  }

  @Test
  void whatALaterVersionAddsIsSkipped() throws Exception {
    Packet p = packet(new Message.Tell());
    byte[] bytes = whole(p, null, false);
    ByteArrayOutputStream longer = new ByteArrayOutputStream();
    longer.write(bytes, 0, bytes.length - GossipCodec.SIGNATURE);
    longer.write(new byte[] {99, 0, 3, 1, 2, 3}); // a section of a kind not known here
    longer.write(new byte[GossipCodec.SIGNATURE]);
    assertEquals(p, GossipCodec.read(longer.toByteArray(), GossipCodec.head(longer.toByteArray())));
  }

  @Test
  void fieldsBehindThoseKnownOfAPieceOfNewsAreSkipped() throws Exception {
    Packet p = new Packet("g1", ADDRESS, 1, new Message.Tell(), List.of(NEWS), List.of());
    byte[] bytes = whole(p, null, false);
    int at = bytes.length - GossipCodec.SIGNATURE - 3 - GossipCodec.size(NEWS); // its length byte
    List<Byte> longer = new ArrayList<>();
    for (int i = 0; i < bytes.length; i++) {
      if (i == at + GossipCodec.size(NEWS)) {
        longer.addAll(List.of((byte) 1, (byte) 2));
      }
      longer.add(bytes[i]);
    }
    byte[] changed = new byte[longer.size()];
    for (int i = 0; i < changed.length; i++) {
      changed[i] = longer.get(i);
    }
    changed[at] += 2;
    ByteBuffer.wrap(changed).putShort(at - 2, (short) (GossipCodec.size(NEWS) + 2));
    assertEquals(p, GossipCodec.read(changed, GossipCodec.head(changed)));
  }
}
