package reachloom.gossip.net;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.PosixFilePermission;
import java.util.Base64;
import java.util.EnumSet;
import java.util.Set;

/** Files in PEM (RFC 7468), as keys and certificates are stored. No state, any thread. */
public final class Pem {
  private static final int MAX_FILE_BYTES = 64 * 1024;
  private static final int COLUMNS = 64;
  private static final Set<PosixFilePermission> OWNER_PERMISSIONS =
      Set.of(
          PosixFilePermission.OWNER_READ,
          PosixFilePermission.OWNER_WRITE,
          PosixFilePermission.OWNER_EXECUTE);

  private Pem() {}

  /**
   * Returns the bytes of a file's first block of that label.
   *
   * @throws IOException if the file can't be read, is too large, or holds no such block
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
      throw new IOException(file + ": holds no " + label);
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
   * @throws IOException if the file can't be read, or others than its owner may use it
   */
  public static byte[] readPrivate(Path file) throws IOException {
    Set<PosixFilePermission> others = EnumSet.copyOf(Files.getPosixFilePermissions(file));
    others.removeAll(OWNER_PERMISSIONS);
    if (!others.isEmpty()) {
      throw new IOException(file + ": others than its owner may use it (" + others + ")");
    }
    return read(file, "PRIVATE KEY");
  }

  /** Returns one block as text, its last line ended. */
  public static String text(String label, byte[] bytes) {
    String base64 = Base64.getMimeEncoder(COLUMNS, new byte[] {'\n'}).encodeToString(bytes);
    return begin(label) + "\n" + base64 + "\n" + end(label) + "\n";
  }

  private static String begin(String label) {
    return "-----BEGIN " + label + "-----";
  }

  private static String end(String label) {
    return "-----END " + label + "-----";
  }
}
