package reachloom.gateway.state;

import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * A bounded table of client connections, with those that may be closed ordered by time: the silent
 * ones, the idle ones, and those within a message. No operation for admission, eviction or timeouts
 * visits all connections, so that a flood of them is admitted and evicted at constant cost each.
 *
 * <p>Confined to the event loop's thread. All times are nanoseconds on its clock.
 */
public final class ClientConnectionTable {
  private final GenerationalSlots<ClientConnection> slots;

  /** Connections without a complete message so far, in the order in which they were accepted. */
  private final Set<ClientConnection> silent = new LinkedHashSet<>();

  /** Other connections without open requests, in the order in which they were last active. */
  private final Set<ClientConnection> idle = new LinkedHashSet<>();

  /** Connections with an incomplete message, in the order in which it began. */
  private final Set<ClientConnection> withinMessage = new LinkedHashSet<>();

  /** Creates an empty table of at most {@code maxConnections} connections. */
  public ClientConnectionTable(int maxConnections) {
    slots = new GenerationalSlots<>(maxConnections);
  }

  /** Adds a new connection and sets its handle; returns false if the table is full. */
  public boolean add(ClientConnection client) {
    client.handle = slots.add(client);
    return client.handle != GenerationalSlots.NONE && silent.add(client);
  }

  /** Returns the connection of a handle; empty once it is removed. */
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

  /** Records that the first part of an incomplete message was received on a connection. */
  public void messageBegun(ClientConnection client, long nowNanos) {
    client.messageBegunAtNanos = nowNanos;
    withinMessage.remove(client);
    withinMessage.add(client);
  }

  /** Records that a complete message was received on a connection at the given time. */
  public void messageReceived(ClientConnection client, long receivedAtNanos) {
    withinMessage.remove(client);
    silent.remove(client);
    touch(client, receivedAtNanos);
  }

  /** Records activity: bytes read or written, or a request opened or closed. */
  public void touch(ClientConnection client, long nowNanos) {
    client.lastActiveAtNanos = nowNanos;
    idle.remove(client);
    boolean current = slots.get(client.handle) == client;
    if (client.openRequests.isEmpty() && !silent.contains(client) && current) {
      idle.add(client);
    }
  }

  /**
   * Returns the connection to evict for a new one, if any may be: one that is silent since before
   * the given time, else the one that is idle for longest, else the oldest silent one. Newer silent
   * connections come last, since their first request may be in transit: a request that arrives at a
   * closed connection is lost to its client.
   */
  public Optional<ClientConnection> evictable(long silentBeforeNanos) {
    Optional<ClientConnection> first = first(silent);
    boolean expired = first.isPresent() && first.get().lastActiveAtNanos < silentBeforeNanos;
    return expired || idle.isEmpty() ? first : first(idle);
  }

  /**
   * Returns a connection that has been silent, or within a message, since before the first time, or
   * idle since before the second.
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

  /** Returns the number of connections. */
  public int size() {
    return slots.size();
  }

  /** Returns a copy of all connections. */
  public List<ClientConnection> all() {
    return slots.all();
  }
}
