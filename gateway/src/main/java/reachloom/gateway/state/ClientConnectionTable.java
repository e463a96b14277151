package reachloom.gateway.state;

import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * A bounded table of client connections, with those that may be closed ordered by time: the idle
 * ones, and those on which a message is awaited. A connection with open requests is neither: each
 * of them is owed a response on it. No operation for admission, eviction or timeouts visits all
 * connections, so that a flood of them is admitted and evicted at constant cost each.
 *
 * <p>Confined to the event loop's thread. All times are nanoseconds on its clock.
 */
public final class ClientConnectionTable {
  /**
   * Bytes of a message count as activity until this long after its first ones, so that a client
   * can't hold a connection by sending a few now and then. A client that sends the longest message
   * at 3 KB/s completes it in time.
   */
  static final long MAX_MESSAGE_NANOS = 30_000_000_000L;

  private final GenerationalSlots<ClientConnection> slots;

  /**
   * Connections without open requests from which a message is awaited: the first one, or the rest
   * of an incomplete one. In the order in which they were last active.
   */
  private final Set<ClientConnection> awaiting = new LinkedHashSet<>();

  /** Other connections without open requests, in the order in which they were last active. */
  private final Set<ClientConnection> idle = new LinkedHashSet<>();

  /** Connections with unread input, in the order in which it was first left unread. */
  private final Set<ClientConnection> unread = new LinkedHashSet<>();

  /** Creates an empty table of at most {@code maxConnections} connections. */
  public ClientConnectionTable(int maxConnections) {
    slots = new GenerationalSlots<>(maxConnections);
  }

  /** Adds a new connection and sets its handle; returns false if the table is full. */
  public boolean add(ClientConnection client) {
    client.handle = slots.add(client);
    return client.handle != GenerationalSlots.NONE && awaiting.add(client);
  }

  /** Returns the connection of a handle; empty once it is removed. */
  public Optional<ClientConnection> find(long handle) {
    return Optional.ofNullable(slots.get(handle));
  }

  /** Removes a connection. */
  public void remove(ClientConnection client) {
    slots.remove(client.handle);
    awaiting.remove(client);
    idle.remove(client);
    unread.remove(client);
  }

  /** Records that input of a connection was left unread. */
  public void inputUnread(ClientConnection client, long nowNanos) {
    if (!client.inputUnread) {
      client.inputUnread = true;
      client.unreadSinceNanos = nowNanos;
      unread.add(client);
    }
  }

  /** Records that all input of a connection was read. */
  public void inputRead(ClientConnection client) {
    client.inputUnread = false;
    unread.remove(client);
  }

  /** Records that the first part of an incomplete message was received on a connection. */
  public void messageBegun(ClientConnection client, long nowNanos) {
    client.withinMessage = true;
    client.messageBegunAtNanos = nowNanos;
    touch(client, nowNanos);
  }

  /** Records that a further part of an incomplete message was received on a connection. */
  public void messageContinued(ClientConnection client, long nowNanos) {
    if (nowNanos - client.messageBegunAtNanos < MAX_MESSAGE_NANOS) {
      touch(client, nowNanos);
    }
  }

  /** Records that a complete message was received on a connection. */
  public void messageReceived(ClientConnection client, long nowNanos) {
    client.withinMessage = false;
    client.silent = false;
    touch(client, nowNanos);
  }

  /** Records activity: bytes read or written, or a request opened or closed. */
  public void touch(ClientConnection client, long nowNanos) {
    client.lastActiveAtNanos = nowNanos;
    awaiting.remove(client);
    idle.remove(client);
    boolean current = slots.get(client.handle) == client;
    if (current && client.openRequests.isEmpty()) {
      (client.awaitsMessage() ? awaiting : idle).add(client);
    }
  }

  /**
   * Returns the connection to evict for a new one, if any may be: one that has been inactive while
   * a message is awaited since before a time, else one that has sent more than could be read since
   * before a time, and no request of which was submitted, else the one that is idle for longest, if
   * it is since before that time. The message of a connection that was active a short time ago may
   * be in transit, and a request that arrives at a closed connection is lost to its client.
   *
   * @param inactiveBeforeNanos the time of the first kind
   * @param unreadBeforeNanos the time of the other kinds
   */
  public Optional<ClientConnection> evictable(long inactiveBeforeNanos, long unreadBeforeNanos) {
    return inactiveBefore(awaiting, inactiveBeforeNanos)
        .or(() -> firstUnread(unreadBeforeNanos))
        .or(() -> inactiveBefore(idle, unreadBeforeNanos));
  }

  /**
   * Returns the connection to evict if none is {@link #evictable} and the table is full: the one
   * that is idle for longest, else the one that awaits a message for longest.
   */
  public Optional<ClientConnection> leastRecentlyActive() {
    return first(idle).or(() -> first(awaiting));
  }

  /**
   * Returns a connection without open requests that has been inactive while a message is awaited
   * since before the first time, or idle since before the second.
   */
  public Optional<ClientConnection> overdue(long inactiveBeforeNanos, long idleBeforeNanos) {
    return inactiveBefore(awaiting, inactiveBeforeNanos)
        .or(() -> inactiveBefore(idle, idleBeforeNanos));
  }

  private static Optional<ClientConnection> inactiveBefore(
      Set<ClientConnection> clients, long nanos) {
    return first(clients).filter(client -> client.lastActiveAtNanos < nanos);
  }

  private Optional<ClientConnection> firstUnread(long beforeNanos) {
    return unread.stream()
        .takeWhile(client -> client.unreadSinceNanos < beforeNanos)
        .filter(client -> client.openRequests.values().stream().noneMatch(open -> open.submitted))
        .findFirst();
  }

  private static Optional<ClientConnection> first(Set<ClientConnection> clients) {
    Iterator<ClientConnection> iterator = clients.iterator();
    return iterator.hasNext() ? Optional.of(iterator.next()) : Optional.empty();
  }

  /** Returns the number of connections. */
  public int size() {
    return slots.size();
  }

  /** Returns a copy of all connections. */
  public List<ClientConnection> all() {
    return slots.all();
  }
}
