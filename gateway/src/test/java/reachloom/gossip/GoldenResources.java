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

  /** Returns a resource as text; the stored resources hold ASCII alone. */
  public static String text(String name) throws IOException {
    return new String(bytes(name), StandardCharsets.US_ASCII);
  }

  /** Returns the bytes that a resource spells as hexadecimal digits, white space aside. */
  public static byte[] hex(String name) throws IOException {
    return HexFormat.of().parseHex(text(name).replaceAll("\\s", ""));
  }
}
