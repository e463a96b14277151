package reachloom.gossip.net;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.PosixFilePermission;
import java.util.Base64;
import java.util.EnumSet;
import java.util.Set;

/** Files in PEM (RFC 7468), as keys and certificates are kept. */
public final class Pem {
  private static final int MAX_BYTES = 64 * 1024;
  private static final int COLUMNS = 64;

  private Pem() {}

  /** The bytes of the first block of that label. */
  public static byte[] read(Path file, String label) throws IOException {
    if (Files.size(file) > MAX_BYTES) {
      throw new IOException(file + ": is larger than " + MAX_BYTES + " bytes");
    }
    String text = Files.readString(file, StandardCharsets.US_ASCII);
    String begin = "-----BEGIN " + label + "-----";
    int from = text.indexOf(begin);
    int to = text.indexOf("-----END " + label + "-----");
    if (from < 0 || to < from) {
      throw new IOException(file + ": holds no " + label);
    }
    try {
      return Base64.getMimeDecoder().decode(text.substring(from + begin.length(), to).strip());
    } catch (IllegalArgumentException e) {
      throw new IOException(file + ": is not base64");
    }
  }

  /** A private key's bytes; refused where others than the owner may read the file. */
  public static byte[] readPrivate(Path file) throws IOException {
    Set<PosixFilePermission> open = EnumSet.copyOf(Files.getPosixFilePermissions(file));
    open.retainAll(
        EnumSet.complementOf(
            EnumSet.of(
                PosixFilePermission.OWNER_READ,
                PosixFilePermission.OWNER_WRITE,
                PosixFilePermission.OWNER_EXECUTE)));
    if (!open.isEmpty()) {
      throw new IOException(file + ": others than its owner may use it (" + open + ")");
    }
    return read(file, "PRIVATE KEY");
  }

  /** One block as text. */
  public static String text(String label, byte[] bytes) {
    return "-----BEGIN "
        + label
        + "-----\n"
        + Base64.getMimeEncoder(COLUMNS, new byte[] {'\n'}).encodeToString(bytes)
        + "\n-----END "
        + label
        + "-----\n";
  }
}
