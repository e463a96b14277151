package reachloom.gateway.wire;

import java.util.Map;

/** An answer of an engine. */
public record EngineResponse(String id, Word word, Map<String, String> fields, byte[] body) {
  /** What an answer says; a word that the protocol does not have reads as {@link #OTHER}. */
  public enum Word {
    OK,
    BUSY,
    ERR,
    VOID,
    NOTE,
    ROWS,
    UP,
    DOWN,
    OTHER
  }
}
