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
 * How far a revision is, as an issuer knows it: of so many members so many have it in force. A
 * place of which nothing was told lacks it altogether.
 *
 * @param longest how long the first that lacks it has done so, in milliseconds, where it is told
 */
public record RolloutStatus(
    long number, int members, int inForce, int refused, List<String> lacking, long longest) {
  private static final int MAX_NAMED = 50;

  /** The sum over all places; {@code present} is how many members are seen at each. */
  static RolloutStatus of(
      long number, List<RevisionMessage.Census> censuses, Map<Integer, Integer> present) {
    TreeMap<Integer, Integer> silent = new TreeMap<>(present);
    int members = 0;
    int inForce = 0;
    int refused = 0;
    long longest = 0;
    List<String> lacking = new ArrayList<>();
    for (RevisionMessage.Census c : censuses) {
      silent.remove(c.place());
      int seen = Math.max(c.members(), present.getOrDefault(c.place(), 0));
      members += seen;
      if (c.number() >= number) {
        inForce += c.inForce();
        refused += c.refused();
        lacking.addAll(c.lacking());
        longest = Math.max(longest, c.longest());
      } else if (seen > 0) {
        lacking.add("place " + place(c.place()));
      }
    }
    for (Map.Entry<Integer, Integer> e : silent.entrySet()) {
      members += e.getValue();
      lacking.add("place " + place(e.getKey()));
    }
    return new RolloutStatus(
        number,
        members,
        inForce,
        refused,
        lacking.stream().sorted().limit(MAX_NAMED).toList(),
        longest);
  }

  private static String place(int place) {
    return (place >> Byte.SIZE) + "." + (place & 0xff);
  }

  /** Whether each member has it in force. */
  public boolean everywhere() {
    return members > 0 && inForce >= members;
  }

  /** Whether each member has it in force or has refused it, which it does for good. */
  public boolean settled() {
    return members > 0 && inForce + refused >= members;
  }

  ObjectNode json() {
    ObjectNode o =
        new ObjectMapper()
            .createObjectNode()
            .put("number", number)
            .put("members", members)
            .put("inForce", inForce)
            .put("refused", refused)
            .put("longestMs", longest);
    lacking.forEach(o.putArray("lacking")::add);
    return o;
  }

  /** Reads what {@link SpoolDirectory#status} wrote. */
  public static RolloutStatus read(JsonNode o) {
    List<String> lacking = new ArrayList<>();
    o.path("lacking").forEach(l -> lacking.add(l.asText()));
    return new RolloutStatus(
        o.path("number").asLong(),
        o.path("members").asInt(),
        o.path("inForce").asInt(),
        o.path("refused").asInt(),
        List.copyOf(lacking),
        o.path("longestMs").asLong());
  }

  @Override
  public String toString() {
    return "revision "
        + number
        + " is in force at "
        + inForce
        + " of "
        + members
        + " members"
        + (refused == 0 ? "" : ", refused by " + refused)
        + (lacking.isEmpty()
            ? ""
            : ", lacking at "
                + String.join(", ", lacking)
                + (longest == 0 ? "" : " for " + longest + " ms"));
  }
}
