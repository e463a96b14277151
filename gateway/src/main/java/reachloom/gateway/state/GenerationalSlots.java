package reachloom.gateway.state;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/**
 * A bounded table of numbered slots. A handle names a slot and its generation, so that one kept
 * past the end of what it named finds nothing, also once the slot is used again.
 *
 * @param <T> what a slot holds
 */
public final class GenerationalSlots<T> {
  /** The handle of nothing. */
  public static final long NONE = -1;

  private static final int FIRST_SIZE = 64;

  private final int most;
  private Object[] values;
  private int[] generations;
  private int[] free;
  private int freeCount;
  private int used;

  /** A table of at most that many slots. */
  public GenerationalSlots(int most) {
    this.most = most;
    int size = Math.min(FIRST_SIZE, most);
    values = new Object[size];
    generations = new int[size];
    free = new int[size];
  }

  /** Takes a slot; {@link #NONE} where the table is full. */
  public long add(T value) {
    int slot;
    if (freeCount > 0) {
      slot = free[--freeCount];
    } else if (used < most) {
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
      int size = Math.min(most, values.length * 2);
      values = Arrays.copyOf(values, size);
      generations = Arrays.copyOf(generations, size);
      free = Arrays.copyOf(free, size);
    }
  }

  /** What the handle names, or null once it is gone. */
  @SuppressWarnings("unchecked")
  public T get(long handle) {
    int slot = (int) handle;
    boolean current =
        handle >= 0 && slot < used && generations[slot] == (int) (handle >> Integer.SIZE);
    return current ? (T) values[slot] : null;
  }

  /** Frees the slot; a handle that no longer names anything is left alone. */
  public void remove(long handle) {
    if (get(handle) == null) {
      return;
    }
    int slot = (int) handle;
    values[slot] = null;
    generations[slot] = generations[slot] + 1 & Integer.MAX_VALUE;
    free[freeCount++] = slot;
  }

  /** How many slots are taken. */
  public int size() {
    return used - freeCount;
  }

  /** All that is held, in the order of its slots, as a list that later changes leave alone. */
  @SuppressWarnings("unchecked")
  public List<T> all() {
    List<T> held = new ArrayList<>(size());
    for (int i = 0; i < used; i++) {
      if (values[i] != null) {
        held.add((T) values[i]);
      }
    }
    return held;
  }
}
