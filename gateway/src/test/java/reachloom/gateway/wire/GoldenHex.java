package reachloom.gateway.wire;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.URISyntaxException;
import java.nio.ByteBuffer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HexFormat;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/**
 * Reads stored messages, one file per kind: hexadecimal digits, with spaces between fields and
 * comment lines that begin with {@code #}.
 */
final class GoldenHex {
  private static final String SUFFIX = ".hex";

  private GoldenHex() {}

  /** Returns the bytes of one message, by its folder and name below {@code golden/}. */
  static byte[] read(String folder, String name) {
    try (Stream<String> lines = Files.lines(folder(folder).resolve(name + SUFFIX))) {
      String digits =
          lines
              .filter(line -> !line.startsWith("#"))
              .map(line -> line.replace(" ", ""))
              .collect(Collectors.joining());
      return HexFormat.of().parseHex(digits);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** Returns the names of all messages that are stored in a folder. */
  static Set<String> names(String folder) {
    try (Stream<Path> files = Files.list(folder(folder))) {
      return files
          .map(file -> file.getFileName().toString().replace(SUFFIX, ""))
          .collect(Collectors.toCollection(TreeSet::new));
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** Returns the remaining bytes of a message as digits, for readable assertion failures. */
  static String hex(ByteBuffer message) {
    byte[] bytes = new byte[message.remaining()];
    message.duplicate().get(bytes);
    return HexFormat.of().formatHex(bytes);
  }

  /** Returns bytes as hexadecimal digits. */
  static String hex(byte[] bytes) {
    return HexFormat.of().formatHex(bytes);
  }

  private static Path folder(String folder) {
    try {
      return Path.of(GoldenHex.class.getResource("/golden/" + folder).toURI());
    } catch (URISyntaxException e) {
      throw new IllegalStateException(e);
    }
  }
}
