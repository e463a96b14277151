package reachloom.gateway.state;

import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * The connections of clients in a bounded table, and in order of time those that may be closed: the
 * silent, the idle, and those that have begun a message. No operation visits all connections, so
 * that a flood of them is admitted and evicted at a constant cost each.
 *
 * <p>Confined to the event loop's thread. All times are nanoseconds on its clock.
 */
public final class ClientConnectionTable {
  private final GenerationalSlots<ClientConnection> slots;

  /** Those that have not sent a whole message yet, in the order in which they connected. */
  private final Set<ClientConnection> silent = new LinkedHashSet<>();

  /** Those that have, without open requests, in the order in which they were last active. */
  private final Set<ClientConnection> idle = new LinkedHashSet<>();

  /** Those within a message, in the order in which it began. */
  private final Set<ClientConnection> withinMessage = new LinkedHashSet<>();

  /** An empty table of at most that many connections. */
  public ClientConnectionTable(int maxConnections) {
    slots = new GenerationalSlots<>(maxConnections);
  }

  /** Adds a new connection and sets its handle; false where the table is full. */
  public boolean add(ClientConnection client) {
    client.handle = slots.add(client);
    return client.handle != GenerationalSlots.NONE && silent.add(client);
  }

  /** The connection of a handle, unless it has been removed. */
  public Optional<ClientConnection> find(long handle) {
    return Optional.ofNullable(slots.get(handle));
  }

  /** Removes a connection. */
  public void remove(ClientConnection client) {
    slots.remove(client.handle);
    silent.remove(client);
    idle.remove(client);
    withinMessage.remove(client);
  }

  /** Notes that a message has begun on a connection that was not received whole at once. */
  public void messageBegun(ClientConnection client, long nowNanos) {
    client.messageBegunAtNanos = nowNanos;
    withinMessage.remove(client);
    withinMessage.add(client);
  }

  /** Notes that a whole message was received at that time. */
  public void messageReceived(ClientConnection client, long receivedAtNanos) {
    withinMessage.remove(client);
    silent.remove(client);
    touch(client, receivedAtNanos);
  }

  /** Notes activity: bytes read or written, or a request opened or closed. */
  public void touch(ClientConnection client, long nowNanos) {
    client.lastActiveAtNanos = nowNanos;
    idle.remove(client);
    boolean current = slots.get(client.handle) == client;
    if (client.openRequests.isEmpty() && !silent.contains(client) && current) {
      idle.add(client);
    }
  }

  /**
   * The connection to evict for a new one, if any may be: one silent since before that time, else
   * the one idle for longest. Last come the silent that have connected since then, whose first
   * request may be on its way: one that arrives at a closed connection is lost to its client.
   */
  public Optional<ClientConnection> evictable(long silentBeforeNanos) {
    Optional<ClientConnection> first = first(silent);
    boolean expired = first.isPresent() && first.get().lastActiveAtNanos < silentBeforeNanos;
    return expired || idle.isEmpty() ? first : first(idle);
  }

  /**
   * A connection that has been silent, or within a message, since before the first time, or idle
   * since before the second.
   */
  public Optional<ClientConnection> overdue(long silentBeforeNanos, long idleBeforeNanos) {
    return first(silent)
        .filter(client -> client.lastActiveAtNanos < silentBeforeNanos)
        .or(
            () ->
                first(withinMessage)
                    .filter(client -> client.messageBegunAtNanos < silentBeforeNanos))
        .or(() -> first(idle).filter(client -> client.lastActiveAtNanos < idleBeforeNanos));
  }

  private static Optional<ClientConnection> first(Set<ClientConnection> clients) {
    Iterator<ClientConnection> iterator = clients.iterator();
    return iterator.hasNext() ? Optional.of(iterator.next()) : Optional.empty();
  }

  /** The number of connections. */
  public int size() {
    return slots.size();
  }

  /** All connections, as a list that later changes leave alone. */
  public List<ClientConnection> all() {
    return slots.all();
  }
}
