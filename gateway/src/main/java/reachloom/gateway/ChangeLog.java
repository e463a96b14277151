package reachloom.gateway;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import org.apache.mina.core.future.ConnectFuture;
import org.apache.mina.core.session.AttributeKey;
import org.apache.mina.core.session.IoSession;
import org.apache.mina.transport.socket.nio.NioSocketConnector;
import reachloom.config.Member;
import reachloom.gateway.tables.Deadlines.Deadline;
import reachloom.gateway.wire.Change;
import reachloom.gateway.wire.ChangeLogDecoder;
import reachloom.gateway.wire.DecodingHandler;
import reachloom.gateway.wire.Listener;
import reachloom.gateway.wire.Sockets;

/** Follows the change log from the last event held; the list held stays while it is away. */
final class ChangeLog {
  private static final Logger LOG = System.getLogger(ChangeLog.class.getName());
  private static final long MILLISECOND = 1_000_000; // nanoseconds
  private static final AttributeKey ROUND = new AttributeKey(ChangeLog.class, "round");
  /** A frame comes each second at least: silence for longer is a break. */
  private static final long MOST_SILENCE = 2_500 * MILLISECOND;
  private static final long DIAL_TIMEOUT = 500 * MILLISECOND;
  private static final long FIRST_PAUSE = 100 * MILLISECOND;
  /** Short beside the 2 s within which a gateway has to find a log again that broke off. */
  private static final long LONGEST_PAUSE = 400 * MILLISECOND;
  /** A start does not wait longer for a log that can't be reached. */
  private static final long LONGEST_START = 400 * MILLISECOND;
  /** What a log holds follows the question at once: it has told all when it is quiet for so long. */
  private static final long QUIET = 100 * MILLISECOND;

  private final Loop loop;
  private final NioSocketConnector connector;
  private final SplittableRandom random;
  private final Consumer<Change> news;
  private final Runnable away;
  private InetSocketAddress address;
  private long last;
  /** The last event held when a gap was met. */
  private long gapAt = -1;
  private long pause = FIRST_PAUSE;
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

  ChangeLog(Loop loop, Sockets sockets, InetSocketAddress address, long last, long seed, int zones, int kinds,
      Consumer<Change> news, Runnable away) {
    this.loop = loop;
    this.address = address;
    this.last = last;
    this.random = new SplittableRandom(seed);
    this.news = news;
    this.away = away;
    connector = sockets.connector(
        new DecodingHandler<>("change log", () -> new ChangeLogDecoder(zones, kinds), new Heard()));
  }

  /**
   * Takes over what a configuration read anew tells: events beyond the last one held, and where the log is
   * now. Nothing is waited for: the old address tells no more, and the new one goes on with the same numbers.
   */
  void follow(InetSocketAddress now, long lastKnown, List<Member> known) {
    if (lastKnown > last) {
      last = lastKnown;
      news.accept(new Change(lastKnown, false, true, known));
    }
    if (now.equals(address)) {
      return;
    }
    LOG.log(Level.INFO, "change log: {0} from now on instead of {1}, after event {2}", now, address,
        Long.toString(last));
    address = now;
    pause = FIRST_PAUSE;
    letGo();
    connect();
  }

  /**
   * Does that once the log has told what it held, or has had its time: a list handed over at the start may be
   * old by then, and what the log has told since counts as known.
   */
  void whenCaughtUp(Runnable then) {
    waiting = then;
    waitingUntil = loop.now() + LONGEST_START;
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
      settling = loop.deadlines().add(Math.min(waitingUntil, loop.now() + QUIET), this::caughtUp);
    }
  }

  void connect() {
    long mine = ++round;
    dialling = connector.connect(address, (s, f) -> s.setAttribute(ROUND, mine));
    ConnectFuture future = dialling;
    future.addListener(f -> {
      if (!future.isConnected()) {
        loop.post(0, () -> broken(mine, "no connection"));
      }
    });
    watch(DIAL_TIMEOUT, "no connection in time");
  }

  private void watch(long time, String why) {
    loop.deadlines().cancel(silence);
    long mine = round;
    silence = loop.deadlines().add(loop.now() + time, () -> broken(mine, why));
  }

  private void broken(long mine, String why) {
    if (mine != round) {
      return;
    }
    LOG.log(Level.INFO, "change log at {0}: {1}; the list of event {2} stays", address, why,
        Long.toString(last));
    letGo();
    // Half of it by chance, so that gateways that lost it together come back one by one.
    long wait = pause / 2 + random.nextLong(pause / 2 + 1);
    pause = Math.min(LONGEST_PAUSE, pause * 2);
    retry = loop.deadlines().add(loop.now() + wait, this::connect);
    away.run();
  }

  /** Ends the connection, or the one that is being made, or the wait for the next one. */
  private void letGo() {
    round++;
    loop.deadlines().cancel(silence);
    loop.deadlines().cancel(retry);
    if (session != null) {
      session.closeNow();
      session = null;
    } else if (dialling != null) {
      Sockets.giveUp(dialling);
    }
  }

  private void heard(Change change) {
    if (waiting != null) {
      loop.later(() -> settle(change.nothing())); // once it is dealt with
    }
    pause = FIRST_PAUSE;
    watch(MOST_SILENCE, "silent");
    if (change.nothing() || change.number() <= last) {
      return; // a sign of life, or an event told before
    }
    if (!change.whole() && change.number() > last + 1 && gapAt != last) {
      gapAt = last; // a log that still has it so when asked again numbers its events with gaps
      broken(round, "event " + change.number() + " after " + last);
      return;
    }
    last = change.number();
    news.accept(change);
  }

  private final class Heard implements Listener<Change> {
    @Override
    public void opened(IoSession s) {
      long mine = (Long) s.getAttribute(ROUND);
      loop.post(0, () -> {
        if (mine != round) {
          s.closeNow();
          return;
        }
        session = s;
        if (waiting != null) {
          settle(false);
        }
        Sockets.write(s, ChangeLogDecoder.hello(last));
        watch(MOST_SILENCE, "silent");
      });
    }

    @Override
    public void received(IoSession s, Change change, int bytes) {
      long mine = (Long) s.getAttribute(ROUND);
      loop.postFirst(bytes, () -> {
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
