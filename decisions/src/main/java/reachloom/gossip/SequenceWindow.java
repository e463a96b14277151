package reachloom.gossip;

/**
 * The sequence numbers received from one sender: a window of 64 numbers that ends with the largest
 * one (the anti-replay window of RFC 4303, section 3.4.3).
 */
final class SequenceWindow {
  private long largest = Long.MIN_VALUE;

  /** Bit i is set if {@code largest - i} has been received. */
  private long received;

  /** Returns whether that number has not been received and is not below the window. */
  boolean isFresh(long sequenceNumber) {
    if (isEmpty() || sequenceNumber > largest) {
      return true;
    }
    long behind = largest - sequenceNumber;
    return behind >= 0 && behind < Long.SIZE && (received >>> behind & 1) == 0;
  }

  private boolean isEmpty() {
    return largest == Long.MIN_VALUE;
  }

  /** Marks a number as received; returns false if it is not fresh. */
  boolean accept(long sequenceNumber) {
    if (!isFresh(sequenceNumber)) {
      return false;
    }
    if (isEmpty() || sequenceNumber > largest) {
      long ahead = isEmpty() ? Long.SIZE : sequenceNumber - largest;
      received = ahead >= Long.SIZE || ahead < 0 ? 1 : received << ahead | 1;
      largest = sequenceNumber;
    } else {
      received |= 1L << largest - sequenceNumber;
    }
    return true;
  }
}
