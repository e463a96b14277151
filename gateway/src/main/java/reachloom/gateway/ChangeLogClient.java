package reachloom.gateway;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.net.InetSocketAddress;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.apache.mina.core.future.ConnectFuture;
import org.apache.mina.core.session.AttributeKey;
import org.apache.mina.core.session.IoSession;
import org.apache.mina.transport.socket.nio.NioSocketConnector;
import reachloom.config.EngineMember;
import reachloom.discovery.EndpointWatch;
import reachloom.gateway.state.DeadlineQueue.Deadline;
import reachloom.gateway.wire.ChangeLogDecoder;
import reachloom.gateway.wire.DecodingHandler;
import reachloom.gateway.wire.EndpointListEvent;
import reachloom.gateway.wire.Listener;
import reachloom.gateway.wire.Sockets;
import reachloom.scheduler.api.EngineState;

/** Follows the change log from the last event held; the list held stays while it is away. */
final class ChangeLogClient {
  private static final Logger LOG = System.getLogger(ChangeLogClient.class.getName());
  private static final AttributeKey ROUND = new AttributeKey(ChangeLogClient.class, "round");

  private final EventLoop loop;
  private final LingeringClose closing;
  private final NioSocketConnector connector;
  private final EndpointWatch watch;

  /** Parts of a list that is told anew from its beginning. */
  private final Map<String, EngineMember> parts = new LinkedHashMap<>();

  private final Consumer<EndpointListEvent> news;
  private final Runnable away;
  private InetSocketAddress address;

  /** Numbers connections, so that one given up is no longer listened to. */
  private long round;

  private IoSession session;
  private ConnectFuture dialling;
  private Deadline silence;
  private Deadline retry;

  /** What waits for the list to be that of now, until when at the latest; null once it is. */
  private Runnable waiting;

  private long waitingUntil;
  private Deadline settling;

  ChangeLogClient(
      EventLoop loop,
      Sockets sockets,
      LingeringClose closing,
      InetSocketAddress address,
      long last,
      long seed,
      int zones,
      int kinds,
      Consumer<EndpointListEvent> news,
      Runnable away) {
    this.loop = loop;
    this.closing = closing;
    this.address = address;
    watch = new EndpointWatch(last, seed);
    this.news = news;
    this.away = away;
    connector =
        sockets.connector(
            new DecodingHandler<>(
                "change log", () -> new ChangeLogDecoder(zones, kinds), new Heard()),
            EndpointWatch.DIAL_TIMEOUT);
  }

  /**
   * Takes over what a configuration read anew tells: events beyond the last one held, and where the
   * log is now. The old address is left once what has been read from there is dealt with: it counts
   * as told, and the new one, which goes on with the same numbers, may tell of it late.
   */
  void follow(InetSocketAddress now, long lastKnown, List<EngineMember> known) {
    if (watch.toldElsewhere(lastKnown)) {
      news.accept(new EndpointListEvent(lastKnown, false, true, known));
    }
    if (now.equals(address)) {
      return;
    }
    LOG.log(
        Level.INFO,
        "change log: {0} from now on instead of {1}, after event {2}",
        now,
        address,
        Long.toString(watch.last()));
    address = now;
    watch.moved();
    loop.post(
        0,
        () -> {
          letGo();
          connect();
        });
  }

  /**
   * Does that once the log has told what it held, or has had its time: a list handed over at the
   * start may be old by then, and what the log has told since counts as known.
   */
  void whenCaughtUp(Runnable then) {
    waiting = then;
    waitingUntil = loop.now() + EndpointWatch.LONGEST_START;
    settling = loop.deadlines().add(waitingUntil, this::caughtUp);
  }

  private void caughtUp() {
    Runnable then = waiting;
    waiting = null;
    loop.deadlines().cancel(settling);
    if (then != null) {
      then.run();
    }
  }

  private void settle(boolean nothing) {
    loop.deadlines().cancel(settling);
    if (nothing) {
      caughtUp();
    } else {
      settling =
          loop.deadlines()
              .add(Math.min(waitingUntil, loop.now() + EndpointWatch.QUIET), this::caughtUp);
    }
  }

  void connect() {
    long mine = ++round;
    dialling = connector.connect(address, (s, f) -> s.setAttribute(ROUND, mine));
    ConnectFuture future = dialling;
    future.addListener(
        f -> {
          if (!future.isConnected()) {
            loop.post(0, () -> broken(mine, "no connection"));
          }
        });
    awaited(EndpointWatch.DIAL_TIMEOUT, "no connection in time");
  }

  private void awaited(long time, String why) {
    loop.deadlines().cancel(silence);
    long mine = round;
    silence = loop.deadlines().add(loop.now() + time, () -> broken(mine, why));
  }

  private void broken(long mine, String why) {
    if (mine != round) {
      return;
    }
    LOG.log(
        Level.INFO,
        "change log at {0}: {1}; the list of event {2} stays",
        address,
        why,
        Long.toString(watch.last()));
    letGo();
    retry = loop.deadlines().add(loop.now() + watch.pause(), this::connect);
    away.run();
  }

  /** Ends the connection, or the one that is being made, or the wait for the next one. */
  private void letGo() {
    round++;
    loop.deadlines().cancel(silence);
    loop.deadlines().cancel(retry);
    if (session != null) {
      closing.end(session);
      session = null;
    } else if (dialling != null) {
      Sockets.giveUp(dialling);
    }
  }

  private void heard(EndpointListEvent change) {
    if (waiting != null) {
      loop.later(() -> settle(change.nothing())); // once it is dealt with
    }
    awaited(EndpointWatch.MAX_SILENCE, "silent");
    long before = watch.last();
    switch (watch.heard(change.number(), change.whole(), change.nothing())) {
      case TAKE -> news.accept(change);
      case MISSED -> broken(round, "event " + change.number() + " after " + before);
      case FOLD -> fold(change);
      case WHOLE -> {
        fold(change);
        news.accept(
            new EndpointListEvent(change.number(), false, true, List.copyOf(parts.values())));
        parts.clear();
      }
      default -> {
        // a sign of life, or an event told before
      }
    }
  }

  private void fold(EndpointListEvent change) {
    if (change.whole()) {
      parts.clear();
    }
    for (EngineMember m : change.members()) {
      if (m.endpoint().state() == EngineState.REMOVED) {
        parts.remove(m.endpoint().name());
      } else {
        parts.put(m.endpoint().name(), m);
      }
    }
  }

  private final class Heard implements Listener<EndpointListEvent> {
    @Override
    public void opened(IoSession s) {
      long mine = (Long) s.getAttribute(ROUND);
      loop.post(
          0,
          () -> {
            if (mine != round) {
              s.closeNow();
              return;
            }
            session = s;
            if (waiting != null) {
              settle(false);
            }
            watch.asked();
            parts.clear();
            Sockets.write(s, ChangeLogDecoder.hello(watch.askAfter()));
            awaited(EndpointWatch.MAX_SILENCE, "silent");
          });
    }

    @Override
    public void received(IoSession s, EndpointListEvent change, int bytes) {
      long mine = (Long) s.getAttribute(ROUND);
      loop.postFirst(
          bytes,
          () -> {
            if (mine == round) {
              heard(change);
            }
          });
    }

    @Override
    public void closed(IoSession s) {
      long mine = (Long) s.getAttribute(ROUND);
      loop.post(0, () -> broken(mine, "closed"));
    }
  }
}
