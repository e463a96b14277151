package reachloom.standin;

import java.io.IOException;
import java.io.InputStream;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.List;
import java.util.Map;

/**
 * A small C library that a test compiles and preloads into the processes that it starts. The
 * library maps a control file that sets its behaviour; other processes are not affected.
 */
final class PreloadedLibrary {
  private final Path library;
  private final Path controlFile;
  private final String variable;

  /**
   * Writes the initial control file and compiles the C source, a resource beside this class, into a
   * folder.
   *
   * @param variable the environment variable that names the control file
   * @param initial the initial content of the control file
   * @throws IOException if there is no C compiler, or it fails
   */
  PreloadedLibrary(Path folder, String name, String variable, ByteBuffer initial)
      throws IOException, InterruptedException {
    this.variable = variable;
    library = folder.resolve(name + ".so");
    controlFile = folder.resolve(name + ".control");
    Path source = folder.resolve(name + ".c");
    try (InputStream text = PreloadedLibrary.class.getResourceAsStream(name + ".c")) {
      Files.copy(text, source, StandardCopyOption.REPLACE_EXISTING);
    }
    writeControlFile(initial);
    Path output = folder.resolve(name + ".log");
    List<String> command =
        List.of("cc", "-O2", "-shared", "-fPIC", "-o", library.toString(), source.toString());
    Process compiler =
        new ProcessBuilder(command)
            .redirectErrorStream(true)
            .redirectOutput(output.toFile())
            .start();
    if (compiler.waitFor() != 0) {
      throw new IOException("cc: " + Files.readString(output));
    }
  }

  /** Returns the variables to add to the environment of a process that loads the library. */
  Map<String, String> environment() {
    return Map.of("LD_PRELOAD", library.toString(), variable, controlFile.toString());
  }

  /** Writes the control file in place, since processes have mapped it. */
  void writeControlFile(ByteBuffer bytes) throws IOException {
    try (FileChannel channel =
        FileChannel.open(controlFile, StandardOpenOption.CREATE, StandardOpenOption.WRITE)) {
      channel.write(bytes, 0);
    }
  }

  /** Returns an empty buffer in this machine's byte order. */
  static ByteBuffer buffer(int size) {
    return ByteBuffer.allocate(size).order(ByteOrder.nativeOrder());
  }
}
