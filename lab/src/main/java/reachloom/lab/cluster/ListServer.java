package reachloom.lab.cluster;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.nio.ByteBuffer;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.apache.mina.core.buffer.IoBuffer;
import org.apache.mina.core.session.IoSession;
import org.apache.mina.transport.socket.nio.NioSocketAcceptor;
import reachloom.gateway.wire.Decoder;
import reachloom.gateway.wire.DecodingHandler;
import reachloom.gateway.wire.Listener;
import reachloom.standin.model.TaskScheduler;

/**
 * The change log on sockets: tells whoever follows it what came after the event that it names, each
 * event once it is there, and a frame without one each second. It has an address for the gateways
 * of each zone, since engines have. All but the sockets runs on the timeline.
 */
public final class ListServer implements AutoCloseable {
  private static final int FIRST_OCTET = 40; // of 127.x: an x for the gateways of each zone
  private static final int LIST_HOST = 250;
  private static final int HOSTS = 200;
  private static final int HEAD = Integer.BYTES + Long.BYTES + 1;
  private static final int RECORD = 27;
  private static final byte CHANGES = 2;
  private static final int WHOLE_WEIGHT = 1_000;

  /** What was sent to the gateways of one zone so far. */
  public static final class Sent {
    private long bytes;
    private long frames;

    /** In bytes of the stream. */
    public long bytes() {
      return bytes;
    }

    /** In frames. */
    public long frames() {
      return frames;
    }
  }

  private static final class Follower {
    private int next;
    private long bytes;
    private final int zone;

    Follower(int next, int zone) {
      this.next = next;
      this.zone = zone;
    }
  }

  private final TaskScheduler time;
  private final ClusterPlan plan;
  private final int enginePort;
  private final Supplier<List<ClusterModel.Event>> log;
  private final NioSocketAcceptor acceptor = new NioSocketAcceptor(1);
  private final Map<IoSession, Follower> followers = new HashMap<>();
  private final Sent[] sent;

  /** A server of that log that listens nowhere yet; engines listen at that port. */
  public ListServer(
      TaskScheduler time,
      ClusterPlan plan,
      int enginePort,
      Supplier<List<ClusterModel.Event>> log) {
    this.time = time;
    this.plan = plan;
    this.enginePort = enginePort;
    this.log = log;
    sent = new Sent[plan.zones()];
    for (int z = 0; z < sent.length; z++) {
      sent[z] = new Sent();
    }
    EngineHosts.prepare(
        acceptor, new DecodingHandler<>("gateway", HelloDecoder::new, new Followed()));
    beat();
  }

  /** Where gateways of that zone find that engine. */
  static InetSocketAddress engine(int engine, int zone, int port) {
    return at(zone, engine / HOSTS, engine % HOSTS + 1, port);
  }

  /** Where gateways of that zone find the change log of that machine. */
  public static InetSocketAddress machine(int machine, int zone, int port) {
    return at(zone, LIST_HOST, machine + 1, port);
  }

  /** The zone whose gateways find something at that address. */
  static int zone(InetSocketAddress address) {
    return (address.getAddress().getAddress()[1] & 0xff) - FIRST_OCTET;
  }

  private static InetSocketAddress at(int zone, int third, int fourth, int port) {
    try {
      byte[] address = {127, (byte) (FIRST_OCTET + zone), (byte) third, (byte) fourth};
      return new InetSocketAddress(InetAddress.getByAddress(address), port);
    } catch (UnknownHostException e) {
      throw new IllegalStateException(e);
    }
  }

  /** Listens there. */
  public void bind(InetSocketAddress address) throws IOException {
    acceptor.bind(address);
  }

  /** Listens nowhere any more; all connections end. */
  public void unbind() {
    acceptor.unbind();
    acceptor.getManagedSessions().values().forEach(IoSession::closeNow);
  }

  /** Tells what has come since, on the timeline. */
  public void sendNewEvents() {
    List.copyOf(followers.keySet()).forEach(this::bring);
  }

  /** What went to the gateways of that zone, on the timeline. */
  public Sent sent(int zone) {
    return sent[zone];
  }

  /** Bytes to each follower since this was last asked, on the timeline. */
  public List<Long> bytesSinceLooked() {
    List<Long> bytes = followers.values().stream().map(f -> f.bytes).toList();
    followers.values().forEach(f -> f.bytes = 0);
    return bytes;
  }

  private void beat() {
    followers.keySet().forEach(s -> write(s, nothing()));
    time.at(time.now() + ClusterPlan.SECOND, this::beat);
  }

  private void bring(IoSession s) {
    Follower f = followers.get(s);
    List<ClusterModel.Event> events = log.get();
    for (ClusterModel.Event e : events.subList(f.next, events.size())) {
      write(s, frame(e, f.zone));
    }
    f.next = events.size();
  }

  private void write(IoSession s, byte[] frame) {
    Follower f = followers.get(s);
    f.bytes += frame.length;
    sent[f.zone].bytes += frame.length;
    sent[f.zone].frames++;
    s.write(IoBuffer.wrap(frame));
  }

  private byte[] nothing() {
    return ByteBuffer.allocate(HEAD).putInt(HEAD - Integer.BYTES).putLong(log.get().size()).array();
  }

  private byte[] frame(ClusterModel.Event event, int zone) {
    ClusterModel.Listed e = event.engine();
    InetSocketAddress a = engine(e.id(), zone, enginePort);
    return ByteBuffer.allocate(HEAD + RECORD)
        .putInt(HEAD - Integer.BYTES + RECORD)
        .putLong(event.number())
        .put(CHANGES)
        .putInt(e.id())
        .put(a.getAddress().getAddress())
        .putShort((short) a.getPort())
        .put((byte) e.state())
        .put((byte) plan.zoneOfEngine(e.id()))
        .put((byte) (plan.isLarge(e.id()) ? 1 : 0))
        .putShort((short) 0)
        .putInt(WHOLE_WEIGHT)
        .putLong(e.startedMs())
        .array();
  }

  /** The number that a gateway begins with. */
  private static final class HelloDecoder implements Decoder<Long> {
    private long number;
    private int have;

    @Override
    public boolean partial() {
      return have > 0 && have < Long.BYTES;
    }

    @Override
    public String feed(byte[] bytes, int from, int to, Consumer<? super Long> messages) {
      for (int at = from; at < to; at++) {
        if (have == Long.BYTES) {
          return "more than a number";
        }
        number = number << Byte.SIZE | bytes[at] & 0xff;
        if (++have == Long.BYTES) {
          messages.accept(number);
        }
      }
      return null;
    }
  }

  private final class Followed implements Listener<Long> {
    @Override
    public void opened(IoSession session) {
      // it speaks first
    }

    @Override
    public void received(IoSession session, Long last, int bytes) {
      int zone = zone((InetSocketAddress) session.getLocalAddress());
      time.at(
          0,
          () -> {
            if (session.isConnected()) {
              followers.put(session, new Follower((int) Math.min(last, log.get().size()), zone));
              bring(session);
              write(session, nothing());
            }
          });
    }

    @Override
    public void closed(IoSession session) {
      time.at(0, () -> followers.remove(session));
    }
  }

  @Override
  public void close() {
    acceptor.dispose();
  }
}
