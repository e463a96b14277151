package reachloom.revision.net;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import reachloom.revision.RevisionMessage;

/**
 * The progress of the rollout of a revision, as known to an issuer. All members at a place without
 * a report count as lacking the revision.
 *
 * @param number the revision; 0 for none
 * @param members the number of members
 * @param inForce the number of members that have the revision in force
 * @param refused the number of members that have refused the revision
 * @param lacking the names of some members and places that lack the revision
 * @param longestMillis the longest time for which a member has lacked the revision; 0 if no member
 *     lacks it, or if unknown
 */
public record RolloutStatus(
    long number, int members, int inForce, int refused, List<String> lacking, long longestMillis) {
  private static final int MAX_LACKING_NAMES = 50;

  /** The status without a revision and without members. */
  public static final RolloutStatus NONE = new RolloutStatus(0, 0, 0, 0, List.of(), 0);

  /**
   * Returns the sum over all places.
   *
   * @param censuses the last report of each place
   * @param present the number of present members at each place
   */
  static RolloutStatus of(
      long number, List<RevisionMessage.Census> censuses, Map<Integer, Integer> present) {
    TreeMap<Integer, Integer> unreported = new TreeMap<>(present);
    int members = 0;
    int inForce = 0;
    int refused = 0;
    long longestMillis = 0;
    List<String> lacking = new ArrayList<>();
    for (RevisionMessage.Census census : censuses) {
      unreported.remove(census.place());
      int seen = Math.max(census.members(), present.getOrDefault(census.place(), 0));
      members += seen;
      if (census.number() >= number) {
        inForce += census.inForce();
        refused += census.refused();
        lacking.addAll(census.lacking());
        longestMillis = Math.max(longestMillis, census.longest());
      } else if (seen > 0) {
        lacking.add(placeName(census.place()));
      }
    }
    for (Map.Entry<Integer, Integer> entry : unreported.entrySet()) {
      members += entry.getValue();
      lacking.add(placeName(entry.getKey()));
    }
    List<String> named = lacking.stream().sorted().limit(MAX_LACKING_NAMES).toList();
    return new RolloutStatus(number, members, inForce, refused, named, longestMillis);
  }

  private static String placeName(int place) {
    return "place " + (place >> Byte.SIZE) + "." + (place & 0xff);
  }

  /** Returns whether each member has the revision in force. */
  public boolean isInForceEverywhere() {
    return members > 0 && inForce >= members;
  }

  /** Returns whether each member has the revision in force or has refused it, which is final. */
  public boolean isSettled() {
    return members > 0 && inForce + refused >= members;
  }

  /** Returns the content of {@code status.json}. */
  String toJson() {
    ObjectNode json =
        new ObjectMapper()
            .createObjectNode()
            .put("number", number)
            .put("members", members)
            .put("inForce", inForce)
            .put("refused", refused)
            .put("longestMs", longestMillis);
    lacking.forEach(json.putArray("lacking")::add);
    return json.toString();
  }

  /** Reads the content of {@code status.json}; missing fields are 0 or empty. */
  public static RolloutStatus fromJson(JsonNode json) {
    List<String> lacking = new ArrayList<>();
    json.path("lacking").forEach(name -> lacking.add(name.asText()));
    return new RolloutStatus(
        json.path("number").asLong(),
        json.path("members").asInt(),
        json.path("inForce").asInt(),
        json.path("refused").asInt(),
        List.copyOf(lacking),
        json.path("longestMs").asLong());
  }

  /** Returns one line for an operator. */
  @Override
  public String toString() {
    String refusals = refused == 0 ? "" : ", refused by " + refused;
    return "revision "
        + number
        + " is in force at "
        + inForce
        + " of "
        + members
        + " members"
        + refusals
        + lackingText();
  }

  private String lackingText() {
    if (lacking.isEmpty()) {
      return "";
    }
    String since = longestMillis == 0 ? "" : " for " + longestMillis + " ms";
    return ", lacking at " + String.join(", ", lacking) + since;
  }
}
