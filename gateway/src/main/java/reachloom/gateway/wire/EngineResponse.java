package reachloom.gateway.wire;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import reachloom.scheduler.api.LoadReport;
import reachloom.scheduler.api.ProgressKind;

/**
 * A response of an engine to a command. The methods give the meaning of the fields that the
 * protocol names; a field that is missing or can't be read has the value that each method tells.
 *
 * @param id the id of the request or health check that it answers
 * @param status what it says
 * @param fields the fields by the protocol's names
 * @param body the page of rows that follows the line; not copied
 */
public record EngineResponse(String id, Status status, Map<String, String> fields, byte[] body) {
  private static final String PAGE_COUNT = "fetches";
  private static final String PAGE_NUMBER = "fetch_no";
  private static final String COST = "effort";
  private static final String MEMORY = "high";
  private static final String LOAD_REPORT = "use";
  private static final String PROGRESS_KIND = "detail";
  private static final String PROGRESS_AMOUNT = "figure";

  /** The amount by which a waiting query tells that it waits for a load and not for memory. */
  private static final double WAITS_FOR_LOAD = 2;

  /** What a response says. */
  public enum Status {
    /** The first page of a result. */
    RESULT("OK"),
    /** A further page of a result. */
    PAGE("ROWS"),
    /** The engine has no capacity for the request, which has not run. */
    BUSY("BUSY"),
    /** The request failed. */
    ERROR("ERR"),
    /** The request was over before it came, and has not run. */
    NOT_RUN("VOID"),
    /** The request is still running. */
    PROGRESS("NOTE"),
    /** The engine takes requests. */
    UP("UP"),
    /** The engine takes no requests. */
    DOWN("DOWN"),
    /** A word that the protocol does not have. */
    UNKNOWN("OTHER");

    private final String wireName;

    Status(String wireName) {
      this.wireName = wireName;
    }

    /** The word for it in the protocol; a made-up one for {@link #UNKNOWN}. */
    public String wireName() {
      return wireName;
    }

    /** The status for a word of the protocol. */
    static Status of(String word) {
      for (Status status : values()) {
        if (status.wireName.equals(word)) {
          return status;
        }
      }
      return UNKNOWN;
    }
  }

  /** How many pages the result has; empty where it can't be read. */
  public OptionalLong pageCount() {
    return wholeNumber(PAGE_COUNT);
  }

  /** The number of pages as it was sent, for the log; null where it is missing. */
  public String pageCountText() {
    return fields.get(PAGE_COUNT);
  }

  /** The place of this page in the result, from 0; empty where it can't be read. */
  public OptionalLong pageNumber() {
    return wholeNumber(PAGE_NUMBER);
  }

  /** The place of this page as it was sent, for the log; null where it is missing. */
  public String pageNumberText() {
    return fields.get(PAGE_NUMBER);
  }

  /** The work that the query took, in milliseconds; 0 where it is not told. */
  public long costMs() {
    return Math.round(Numbers.parseDouble(fields.get(COST), 0));
  }

  /** The memory that the query took, in MB; 0 where it is not told. */
  public double memoryMb() {
    return Numbers.parseDouble(fields.get(MEMORY), 0);
  }

  /** What a running query reports. */
  public ProgressKind progressKind() {
    return switch (fields.getOrDefault(PROGRESS_KIND, "")) {
      case "so_far" -> ProgressKind.PROGRESS;
      case "lacking" -> ProgressKind.SPILL;
      case "waiting" ->
          progressAmount() == WAITS_FOR_LOAD ? ProgressKind.LOAD_WAIT : ProgressKind.MEMORY_WAIT;
      default -> ProgressKind.OTHER;
    };
  }

  /** The amount that a running query reports, whose unit its kind tells; 0 where it is missing. */
  public double progressAmount() {
    return Numbers.parseDouble(fields.get(PROGRESS_AMOUNT), 0);
  }

  /** The load report of the engine, if there is one; a value that it leaves out is 0. */
  public Optional<LoadReport> loadReport() {
    String text = fields.get(LOAD_REPORT);
    if (text == null) {
      return Optional.empty();
    }
    Map<String, Double> values = new LinkedHashMap<>();
    for (String value : text.split(";")) {
      int colon = value.indexOf(':');
      if (colon > 0) {
        values.put(value.substring(0, colon), Numbers.parseDouble(value.substring(colon + 1), 0));
      }
    }
    return Optional.of(
        new LoadReport(
            values.getOrDefault("util", 0.0),
            values.getOrDefault("queue", 0.0),
            values.getOrDefault("x0", 0.0),
            values.getOrDefault("x1", 0.0)));
  }

  private OptionalLong wholeNumber(String field) {
    long number = Numbers.parseNonNegative(fields.get(field), -1);
    return number < 0 ? OptionalLong.empty() : OptionalLong.of(number);
  }
}
