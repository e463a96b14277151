package reachloom.config;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;

/**
 * Reads fields of JSON objects. If a required field is missing or has the wrong type, a {@link
 * ConfigException} names the key that the caller passes.
 */
final class JsonFields {
  private JsonFields() {}

  static JsonNode object(JsonNode node, String key) throws ConfigException {
    if (!node.isObject()) {
      throw new ConfigException(key, node.isMissingNode() ? "is missing" : "is not an object");
    }
    return node;
  }

  static JsonNode array(JsonNode node, String key) throws ConfigException {
    if (!node.isArray()) {
      throw new ConfigException(key, node.isMissingNode() ? "is missing" : "is not a list");
    }
    return node;
  }

  static String text(JsonNode root, String key) throws ConfigException {
    return text(root, key, key);
  }

  /** Returns a non-empty string field; {@code path} is its full key for the exception. */
  static String text(JsonNode node, String key, String path) throws ConfigException {
    JsonNode value = node.path(key);
    if (!value.isTextual() || value.asText().isEmpty()) {
      throw new ConfigException(path, value.isMissingNode() ? "is missing" : "is not a text");
    }
    return value.asText();
  }

  /** Returns the strings of a list; an empty list if it is missing. */
  static List<String> texts(JsonNode node, String key) {
    List<String> texts = new ArrayList<>();
    node.path(key).forEach(value -> texts.add(value.asText()));
    return List.copyOf(texts);
  }

  /** Returns a positive integer, or the default if it is missing or null. */
  static long positive(JsonNode node, String parent, String key, long defaultValue)
      throws ConfigException {
    JsonNode value = node.path(key);
    if (value.isMissingNode() || value.isNull()) {
      return defaultValue;
    }
    if (!value.isNumber() || value.asLong() <= 0) {
      throw new ConfigException(parent + "." + key, "is not a number above 0");
    }
    return value.asLong();
  }

  /** Returns a positive integer, or the default; values above the range of int are clamped. */
  static int positiveCount(JsonNode node, String parent, String key, int defaultValue)
      throws ConfigException {
    return (int) Math.min(Integer.MAX_VALUE, positive(node, parent, key, defaultValue));
  }
}
