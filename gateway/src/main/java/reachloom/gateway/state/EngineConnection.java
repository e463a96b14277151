package reachloom.gateway.state;

import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import org.apache.mina.core.future.ConnectFuture;
import org.apache.mina.core.future.WriteFuture;
import org.apache.mina.core.session.IoSession;
import reachloom.gateway.state.DeadlineQueue.Deadline;

/** A connection to an engine. */
public final class EngineConnection {
  public final String engine;

  /** The start of the process that it leads to, as the list of engines told it. */
  public final long since;

  /** Null until it is up. */
  public IoSession session;

  public boolean closed;
  public long handle;

  /** What is open on it, by id. */
  public final Map<String, EngineAttempt> open = new LinkedHashMap<>();

  /** Those of them that wait to be handed to the connection, oldest first. */
  public final Set<EngineAttempt> waiting = new LinkedHashSet<>();

  /** The latest write of a request. */
  public WriteFuture writing;

  /** Probes that are out on it, by tag, with the deadline of each. */
  public final Map<String, Deadline> probes = new LinkedHashMap<>();

  public long lastHeard;

  /** When an answer began that is not whole yet, or {@link Long#MAX_VALUE}. */
  public long begunAt = Long.MAX_VALUE;

  /** Silent while attempts on it ran out of time: not used for new work without need. */
  public boolean suspect;

  public Deadline dial;

  /** The latest try to connect, and whether it failed on this machine. */
  public ConnectFuture connecting;

  public boolean failedHere;
  public Deadline idle;

  /** A connection that is being made. */
  public EngineConnection(String engine, long since) {
    this.engine = engine;
    this.since = since;
  }

  /** Whether nothing is open on it. */
  public boolean unused() {
    return open.isEmpty() && probes.isEmpty();
  }
}
