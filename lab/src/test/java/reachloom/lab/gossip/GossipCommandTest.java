package reachloom.lab.gossip;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.ParseException;
import org.junit.jupiter.api.Test;

/** Tests the bounds of the command's options without running an experiment. */
class GossipCommandTest {
  private static String rejectionMessage(String... words) throws ParseException {
    GossipCommand command = new GossipCommand();
    var line = new DefaultParser().parse(command.options(), words);
    return assertThrows(ParseException.class, () -> command.run(line)).getMessage();
  }

  @Test
  void limitsEnginesToThousandInSimulatedTime() throws ParseException {
    assertEquals(
        "--engines: '1001' is not a whole number from 0 to 1000",
        rejectionMessage("--engines", "1001"));
    // A thousand engines are accepted, so the next invalid option is reported.
    assertEquals(
        "--sick: '1001' is not a whole number from 0 to 1000",
        rejectionMessage("--engines", "1000", "--sick", "1001"));
  }

  @Test
  void limitsEnginesToTwoHundredOnSockets() throws ParseException {
    assertEquals(
        "--engines: '201' is not a whole number from 0 to 200",
        rejectionMessage("--mode", "sockets", "--engines", "201"));
    assertEquals(
        "--sick: '201' is not a whole number from 0 to 200",
        rejectionMessage("--mode", "sockets", "--engines", "200", "--sick", "201"));
  }

  @Test
  void limitsInstancesToThousand() throws ParseException {
    assertEquals(
        "--instances: '1001' is not a whole number from 4 to 1000",
        rejectionMessage("--instances", "1001"));
    assertEquals(
        "--gateways-down: '997' is not a whole number from 0 to 996",
        rejectionMessage("--instances", "1000", "--gateways-down", "997"));
  }
}
