package reachloom.config;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.Iterator;
import java.util.List;
import java.util.Map;

/**
 * A JSON Merge Patch (RFC 7396), laid over a gateway's own configuration: what it names replaces,
 * objects are gone into, null takes away. What belongs to one gateway alone can't stand in one that
 * is for all.
 */
public record MergePatch(ObjectNode patch) {
  /** Keys of one gateway's own, dotted below the first level. */
  private static final List<List<String>> OWN =
      List.of(
          List.of("name"),
          List.of("listen"),
          List.of("seed"),
          List.of("limits"),
          List.of("settings", "selfIndex"),
          List.of("settings", "zone"));

  private static final ObjectMapper STRICT =
      JsonMapper.builder()
          .enable(DeserializationFeature.FAIL_ON_READING_DUP_TREE_KEY)
          .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
          .build();

  /** Reads and checks a document that is to hold for a whole installation. */
  public static MergePatch read(byte[] document) throws ConfigException {
    JsonNode root;
    try {
      root = STRICT.readTree(document);
    } catch (JsonProcessingException e) {
      throw new ConfigException(
          "the document is not JSON: line "
              + (e.getLocation() == null ? 1 : e.getLocation().getLineNr())
              + ": "
              + e.getOriginalMessage());
    } catch (IOException e) {
      throw new ConfigException("the document is not JSON: " + e.getMessage());
    }
    if (!(root instanceof ObjectNode object)) {
      throw new ConfigException("the document is not an object");
    }
    for (List<String> own : OWN) {
      JsonNode at = object;
      for (String key : own) {
        at = at.path(key);
      }
      if (!at.isMissingNode()) {
        throw new ConfigException(
            String.join(".", own) + ": is each gateway's own, and can't be set for all");
      }
    }
    return new MergePatch(object);
  }

  /** The patch laid over that value, which is left as it is. */
  public JsonNode applyTo(JsonNode target) {
    return merged(target, patch);
  }

  private static JsonNode merged(JsonNode target, JsonNode patch) {
    if (!patch.isObject()) {
      return patch;
    }
    ObjectNode result =
        target.isObject() ? ((ObjectNode) target).deepCopy() : ((ObjectNode) patch).objectNode();
    for (Iterator<Map.Entry<String, JsonNode>> fields = patch.fields(); fields.hasNext(); ) {
      Map.Entry<String, JsonNode> f = fields.next();
      if (f.getValue().isNull()) {
        result.remove(f.getKey());
      } else {
        result.set(f.getKey(), merged(result.path(f.getKey()), f.getValue()));
      }
    }
    return result;
  }
}
