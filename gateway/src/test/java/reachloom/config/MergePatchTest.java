package reachloom.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

/** Merge patches for all gateways: the rules of RFC 7396, and rejected documents. */
class MergePatchTest {
  /** The examples of RFC 7396, appendix A, whose patch is an object: target, patch and result. */
  private static final String[][] EXAMPLES = {
    {"{'a':'b'}", "{'a':'c'}", "{'a':'c'}"},
    {"{'a':'b'}", "{'b':'c'}", "{'a':'b','b':'c'}"},
    {"{'a':'b'}", "{'a':null}", "{}"},
    {"{'a':'b','b':'c'}", "{'a':null}", "{'b':'c'}"},
    {"{'a':['b']}", "{'a':'c'}", "{'a':'c'}"},
    {"{'a':'c'}", "{'a':['b']}", "{'a':['b']}"},
    {"{'a':{'b':'c'}}", "{'a':{'b':'d','c':null}}", "{'a':{'b':'d'}}"},
    {"{'a':[{'b':'c'}]}", "{'a':[1]}", "{'a':[1]}"},
    {"{'e':null}", "{'a':1}", "{'e':null,'a':1}"},
    {"[1,2]", "{'a':'b','c':null}", "{'a':'b'}"},
    {"{}", "{'a':{'bb':{'ccc':null}}}", "{'a':{'bb':{}}}"}
  };

  private static final ObjectMapper JSON = new ObjectMapper();

  private static String errorOf(String document) {
    return assertThrows(
            ConfigException.class, () -> MergePatch.read(document.getBytes(StandardCharsets.UTF_8)))
        .getMessage();
  }

  @Test
  void appliesExamplesOfRfc7396WithoutModifyingTarget() throws Exception {
    for (String[] example : EXAMPLES) {
      JsonNode value = JSON.readTree(example[0].replace('\'', '"'));
      JsonNode before = value.deepCopy();
      JsonNode patch = JSON.readTree(example[1].replace('\'', '"'));
      assertEquals(
          JSON.readTree(example[2].replace('\'', '"')),
          new MergePatch((ObjectNode) patch).applyTo(value),
          example[1]);
      assertEquals(before, value);
    }
  }

  @Test
  void rejectsGatewaySpecificKeysAndInvalidDocuments() {
    assertEquals(
        "name: is each gateway's own, and can't be set for all", errorOf("{\"name\":\"g1\"}"));
    assertTrue(errorOf("{\"settings\":{\"selfIndex\":3}}").startsWith("settings.selfIndex: "));
    assertTrue(errorOf("{\"listen\":null}").startsWith("listen: "));
    assertEquals("the document is not an object", errorOf("[1]"));
    assertTrue(errorOf("{\n\"a\":1,\n\"b\"}").startsWith("the document is not JSON: line 3: "));
    assertTrue(errorOf("{\"a\":1,\"a\":2}").contains("Duplicate"), "a duplicate key is ambiguous");
    assertTrue(errorOf("{} {}").contains("not JSON"));
    assertTrue(errorOf("").contains("not an object") || errorOf("").contains("not JSON"));
  }
}
