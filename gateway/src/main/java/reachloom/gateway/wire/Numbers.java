package reachloom.gateway.wire;

/** Numbers in texts of others: what can't be read is a value, not an exception. */
public final class Numbers {
  private static final int MAX_DIGITS = 18;

  private Numbers() {}

  /** A whole number from 0 up in plain digits, else the given value. */
  public static long whole(String text, long otherwise) {
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

  /** A finite number, else the given value. */
  public static double real(String text, double otherwise) {
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
