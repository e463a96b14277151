package reachloom.gateway.state;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/**
 * A bounded table of numbered slots. A handle names a slot and its generation, so that one kept
 * beyond the removal of its value finds nothing, also once the slot is used again. Confined to the
 * event loop's thread.
 *
 * @param <T> the values
 */
public final class GenerationalSlots<T> {
  /** The handle of nothing. */
  public static final long NONE = -1;

  private static final int INITIAL_SIZE = 64;

  private final int maxSlots;
  private Object[] values;
  private int[] generations;
  private int[] free;
  private int freeCount;
  private int used;

  /** An empty table of at most that many slots. */
  public GenerationalSlots(int maxSlots) {
    this.maxSlots = maxSlots;
    int size = Math.min(INITIAL_SIZE, maxSlots);
    values = new Object[size];
    generations = new int[size];
    free = new int[size];
  }

  /**
   * Puts a value into a free slot and returns its handle; {@link #NONE} where the table is full.
   */
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

  /** The value of a handle; null once it is removed. */
  @SuppressWarnings("unchecked")
  public T get(long handle) {
    int slot = (int) handle;
    boolean current =
        handle >= 0 && slot < used && generations[slot] == (int) (handle >> Integer.SIZE);
    return current ? (T) values[slot] : null;
  }

  /** Frees a slot; a handle that no longer names anything is left alone. */
  public void remove(long handle) {
    if (get(handle) == null) {
      return;
    }
    int slot = (int) handle;
    values[slot] = null;
    generations[slot] = generations[slot] + 1 & Integer.MAX_VALUE;
    free[freeCount++] = slot;
  }

  /** The number of values. */
  public int size() {
    return used - freeCount;
  }

  /** All values in the order of their slots, as a list that later changes leave alone. */
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
