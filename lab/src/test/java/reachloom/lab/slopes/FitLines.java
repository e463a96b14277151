package reachloom.lab.slopes;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import reachloom.lab.slopes.Fit.Point;

/**
 * Fits each figure in the output of {@link GossipSlope} to the number of instances and to its
 * logarithm; figures of several seeds are averaged. Arguments: output files of {@link GossipSlope}.
 */
public final class FitLines {
  private static final Set<String> PARAMETERS =
      Set.of("part", "instances", "cap", "loss", "seed", "load_average", "period_ms");
  private static final ObjectMapper JSON = new ObjectMapper();

  private FitLines() {}

  public static void main(String[] files) throws Exception {
    Map<String, Map<Integer, List<Double>>> values = new LinkedHashMap<>();
    for (String file : files) {
      for (String text : Files.readAllLines(Path.of(file))) {
        JsonNode line = JSON.readTree(text);
        line.fields()
            .forEachRemaining(
                f -> {
                  if (!PARAMETERS.contains(f.getKey())) {
                    String name =
                        line.get("part").asText()
                            + " cap "
                            + line.get("cap").asInt()
                            + " loss "
                            + line.get("loss").asDouble()
                            + " period "
                            + line.path("period_ms").asInt(1_000)
                            + " "
                            + f.getKey();
                    values
                        .computeIfAbsent(name, n -> new TreeMap<>())
                        .computeIfAbsent(line.get("instances").asInt(), n -> new ArrayList<>())
                        .add(f.getValue().asDouble());
                  }
                });
      }
    }
    values.forEach(
        (name, bySize) -> {
          List<Point> points = new ArrayList<>();
          List<Point> logarithmic = new ArrayList<>();
          bySize.forEach(
              (size, all) -> {
                double mean = all.stream().mapToDouble(x -> x).average().orElse(0);
                points.add(new Point(size, mean));
                logarithmic.add(new Point(Math.log(size) / Math.log(2), mean));
              });
          System.out.printf("%-62s", name);
          points.forEach(p -> System.out.printf(" %.0f: %.2f", p.size(), p.value()));
          if (points.size() > 1) {
            Fit fit = Fit.of(points);
            Fit log = Fit.of(logarithmic);
            System.out.printf(
                " | %.2f + %.5f n, residual %.2f, R2 %.3f, knee %.0f"
                    + " | %.2f + %.3f log2 n, residual %.2f, R2 %.3f%n",
                fit.a(),
                fit.b(),
                fit.rms(),
                fit.r2(),
                Fit.bend(points),
                log.a(),
                log.b(),
                log.rms(),
                log.r2());
          } else {
            System.out.println();
          }
        });
  }
}
