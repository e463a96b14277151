package reachloom.gateway.wire;

/** Parses numbers from untrusted input: malformed numbers give a default, not an exception. */
public final class Numbers {
  private static final int MAX_DIGITS = 18;

  private Numbers() {}

  /**
   * Parses a non-negative integer of decimal digits; returns {@code otherwise} if the text is null
   * or malformed.
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

  /** Parses a finite number; returns {@code otherwise} if the text is null or malformed. */
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
