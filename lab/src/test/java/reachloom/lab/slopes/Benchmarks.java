package reachloom.lab.slopes;

import java.io.File;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;
import javax.tools.JavaCompiler;
import javax.tools.StandardJavaFileManager;
import javax.tools.ToolProvider;

/**
 * Runs the JMH benchmarks. The sources that JMH's annotation processor generates go to a temporary
 * folder, which is deleted afterwards, so that the source tree contains no generated files. The
 * arguments are those of JMH; the working directory is the module's.
 */
public final class Benchmarks {
  private static final Path SOURCES = Path.of("src/test/java/reachloom/lab/slopes");

  private Benchmarks() {}

  public static void main(String[] args) throws Exception {
    Path folder = Files.createTempDirectory("reachloom-benchmarks");
    int status;
    try {
      compile(folder);
      List<String> command =
          new ArrayList<>(
              List.of(
                  Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                  "-cp",
                  folder + File.pathSeparator + System.getProperty("java.class.path"),
                  "org.openjdk.jmh.Main"));
      command.addAll(List.of(args));
      status = new ProcessBuilder(command).inheritIO().start().waitFor();
    } finally {
      try (Stream<Path> files = Files.walk(folder)) {
        files.sorted(Comparator.reverseOrder()).forEach(f -> f.toFile().delete());
      }
    }
    System.exit(status);
  }

  private static void compile(Path folder) throws IOException {
    List<Path> benchmarks;
    try (Stream<Path> files = Files.list(SOURCES)) {
      benchmarks = files.filter(f -> f.toString().endsWith("Benchmark.java")).sorted().toList();
    }
    JavaCompiler compiler = ToolProvider.getSystemJavaCompiler();
    try (StandardJavaFileManager files = compiler.getStandardFileManager(null, null, null)) {
      boolean compiled =
          compiler
              .getTask(
                  null,
                  files,
                  null,
                  List.of(
                      "-d",
                      folder.toString(),
                      "-s",
                      folder.toString(),
                      "-processor",
                      "org.openjdk.jmh.generators.BenchmarkProcessor"),
                  null,
                  files.getJavaFileObjectsFromPaths(benchmarks))
              .call();
      if (!compiled) {
        throw new IOException("the benchmarks in " + SOURCES + " do not compile");
      }
    }
  }
}
