package reachloom.gateway.wire;

/** Parses numbers of other programs: what can't be read is a default, not an exception. */
public final class Numbers {
  private static final int MAX_DIGITS = 18;

  private Numbers() {}

  /**
   * Parses a whole number from 0 up in plain digits; {@code otherwise} where it is none, or null.
   */
  public static long parseNonNegative(String text, long otherwise) {
    if (text == null || text.isEmpty() || text.length() > MAX_DIGITS) {
      return otherwise;
    }
    long read = 0;
    for (int i = 0; i < text.length(); i++) {
      int digit = text.charAt(i) - '0';
      if (digit < 0 || digit > 9) {
        return otherwise;
      }
      read = read * 10 + digit;
    }
    return read;
  }

  /** Parses a finite number; {@code otherwise} where it is none, or null. */
  public static double parseDouble(String text, double otherwise) {
    if (text == null || text.length() > 2 * MAX_DIGITS) {
      return otherwise;
    }
    try {
      double read = Double.parseDouble(text);
      return Double.isFinite(read) ? read : otherwise;
    } catch (NumberFormatException e) {
      return otherwise;
    }
  }
}
