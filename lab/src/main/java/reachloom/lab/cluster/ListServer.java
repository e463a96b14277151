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
 * A change log on sockets. It sends each follower the events after the number in its hello, each as
 * soon as it exists, and a heartbeat frame each second. Like an engine, it has one address for the
 * gateways of each zone. All work except socket I/O runs on the scheduler's thread.
 */
public final class ListServer implements AutoCloseable {
  /** Second octet of the addresses for the first zone's gateways: 127.40.x.y, 127.41.x.y, ... */
  private static final int FIRST_ZONE_OCTET = 40;

  private static final int LIST_THIRD_OCTET = 250;
  private static final int ENGINES_PER_THIRD_OCTET = 200;
  private static final int HEADER_BYTES = Integer.BYTES + Long.BYTES + 1;
  private static final int RECORD_BYTES = 27;
  private static final byte CHANGES_FRAME = 2;
  private static final int WHOLE_WEIGHT = 1_000;

  /** Totals of the traffic sent to the gateways of one zone. */
  public static final class Sent {
    private long bytes;
    private long frames;

    /** Returns the number of bytes sent. */
    public long bytes() {
      return bytes;
    }

    /** Returns the number of frames sent. */
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

  /**
   * Creates a server that does not listen yet.
   *
   * @param enginePort the port of all engines
   * @param log supplies all events published so far, also those that a follower still lacks
   */
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
        acceptor, new DecodingHandler<>("gateway", HelloDecoder::new, new FollowerListener()));
    sendHeartbeats();
  }

  /** Returns the address of an engine for the gateways of a zone. */
  static InetSocketAddress engine(int engine, int zone, int port) {
    return at(zone, engine / ENGINES_PER_THIRD_OCTET, engine % ENGINES_PER_THIRD_OCTET + 1, port);
  }

  /** Returns the address of a machine's change log for the gateways of a zone. */
  public static InetSocketAddress machine(int machine, int zone, int port) {
    return at(zone, LIST_THIRD_OCTET, machine + 1, port);
  }

  /** Returns the zone whose gateways use an address. */
  static int zone(InetSocketAddress address) {
    return (address.getAddress().getAddress()[1] & 0xff) - FIRST_ZONE_OCTET;
  }

  private static InetSocketAddress at(int zone, int third, int fourth, int port) {
    try {
      byte[] address = {127, (byte) (FIRST_ZONE_OCTET + zone), (byte) third, (byte) fourth};
      return new InetSocketAddress(InetAddress.getByAddress(address), port);
    } catch (UnknownHostException e) {
      throw new IllegalStateException(e);
    }
  }

  /** Starts to listen on an address. */
  public void bind(InetSocketAddress address) throws IOException {
    acceptor.bind(address);
  }

  /** Stops listening and closes all connections. */
  public void unbind() {
    acceptor.unbind();
    acceptor.getManagedSessions().values().forEach(IoSession::closeNow);
  }

  /** Sends new events to all followers; call on the scheduler's thread. */
  public void sendNewEvents() {
    List.copyOf(followers.keySet()).forEach(this::sendNewEventsTo);
  }

  /** Returns the traffic to the gateways of a zone; call on the scheduler's thread. */
  public Sent sent(int zone) {
    return sent[zone];
  }

  /**
   * Returns the bytes sent to each follower since the last call; call on the scheduler's thread.
   */
  public List<Long> bytesSinceLooked() {
    List<Long> bytes = followers.values().stream().map(f -> f.bytes).toList();
    followers.values().forEach(f -> f.bytes = 0);
    return bytes;
  }

  private void sendHeartbeats() {
    followers.keySet().forEach(s -> write(s, heartbeatFrame()));
    time.at(time.now() + ClusterPlan.SECOND, this::sendHeartbeats);
  }

  private void sendNewEventsTo(IoSession s) {
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

  private byte[] heartbeatFrame() {
    return ByteBuffer.allocate(HEADER_BYTES)
        .putInt(HEADER_BYTES - Integer.BYTES)
        .putLong(log.get().size())
        .array();
  }

  private byte[] frame(ClusterModel.Event event, int zone) {
    ClusterModel.ListEntry e = event.engine();
    InetSocketAddress a = engine(e.id(), zone, enginePort);
    return ByteBuffer.allocate(HEADER_BYTES + RECORD_BYTES)
        .putInt(HEADER_BYTES - Integer.BYTES + RECORD_BYTES)
        .putLong(event.number())
        .put(CHANGES_FRAME)
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

  /** Decodes a gateway's hello: the number of the last event that it knows. */
  private static final class HelloDecoder implements Decoder<Long> {
    private long number;
    private int received;

    @Override
    public boolean partial() {
      return received > 0 && received < Long.BYTES;
    }

    @Override
    public String feed(byte[] bytes, int from, int to, Consumer<? super Long> messages) {
      for (int at = from; at < to; at++) {
        if (received == Long.BYTES) {
          return "data after the hello's event number";
        }
        number = number << Byte.SIZE | bytes[at] & 0xff;
        if (++received == Long.BYTES) {
          messages.accept(number);
        }
      }
      return null;
    }
  }

  private final class FollowerListener implements Listener<Long> {
    @Override
    public void opened(IoSession session) {
      // the follower sends its hello first
    }

    @Override
    public void received(IoSession session, Long last, int bytes) {
      int zone = zone((InetSocketAddress) session.getLocalAddress());
      time.at(
          0,
          () -> {
            if (session.isConnected()) {
              followers.put(session, new Follower((int) Math.min(last, log.get().size()), zone));
              sendNewEventsTo(session);
              write(session, heartbeatFrame());
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
