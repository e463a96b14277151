package reachloom.gateway.state;

import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * The connections of clients, and in order of time those that could go: the silent, the idle, and
 * those that have begun a message. Nothing here walks through all of them: a flood of connections
 * is let in and out at the cost of those that come, also while the code that does it has only just
 * started to run.
 */
public final class ClientConnectionTable {
  private final GenerationalSlots<ClientConnection> table;

  /** Those that have not sent a whole message yet, in the order in which they came. */
  private final Set<ClientConnection> silent = new LinkedHashSet<>();

  /** Those that have, with nothing open, in the order in which they were last heard or answered. */
  private final Set<ClientConnection> idle = new LinkedHashSet<>();

  /** Those within a message, in the order in which it began. */
  private final Set<ClientConnection> begun = new LinkedHashSet<>();

  /** Room for that many connections. */
  public ClientConnectionTable(int most) {
    table = new GenerationalSlots<>(most);
  }

  /** Takes a new connection in; false where there is no room. */
  public boolean add(ClientConnection c) {
    c.handle = table.add(c);
    return c.handle != GenerationalSlots.NONE && silent.add(c);
  }

  /** The connection of that handle, or null once it is gone. */
  public ClientConnection get(long handle) {
    return table.get(handle);
  }

  /** Forgets a connection. */
  public void remove(ClientConnection c) {
    table.remove(c.handle);
    silent.remove(c);
    idle.remove(c);
    begun.remove(c);
  }

  /** A message has begun that is not whole yet. */
  public void begun(ClientConnection c, long now) {
    c.begunAt = now;
    begun.remove(c);
    begun.add(c);
  }

  /** A whole message has come. */
  public void heard(ClientConnection c, long now) {
    begun.remove(c);
    silent.remove(c);
    touch(c, now);
  }

  /** Something has come from it or gone to it, or a request of it has been opened or closed. */
  public void touch(ClientConnection c, long now) {
    c.activeAt = now;
    idle.remove(c);
    if (c.open.isEmpty() && !silent.contains(c) && table.get(c.handle) == c) {
      idle.add(c);
    }
  }

  /**
   * The one that gives way to a new one, or null: one silent since before that time, else the one
   * idle for longest. Last come those whose first words may still be on their way, since a request
   * that comes to a closed connection is lost to its client.
   */
  public ClientConnection inTheWay(long latest) {
    ClientConnection first = first(silent);
    return first != null && (first.activeAt < latest || idle.isEmpty()) ? first : first(idle);
  }

  /**
   * One that has been silent, or within a message, since before the first time, or idle since the
   * other.
   */
  public ClientConnection overdue(long latestWord, long latestUse) {
    ClientConnection c = first(silent);
    if (c != null && c.activeAt < latestWord) {
      return c;
    }
    c = first(begun);
    if (c != null && c.begunAt < latestWord) {
      return c;
    }
    c = first(idle);
    return c != null && c.activeAt < latestUse ? c : null;
  }

  private static ClientConnection first(Set<ClientConnection> clients) {
    Iterator<ClientConnection> all = clients.iterator();
    return all.hasNext() ? all.next() : null;
  }

  /** How many are connected. */
  public int size() {
    return table.size();
  }

  /** All of them. */
  public List<ClientConnection> all() {
    return table.all();
  }
}
