package reachloom.gateway.state;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/**
 * A bounded table of numbered slots. A handle identifies a slot and its generation, so that a stale
 * handle finds nothing after the removal of its value, also once the slot is reused. Confined to
 * the event loop's thread.
 *
 * @param <T> the type of the values
 */
public final class GenerationalSlots<T> {
  /** The handle that identifies no slot. */
  public static final long NONE = -1;

  private static final int INITIAL_SIZE = 64;

  private final int maxSlots;
  private Object[] values;
  private int[] generations;
  private int[] free;
  private int freeCount;
  private int used;

  /** Creates an empty table of at most {@code maxSlots} slots. */
  public GenerationalSlots(int maxSlots) {
    this.maxSlots = maxSlots;
    int size = Math.min(INITIAL_SIZE, maxSlots);
    values = new Object[size];
    generations = new int[size];
    free = new int[size];
  }

  /** Puts a value into a free slot and returns its handle; {@link #NONE} if the table is full. */
  public long add(T value) {
    int slot;
    if (freeCount > 0) {
      slot = free[--freeCount];
    } else if (used < maxSlots) {
      slot = used++;
      grow();
    } else {
      return NONE;
    }
    values[slot] = value;
    return (long) generations[slot] << Integer.SIZE | slot;
  }

  private void grow() {
    if (used > values.length) {
      int size = Math.min(maxSlots, values.length * 2);
      values = Arrays.copyOf(values, size);
      generations = Arrays.copyOf(generations, size);
      free = Arrays.copyOf(free, size);
    }
  }

  /** Returns the value of a handle; null once it is removed. */
  @SuppressWarnings("unchecked")
  public T get(long handle) {
    int slot = (int) handle;
    boolean current =
        handle >= 0 && slot < used && generations[slot] == (int) (handle >> Integer.SIZE);
    return current ? (T) values[slot] : null;
  }

  /** Frees the slot of a handle; ignores a stale handle. */
  public void remove(long handle) {
    if (get(handle) == null) {
      return;
    }
    int slot = (int) handle;
    values[slot] = null;
    generations[slot] = generations[slot] + 1 & Integer.MAX_VALUE;
    free[freeCount++] = slot;
  }

  /** Returns the number of values. */
  public int size() {
    return used - freeCount;
  }

  /** Returns a copy of all values, in the order of their slots. */
  @SuppressWarnings("unchecked")
  public List<T> all() {
    List<T> all = new ArrayList<>(size());
    for (int i = 0; i < used; i++) {
      if (values[i] != null) {
        all.add((T) values[i]);
      }
    }
    return all;
  }
}
