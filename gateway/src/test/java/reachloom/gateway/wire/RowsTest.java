package reachloom.gateway.wire;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

/** Validation of result pages, which consist of complete rows of three columns. */
class RowsTest {
  private static boolean isValid(String page) {
    return Rows.isValid(page.getBytes(StandardCharsets.UTF_8));
  }

  @Test
  void acceptsCompleteAndEmptyRows() {
    assertTrue(isValid(""));
    assertTrue(isValid("a\tb\tc\n"));
    assertTrue(isValid("\t\t\nselat\tö, ü\t数\n"));
  }

  @Test
  void rejectsTruncatedRowsAndOtherColumnCounts() {
    String page = "one\ttwo\tthree\nfour\tfive\tsix\n";
    for (int length = 1; length < page.length(); length++) {
      String part = page.substring(0, length);
      assertTrue(isValid(part) == part.endsWith("three\n"), part);
    }
    for (String bad : new String[] {"\n", "a\tb\n", "a\tb\tc\td\n", "a\tb\tc", "a\tb\u0001\tc\n"}) {
      assertFalse(isValid(bad), bad);
    }
  }

  @Test
  void rejectsInvalidUtf8() {
    byte[] page = "a\tb\tc\n".getBytes(StandardCharsets.UTF_8);
    page[2] = (byte) 0xfe;
    assertFalse(Rows.isValid(page));
  }
}
