package reachloom.lab.command;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.Map;
import org.apache.commons.cli.CommandLine;

/** Tells what was measured. */
public final class Figures {
  private Figures() {}

  /**
   * Prints the figures, and writes them with what led to them as JSON where the option asks for it.
   */
  public static int report(
      CommandLine line, Map<String, Object> origin, Map<String, Object> figures)
      throws IOException {
    figures.forEach((name, value) -> System.out.printf("%-22s %s%n", name, value));
    if (line.hasOption("json")) {
      Map<String, Object> whole = new LinkedHashMap<>(origin);
      whole.put("figures", figures);
      Files.writeString(
          Path.of(line.getOptionValue("json")),
          new ObjectMapper().writerWithDefaultPrettyPrinter().writeValueAsString(whole) + "\n");
    }
    return 0;
  }
}
