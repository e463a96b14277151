package reachloom.lab.command;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.Map;
import org.apache.commons.cli.CommandLine;

/** Writes measured figures to standard output and, on request, to a JSON file. */
public final class Figures {
  private Figures() {}

  /**
   * Prints the figures. If option {@code json} is given, also writes them to that file together
   * with {@code origin}, the parameters of the run.
   *
   * @return the exit status 0
   */
  public static int report(
      CommandLine line, Map<String, Object> origin, Map<String, Object> figures)
      throws IOException {
    figures.forEach((name, value) -> System.out.printf("%-22s %s%n", name, value));
    if (line.hasOption("json")) {
      Map<String, Object> result = new LinkedHashMap<>(origin);
      result.put("figures", figures);
      Files.writeString(
          Path.of(line.getOptionValue("json")),
          new ObjectMapper().writerWithDefaultPrettyPrinter().writeValueAsString(result) + "\n");
    }
    return 0;
  }
}
