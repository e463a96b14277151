package reachloom;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/**
 * The platform's requirements on the deploy file and the sources: a single process started by exec,
 * IPv4, and no operation that the platform refuses.
 */
class DeployFileTest {
  private static final Path ROOT = Path.of("..");

  @Test
  void runExecutesSingleProcess() throws IOException {
    String run = line("run");
    assertTrue(run.startsWith("exec java "), run);
    assertTrue(run.endsWith(" -jar gateway/target/reachloom.jar serve"), run);
    assertFalse(
        Pattern.compile("[|&;<>`$()]").matcher(run).find(),
        "a shell would have to keep running: " + run);
  }

  @Test
  void runUsesIpv4AndLimitsMemory() throws IOException {
    List<String> flags = flags(line("run"));
    assertTrue(flags.contains("-Djava.net.preferIPv4Stack=true"), flags.toString());
    for (String limit :
        List.of(
            "-Xmx",
            "-Xss",
            "-XX:MaxMetaspaceSize",
            "-XX:ReservedCodeCacheSize",
            "-XX:MaxDirectMemorySize")) {
      assertEquals(1, flags.stream().filter(f -> f.startsWith(limit)).count(), limit);
    }
  }

  /**
   * The JVM may reject a class archive that was created with other flags; the start then takes
   * longer.
   */
  @Test
  void classArchiveIsCreatedWithFlagsOfRun() throws IOException {
    List<String> build = new ArrayList<>(flags(line("build").replaceFirst("^.*&& java ", "java ")));
    List<String> run = new ArrayList<>(flags(line("run")));
    assertTrue(build.remove("-XX:ArchiveClassesAtExit=gateway/target/reachloom.jsa"));
    assertTrue(run.remove("-XX:SharedArchiveFile=gateway/target/reachloom.jsa"));
    assertEquals(build, run);
  }

  /**
   * Only the stand-ins and the laboratory may start processes; the platform refuses file transfers
   * and local sockets.
   */
  @Test
  void sourcesStartNoProcessAndUseNothingRefused() throws IOException {
    Pattern refused =
        Pattern.compile(
            "ProcessBuilder|getRuntime\\(\\)\\.exec|\\.transfer(To|From)\\("
                + "|UnixDomainSocketAddress|StandardProtocolFamily\\.(UNIX|INET6)|Inet6Address"
                + "|DefaultFileRegion|AprSocket|VmPipe");
    List<String> found = new ArrayList<>();
    for (String module : List.of("decisions", "gateway")) {
      try (Stream<Path> files = Files.walk(ROOT.resolve(module).resolve("src/main/java"))) {
        for (Path file : files.filter(f -> f.toString().endsWith(".java")).sorted().toList()) {
          Matcher m = refused.matcher(Files.readString(file));
          if (m.find()) {
            found.add(file + ": " + m.group());
          }
        }
      }
    }
    assertEquals(List.of(), found);
  }

  /** Each further library on the run-time class path costs start time, memory, or both. */
  @Test
  void gatewayHasOnlyExpectedDependencies() throws IOException {
    String pom = Files.readString(ROOT.resolve("gateway/pom.xml"));
    Matcher m = Pattern.compile("<dependency>(.*?)</dependency>", Pattern.DOTALL).matcher(pom);
    String kept =
        m.results()
            .map(r -> r.group(1))
            .filter(d -> !d.contains("<scope>test</scope>"))
            .map(d -> d.replaceAll("(?s).*<artifactId>(.*?)</artifactId>.*", "$1"))
            .sorted()
            .collect(Collectors.joining(" "));
    assertEquals("commons-cli jackson-databind mina-core reachloom-decisions slf4j-nop", kept);
  }

  private static List<String> flags(String command) {
    return Arrays.stream(command.split(" "))
        .filter(w -> w.startsWith("-X") || w.startsWith("-D"))
        .toList();
  }

  private static String line(String key) throws IOException {
    for (String line : Files.readAllLines(ROOT.resolve("deploy/balancer.toml"))) {
      Matcher m = Pattern.compile("^" + key + " = \"([^\"]*)\"").matcher(line);
      if (m.find()) {
        return m.group(1);
      }
    }
    throw new IOException("deploy/balancer.toml has no line " + key);
  }
}
