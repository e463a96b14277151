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
 * A JSON Merge Patch (RFC 7396) that is applied to the configuration of each gateway of an
 * installation: a value replaces the existing value of its key, objects are merged, and null
 * removes a key. Keys that are specific to one gateway are not allowed.
 *
 * @param patch the patch document
 */
public record MergePatch(ObjectNode patch) {
  /** The keys that are specific to one gateway, each as its path from the root. */
  private static final List<List<String>> GATEWAY_KEYS =
      List.of(
          List.of("name"),
          List.of("listen"),
          List.of("seed"),
          List.of("limits"),
          List.of("settings", "selfIndex"),
          List.of("settings", "zone"));

  private static final ObjectMapper STRICT_MAPPER =
      JsonMapper.builder()
          .enable(DeserializationFeature.FAIL_ON_READING_DUP_TREE_KEY)
          .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
          .build();

  /** Reads and validates a patch for all gateways of an installation. */
  public static MergePatch read(byte[] document) throws ConfigException {
    if (!(parse(document) instanceof ObjectNode patch)) {
      throw new ConfigException("the document is not an object");
    }
    for (List<String> path : GATEWAY_KEYS) {
      JsonNode value = patch;
      for (String key : path) {
        value = value.path(key);
      }
      if (!value.isMissingNode()) {
        throw new ConfigException(
            String.join(".", path), "is each gateway's own, and can't be set for all");
      }
    }
    return new MergePatch(patch);
  }

  private static JsonNode parse(byte[] document) throws ConfigException {
    try {
      return STRICT_MAPPER.readTree(document);
    } catch (JsonProcessingException e) {
      int line = e.getLocation() == null ? 1 : e.getLocation().getLineNr();
      throw new ConfigException("the document is not JSON: line " + line, e.getOriginalMessage());
    } catch (IOException e) {
      throw new ConfigException("the document is not JSON", e.getMessage());
    }
  }

  /** Returns the result of applying this patch to a value; the value is not modified. */
  public JsonNode applyTo(JsonNode target) {
    return merge(target, patch);
  }

  private static JsonNode merge(JsonNode target, JsonNode patch) {
    if (!patch.isObject()) {
      return patch;
    }
    ObjectNode result =
        target.isObject() ? ((ObjectNode) target).deepCopy() : ((ObjectNode) patch).objectNode();
    for (Iterator<Map.Entry<String, JsonNode>> fields = patch.fields(); fields.hasNext(); ) {
      Map.Entry<String, JsonNode> field = fields.next();
      if (field.getValue().isNull()) {
        result.remove(field.getKey());
      } else {
        result.set(field.getKey(), merge(result.path(field.getKey()), field.getValue()));
      }
    }
    return result;
  }
}
