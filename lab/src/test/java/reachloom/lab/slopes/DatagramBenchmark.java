package reachloom.lab.slopes;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Level;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.TearDown;
import org.openjdk.jmh.annotations.Threads;
import org.openjdk.jmh.annotations.Warmup;
import reachloom.gossip.Packet;
import reachloom.gossip.net.NodeIdentity;
import reachloom.gossip.wire.DatagramEnvelope;
import reachloom.gossip.wire.GossipCodec;
import reachloom.lab.gossip.Installation;
import reachloom.membership.MemberState;
import reachloom.membership.MembershipMessage;
import reachloom.membership.MembershipUpdate;

/**
 * Measures encoding, signing, verifying and decoding a gossip datagram, by the number of membership
 * updates in it.
 */
@BenchmarkMode(Mode.SampleTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
@Fork(
    value = 3,
    jvmArgsAppend = {"-Xmx512m", "-XX:+UseSerialGC"})
@Warmup(iterations = 3, time = 700, timeUnit = TimeUnit.MILLISECONDS)
@Measurement(iterations = 4, time = 700, timeUnit = TimeUnit.MILLISECONDS)
@Threads(1)
public class DatagramBenchmark {
  /** A sender with its key and certificate; {@code news} is the number of membership updates. */
  @State(Scope.Benchmark)
  public static class Sender {
    @Param({"0", "5", "10", "30"})
    public int news;

    private Path folder;
    private NodeIdentity identity;
    private Packet packet;
    private byte[] unsigned;
    private byte[] signature;
    private byte[] signed;

    @Setup(Level.Trial)
    public void make() throws Exception {
      folder = Files.createTempDirectory("reachloom-datagrams");
      Installation installation = new Installation(folder);
      installation.instance("g1", "ca", 3);
      identity =
          NodeIdentity.read(
              installation.settings("g1", Installation.freeAddress(), 1, 1, List.of(), "ca"));
      List<MembershipUpdate> updates = new ArrayList<>();
      for (int i = 0; i < news; i++) {
        updates.add(new MembershipUpdate("g" + (100 + i), i, i, MemberState.ALIVE, ""));
      }
      packet = new Packet("g1", 1, 1, new MembershipMessage.Ping(1, "g2"), updates, List.of());
      unsigned = encode();
      signature = identity.sign(unsigned);
      signed = Arrays.copyOf(unsigned, unsigned.length + GossipCodec.SIGNATURE_BYTES);
      System.arraycopy(signature, 0, signed, unsigned.length, GossipCodec.SIGNATURE_BYTES);
    }

    byte[] encode() {
      return GossipCodec.encode(new DatagramEnvelope(1, 1, 1, Optional.empty(), 1), packet);
    }

    @TearDown(Level.Trial)
    public void remove() throws Exception {
      try (var files = Files.walk(folder)) {
        files.sorted(Comparator.reverseOrder()).forEach(f -> f.toFile().delete());
      }
    }
  }

  @Benchmark
  public byte[] write(Sender s) {
    return s.encode();
  }

  @Benchmark
  public byte[] sign(Sender s) throws Exception {
    return s.identity.sign(s.unsigned);
  }

  @Benchmark
  public boolean verify(Sender s) {
    return NodeIdentity.verify(
        s.identity.x509Certificate().getPublicKey(), s.signed, s.unsigned.length, s.signature);
  }

  @Benchmark
  public Packet read(Sender s) throws Exception {
    return GossipCodec.decodeContent(s.signed, GossipCodec.decodeHeader(s.signed));
  }
}
