package reachloom.gossip;

import java.io.FileNotFoundException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.HexFormat;

/** Reads the stored bytes under {@code golden/} on the test class path. */
public final class GoldenResources {
  private GoldenResources() {}

  /** Returns a resource's bytes as they are stored; {@code name} is relative to {@code golden/}. */
  public static byte[] bytes(String name) throws IOException {
    try (InputStream in = GoldenResources.class.getResourceAsStream("/golden/" + name)) {
      if (in == null) {
        throw new FileNotFoundException("golden/" + name);
      }
      return in.readAllBytes();
    }
  }

  /** Returns a resource as text; the stored resources contain only ASCII. */
  public static String text(String name) throws IOException {
    return new String(bytes(name), StandardCharsets.US_ASCII);
  }

  /** Decodes a resource of hexadecimal digits, ignoring white space. */
  public static byte[] hex(String name) throws IOException {
    return HexFormat.of().parseHex(text(name).replaceAll("\\s", ""));
  }
}
