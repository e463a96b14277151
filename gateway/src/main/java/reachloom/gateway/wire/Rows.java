package reachloom.gateway.wire;

import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;

/**
 * Validates the rows of a result as engines write them: three columns of UTF-8 text, separated by
 * tabs and ended by a line feed.
 */
public final class Rows {
  private static final int TABS = 2;

  private Rows() {}

  /** Whether a page consists of complete rows of valid text; an empty page does. */
  public static boolean isValid(byte[] page) {
    int tabs = 0;
    for (byte b : page) {
      if (b == '\n' && tabs != TABS || b != '\n' && b != '\t' && b >= 0 && b < ' ') {
        return false;
      }
      tabs = b == '\n' ? 0 : b == '\t' ? tabs + 1 : tabs;
    }
    boolean ends = page.length == 0 || page[page.length - 1] == '\n';
    return ends && isUtf8(page);
  }

  private static boolean isUtf8(byte[] page) {
    for (byte b : page) {
      if (b < 0) { // most pages are ASCII; only others need decoding
        try {
          StandardCharsets.UTF_8.newDecoder().decode(ByteBuffer.wrap(page));
          return true;
        } catch (CharacterCodingException e) {
          return false;
        }
      }
    }
    return true;
  }
}
