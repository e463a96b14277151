package reachloom.gateway.wire;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import reachloom.scheduler.api.LoadReport;
import reachloom.scheduler.api.ProgressKind;

/**
 * A response of an engine to a command. The methods interpret the fields of the protocol; each
 * method documents its value for a field that is missing or malformed.
 *
 * @param id the id of the request or health check that the response belongs to
 * @param status the status of the response
 * @param fields the fields by their names in the protocol
 * @param body the bytes that follow the line: a page of rows for RESULT and PAGE, a text for ERROR;
 *     not copied
 */
public record EngineResponse(String id, Status status, Map<String, String> fields, byte[] body) {
  private static final String PAGE_COUNT = "fetches";
  private static final String PAGE_NUMBER = "fetch_no";
  private static final String COST = "effort";
  private static final String MEMORY = "high";
  private static final String LOAD_REPORT = "use";
  private static final String PROGRESS_KIND = "detail";
  private static final String PROGRESS_AMOUNT = "figure";

  /**
   * The amount that a waiting query reports if it waits for its table group to be loaded rather
   * than for memory.
   */
  private static final double WAITS_FOR_LOAD = 2;

  /** The status of a response. */
  public enum Status {
    /** The first page of a result. */
    RESULT("OK"),
    /** A further page of a result. */
    PAGE("ROWS"),
    /** The engine has no capacity for the request, which has not run. */
    BUSY("BUSY"),
    /** The request failed. */
    ERROR("ERR"),
    /** The request had ended before it reached the engine, and has not run. */
    NOT_RUN("VOID"),
    /** The request is still running. */
    PROGRESS("NOTE"),
    /** The engine accepts requests. */
    UP("UP"),
    /** The engine accepts no requests. */
    DOWN("DOWN"),
    /** A word that is not part of the protocol. */
    UNKNOWN("OTHER");

    private final String wireName;

    Status(String wireName) {
      this.wireName = wireName;
    }

    /**
     * Returns the word for the status; for {@link #UNKNOWN}, one that the protocol does not have.
     */
    public String wireName() {
      return wireName;
    }

    /** Returns the status for a word, or {@link #UNKNOWN}. */
    static Status of(String word) {
      for (Status status : values()) {
        if (status.wireName.equals(word)) {
          return status;
        }
      }
      return UNKNOWN;
    }
  }

  /** Returns the number of pages of the result; empty if it is missing or malformed. */
  public OptionalLong pageCount() {
    return wholeNumber(PAGE_COUNT);
  }

  /** Returns the number of pages as it was sent, for the log; null if it is missing. */
  public String pageCountText() {
    return fields.get(PAGE_COUNT);
  }

  /** Returns the index of this page in the result, from 0; empty if it is missing or malformed. */
  public OptionalLong pageNumber() {
    return wholeNumber(PAGE_NUMBER);
  }

  /** Returns the index of this page as it was sent, for the log; null if it is missing. */
  public String pageNumberText() {
    return fields.get(PAGE_NUMBER);
  }

  /** Returns the work of the query in milliseconds; 0 if it is missing or malformed. */
  public long costMs() {
    return Math.round(Numbers.parseDouble(fields.get(COST), 0));
  }

  /** Returns the memory that the query used, in MB; 0 if it is missing or malformed. */
  public double memoryMb() {
    return Numbers.parseDouble(fields.get(MEMORY), 0);
  }

  /** Returns the kind of progress that a running query reports; OTHER if missing or unknown. */
  public ProgressKind progressKind() {
    return switch (fields.getOrDefault(PROGRESS_KIND, "")) {
      case "so_far" -> ProgressKind.PROGRESS;
      case "lacking" -> ProgressKind.SPILL;
      case "waiting" ->
          progressAmount() == WAITS_FOR_LOAD ? ProgressKind.LOAD_WAIT : ProgressKind.MEMORY_WAIT;
      default -> ProgressKind.OTHER;
    };
  }

  /** Returns the amount of progress, whose unit depends on the kind; 0 if missing or malformed. */
  public double progressAmount() {
    return Numbers.parseDouble(fields.get(PROGRESS_AMOUNT), 0);
  }

  /**
   * Returns the engine's load report, if there is one; an omitted or malformed value in it is 0.
   */
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
