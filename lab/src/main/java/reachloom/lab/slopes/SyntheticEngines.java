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

/** Engine stand-ins: listening sockets in this process, each backed by an engine model. */
final class SyntheticEngines implements AutoCloseable {
  private static final int SECOND_OCTET = 45; // engines listen in 127.45.0.0/16
  private static final int HOSTS_PER_SUBNET = 200;
  private static final int SOCKET_THREADS = 1;
  private static final int BACKLOG = 1_024;
  private static final double STATEMENT_CORE_SECONDS = 0.004;
  private static final double STATEMENT_MEMORY_MB = 4;
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
          STATEMENT_CORE_SECONDS,
          0);

  /** Numbers of connections and commands; bytes do not include packet headers. */
  record Traffic(
      long accepted, long statements, long probes, long probeBytes, long reportBytes, long others) {
    /** Returns the difference to an earlier reading. */
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
      byte[] host = {
        127, SECOND_OCTET, (byte) (e / HOSTS_PER_SUBNET), (byte) (e % HOSTS_PER_SUBNET + 1)
      };
      InetSocketAddress address = new InetSocketAddress(InetAddress.getByAddress(host), port);
      addresses.add(address);
      models.put(address, new EngineModel(e + 1, SPEC, time, e));
    }
    acceptor.setReuseAddress(true);
    acceptor.setBacklog(BACKLOG);
    acceptor.getSessionConfig().setTcpNoDelay(true);
    acceptor.setHandler(
        new DecodingHandler<>("gateway", EngineCommandDecoder::new, new CommandListener()));
    acceptor.bind(addresses);
  }

  InetSocketAddress[] addresses() {
    return addresses.toArray(InetSocketAddress[]::new);
  }

  /** Returns the number of open connections. */
  int connections() {
    return acceptor.getManagedSessionCount();
  }

  /** Returns the counters since the start. */
  Traffic traffic() {
    return new Traffic(
        accepted.sum(),
        statements.sum(),
        probes.sum(),
        probeBytes.sum(),
        reportBytes.sum(),
        others.sum());
  }

  /** Returns the number of scheduled tasks that failed. */
  int defects() {
    return time.defects();
  }

  private final class CommandListener implements Listener<EngineCommand> {
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
          time.at(0, () -> startQuery(session, model, command.id()));
        }
        case "INFO", "NOOP" -> {
          probes.increment();
          probeBytes.add(bytes);
          time.at(
              0,
              () -> {
                EngineModel.Load load = model.load();
                reportBytes.add(
                    write(
                        session,
                        command.id()
                            + " UP use=util:"
                            + round(load.util())
                            + ";queue:"
                            + round(load.queue())
                            + ";x0:"
                            + round(load.memory())
                            + ";x1:0.0",
                        ""));
              });
        }
        default -> others.increment();
      }
    }

    @Override
    public void closed(IoSession session) {
      // queries of the connection run to completion; their results are discarded
    }
  }

  private static void startQuery(IoSession session, EngineModel model, String id) {
    boolean runs =
        model.submit(
            id,
            STATEMENT_CORE_SECONDS,
            1,
            STATEMENT_MEMORY_MB,
            new EngineModel.QueryListener() {
              @Override
              public void served(double work, double memoryMb) {
                write(
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
                write(session, id + " ERR -", "");
              }

              @Override
              public void progress(double share) {
                // progress reports are not requested
              }

              @Override
              public void died() {
                // these engines do not crash
              }
            });
    if (!runs) {
      write(session, id + " BUSY -", "");
    }
  }

  private static double round(double value) {
    return Math.round(value * 1e4) / 1e4;
  }

  private static int write(IoSession session, String header, String body) {
    byte[] bytes =
        (header + " " + body.length() + "\r\n" + body + "\r\n").getBytes(StandardCharsets.UTF_8);
    session.write(IoBuffer.wrap(bytes));
    return bytes.length;
  }

  @Override
  public void close() {
    time.close();
    acceptor.dispose();
  }
}
