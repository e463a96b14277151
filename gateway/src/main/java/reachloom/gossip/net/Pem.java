package reachloom.gossip.net;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.PosixFilePermission;
import java.util.Base64;
import java.util.EnumSet;
import java.util.Set;

/** Reads and writes keys and certificates in PEM (RFC 7468). Stateless and thread-safe. */
public final class Pem {
  private static final int MAX_FILE_BYTES = 64 * 1024;
  private static final int LINE_CHARS = 64;
  private static final Set<PosixFilePermission> OWNER_PERMISSIONS =
      Set.of(
          PosixFilePermission.OWNER_READ,
          PosixFilePermission.OWNER_WRITE,
          PosixFilePermission.OWNER_EXECUTE);

  private Pem() {}

  /**
   * Returns the decoded bytes of the first block with that label in a file.
   *
   * @throws IOException if the file can't be read, is too large, or has no such block
   */
  public static byte[] read(Path file, String label) throws IOException {
    if (Files.size(file) > MAX_FILE_BYTES) {
      throw new IOException(file + ": is larger than " + MAX_FILE_BYTES + " bytes");
    }
    String text = Files.readString(file, StandardCharsets.US_ASCII);
    String begin = begin(label);
    int from = text.indexOf(begin);
    int to = text.indexOf(end(label));
    if (from < 0 || to < from) {
      throw new IOException(file + ": has no PEM block '" + label + "'");
    }
    try {
      return Base64.getMimeDecoder().decode(text.substring(from + begin.length(), to).strip());
    } catch (IllegalArgumentException e) {
      throw new IOException(file + ": is not base64");
    }
  }

  /**
   * Returns the bytes of a private key.
   *
   * @throws IOException if the file can't be read, or its permissions admit users other than its
   *     owner
   */
  public static byte[] readPrivate(Path file) throws IOException {
    Set<PosixFilePermission> excess = EnumSet.copyOf(Files.getPosixFilePermissions(file));
    excess.removeAll(OWNER_PERMISSIONS);
    if (!excess.isEmpty()) {
      throw new IOException(file + ": users other than its owner have access (" + excess + ")");
    }
    return read(file, "PRIVATE KEY");
  }

  /** Returns one block as text that ends with a line feed. */
  public static String text(String label, byte[] bytes) {
    String base64 = Base64.getMimeEncoder(LINE_CHARS, new byte[] {'\n'}).encodeToString(bytes);
    return begin(label) + "\n" + base64 + "\n" + end(label) + "\n";
  }

  private static String begin(String label) {
    return "-----BEGIN " + label + "-----";
  }

  private static String end(String label) {
    return "-----END " + label + "-----";
  }
}
