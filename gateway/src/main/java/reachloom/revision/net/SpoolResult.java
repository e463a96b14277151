package reachloom.revision.net;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import reachloom.revision.ProposalResult;

/**
 * The result of a submitted document, stored in {@code outbox/NAME.result}.
 *
 * @param kind the name of a {@link ProposalResult.Kind} or of a {@link SpoolRejection}
 * @param number the number that the document was issued or proposed under; 0 for none
 * @param text a description of the result for an operator
 * @param last whether no further result follows
 */
public record SpoolResult(String kind, long number, String text, boolean last) {
  private static final String KIND = "kind";
  private static final String NUMBER = "number";
  private static final String TEXT = "text";
  private static final String LAST = "last";

  /** Returns the result of a document that was proposed. */
  static SpoolResult of(ProposalResult result) {
    return new SpoolResult(result.kind().name(), result.number(), result.text(), result.isFinal());
  }

  /** Returns the result of a document that was not proposed. */
  static SpoolResult rejected(SpoolRejection rejection, String text) {
    return new SpoolResult(rejection.name(), 0, text, true);
  }

  /** Returns whether the document has become a revision. */
  public boolean isIssued() {
    return kind.equals(ProposalResult.Kind.ISSUED.name());
  }

  /** Returns the content of the result file. */
  String toJson() {
    return new ObjectMapper()
        .createObjectNode()
        .put(KIND, kind)
        .put(NUMBER, number)
        .put(TEXT, text)
        .put(LAST, last)
        .toString();
  }

  /** Reads the content of a result file; missing fields are empty. */
  public static SpoolResult fromJson(JsonNode json) {
    return new SpoolResult(
        json.path(KIND).asText(),
        json.path(NUMBER).asLong(),
        json.path(TEXT).asText(),
        json.path(LAST).asBoolean());
  }
}
