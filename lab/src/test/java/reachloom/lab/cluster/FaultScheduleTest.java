package reachloom.lab.cluster;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayInputStream;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

/** Tests the reader of fault scripts and the messages for invalid scripts. */
class FaultScheduleTest {
  private static FaultSchedule read(String body) throws Exception {
    String text = "<script xmlns=\"urn:reachloom:lab:script:1\">\n" + body + "\n</script>";
    return FaultSchedule.read(new ByteArrayInputStream(text.getBytes(StandardCharsets.UTF_8)), "x");
  }

  @Test
  void readsAllBundledScripts() throws Exception {
    for (String name : FaultSchedule.NAMED) {
      FaultSchedule.of(name);
    }
  }

  @Test
  void readsAllAttributesOfFault() throws Exception {
    FaultSchedule s =
        read("<engines at=\"5\" do=\"err\" share=\"0.25\" zone=\"1\" by=\"0.9\" for=\"10\"/>");
    assertEquals(
        new Fault(5, Fault.Who.ENGINES, Fault.Kind.ERR, 0.25, 1, -1, 0.9, 10, 0),
        s.faults().get(0));
  }

  @Test
  void namesLineOfInvalidScript() {
    for (String bad :
        new String[] {
          "<engines do=\"err\"/>",
          "<engines at=\"5\" do=\"vanish\"/>",
          "<engines at=\"5\" do=\"err\" share=\"1.5\"/>",
          "<nodes at=\"5\" do=\"err\"/>",
          "<engines at=\"5\""
        }) {
      String why =
          assertThrows(FaultSchedule.InvalidScriptException.class, () -> read(bad)).getMessage();
      assertTrue(why.startsWith("x: line 2:") || why.startsWith("x: line 3:"), why);
    }
    assertEquals(
        "x: engines: nothing there can 'kill'",
        assertThrows(
                FaultSchedule.InvalidScriptException.class,
                () -> read("<engines at=\"1\" do=\"kill\"/>"))
            .getMessage());
    assertTrue(
        assertThrows(FaultSchedule.InvalidScriptException.class, () -> FaultSchedule.of("nowhere"))
            .getMessage()
            .startsWith("'nowhere' is neither a file nor one of [calm"));
  }
}
