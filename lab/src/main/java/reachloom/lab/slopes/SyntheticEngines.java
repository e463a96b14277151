package reachloom.lab.slopes;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.LongAdder;
import org.apache.mina.core.buffer.IoBuffer;
import org.apache.mina.core.session.AttributeKey;
import org.apache.mina.core.session.IoSession;
import org.apache.mina.transport.socket.nio.NioSocketAcceptor;
import reachloom.gateway.wire.DecodingHandler;
import reachloom.gateway.wire.Listener;
import reachloom.lab.cluster.EngineCommand;
import reachloom.lab.cluster.EngineCommandDecoder;
import reachloom.standin.model.EngineModel;
import reachloom.standin.model.RealTimeScheduler;

/** Engines that are listening sockets of this process, each with the model of one behind it. */
final class SyntheticEngines implements AutoCloseable {
  private static final int FIRST_OCTET = 45; // of 127.x
  private static final int HOSTS = 200;
  private static final int SOCKET_THREADS = 1;
  private static final int BACKLOG = 1_024;
  private static final double WORK = 0.004; // core-seconds a statement
  private static final double MEMORY_MB = 4;
  private static final AttributeKey MODEL = new AttributeKey(SyntheticEngines.class, "model");
  private static final EngineModel.Spec SPEC =
      new EngineModel.Spec(
          8,
          1,
          4_000,
          16_384,
          0.3,
          1_000_000_000L,
          3,
          1_000_000_000L,
          250_000_000L,
          50_000_000L,
          WORK,
          0);

  /** What came and went, in bytes without heads of packets. */
  record Traffic(
      long accepted, long statements, long probes, long probeBytes, long reportBytes, long others) {
    Traffic since(Traffic before) {
      return new Traffic(
          accepted - before.accepted,
          statements - before.statements,
          probes - before.probes,
          probeBytes - before.probeBytes,
          reportBytes - before.reportBytes,
          others - before.others);
    }
  }

  private final RealTimeScheduler time = new RealTimeScheduler("engines");
  private final NioSocketAcceptor acceptor = new NioSocketAcceptor(SOCKET_THREADS);
  private final Map<InetSocketAddress, EngineModel> models = new HashMap<>();
  private final List<InetSocketAddress> addresses = new ArrayList<>();
  private final LongAdder accepted = new LongAdder();
  private final LongAdder statements = new LongAdder();
  private final LongAdder probes = new LongAdder();
  private final LongAdder probeBytes = new LongAdder();
  private final LongAdder reportBytes = new LongAdder();
  private final LongAdder others = new LongAdder();

  SyntheticEngines(int count) throws IOException {
    int port;
    try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      port = free.getLocalPort();
    }
    for (int e = 0; e < count; e++) {
      byte[] host = {127, FIRST_OCTET, (byte) (e / HOSTS), (byte) (e % HOSTS + 1)};
      InetSocketAddress address = new InetSocketAddress(InetAddress.getByAddress(host), port);
      addresses.add(address);
      models.put(address, new EngineModel(e + 1, SPEC, time, e));
    }
    acceptor.setReuseAddress(true);
    acceptor.setBacklog(BACKLOG);
    acceptor.getSessionConfig().setTcpNoDelay(true);
    acceptor.setHandler(new DecodingHandler<>("gateway", EngineCommandDecoder::new, new Asked()));
    acceptor.bind(addresses);
  }

  InetSocketAddress[] addresses() {
    return addresses.toArray(InetSocketAddress[]::new);
  }

  /** Connections of the gateway that are up. */
  int connections() {
    return acceptor.getManagedSessionCount();
  }

  Traffic traffic() {
    return new Traffic(
        accepted.sum(),
        statements.sum(),
        probes.sum(),
        probeBytes.sum(),
        reportBytes.sum(),
        others.sum());
  }

  int defects() {
    return time.defects();
  }

  private final class Asked implements Listener<EngineCommand> {
    @Override
    public void opened(IoSession session) {
      session.setAttribute(MODEL, models.get((InetSocketAddress) session.getLocalAddress()));
      accepted.increment();
    }

    @Override
    public void received(IoSession session, EngineCommand command, int bytes) {
      EngineModel model = (EngineModel) session.getAttribute(MODEL);
      switch (command.word()) {
        case "ASK" -> {
          statements.increment();
          time.at(0, () -> ask(session, model, command.id()));
        }
        case "INFO", "NOOP" -> {
          probes.increment();
          probeBytes.add(bytes);
          time.at(
              0,
              () -> {
                EngineModel.Load l = model.load();
                reportBytes.add(
                    say(
                        session,
                        command.id()
                            + " UP use=util:"
                            + round(l.util())
                            + ";queue:"
                            + round(l.queue())
                            + ";x0:"
                            + round(l.memory())
                            + ";x1:0.0",
                        ""));
              });
        }
        default -> others.increment();
      }
    }

    @Override
    public void closed(IoSession session) {
      // its queries run to their end; nobody waits for them
    }
  }

  private static void ask(IoSession session, EngineModel model, String id) {
    boolean runs =
        model.submit(
            id,
            WORK,
            1,
            MEMORY_MB,
            new EngineModel.QueryListener() {
              @Override
              public void served(double work, double memoryMb) {
                say(
                    session,
                    id
                        + " OK fetches=1,effort="
                        + Math.round(work * 1e3)
                        + ",high="
                        + Math.round(memoryMb),
                    "a\tb\tc\n");
              }

              @Override
              public void error() {
                say(session, id + " ERR -", "");
              }

              @Override
              public void progress(double share) {
                // no notes are asked for
              }

              @Override
              public void died() {
                // none of these dies
              }
            });
    if (!runs) {
      say(session, id + " BUSY -", "");
    }
  }

  private static double round(double value) {
    return Math.round(value * 1e4) / 1e4;
  }

  private static int say(IoSession session, String head, String body) {
    byte[] bytes =
        (head + " " + body.length() + "\r\n" + body + "\r\n").getBytes(StandardCharsets.UTF_8);
    session.write(IoBuffer.wrap(bytes));
    return bytes.length;
  }

  @Override
  public void close() {
    time.close();
    acceptor.dispose();
  }
}
