package reachloom.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import reachloom.standin.FakeChangeLog;
import reachloom.standin.FakeEngine;
import reachloom.standin.FaultyCalls;
import reachloom.standin.FaultyCalls.Shares;
import reachloom.standin.GatewayProcess;
import reachloom.standin.ThriftClient;

/**
 * The program as a process whose own system calls fail: no request and no connection is lost by it.
 */
@Timeout(90)
class FaultyCallsTest {
  private static final int REQUESTS = 200;

  @TempDir Path folder;

  private FakeChangeLog changeLog;
  private FakeEngine one;
  private FakeEngine other;
  private FaultyCalls calls;
  private GatewayProcess gateway;

  @BeforeEach
  void start() throws Exception {
    changeLog = new FakeChangeLog(1);
    one = new FakeEngine();
    other = new FakeEngine();
    calls = new FaultyCalls(folder, 7);
    String text = GatewayProcess.config(GatewayProcess.freeAddress(), changeLog, one, other);
    gateway = new GatewayProcess(folder, text, calls.environment());
    gateway.ready().close();
  }

  @AfterEach
  void end() throws IOException, InterruptedException {
    gateway.close();
    changeLog.close();
    one.close();
    other.close();
  }

  @ParameterizedTest
  @CsvSource({"80,0,0,0,0", "0,0,0,80,0", "0,0,0,0,80", "40,40,40,40,40"})
  void eachRequestHasItsResultThoughCallsFail(
      int accept, int socket, int connect, int read, int write) throws Exception {
    calls.fail(new Shares(accept, socket, connect, read, write));
    for (int i = 0; i < REQUESTS; i++) {
      try (ThriftClient client = new ThriftClient(gateway.listen)) {
        assertEquals("ANSWER", client.run("select 1", "limit", "10000", "verb", "once").kind());
        assertEquals("ANSWER", client.run("select 1", "limit", "10000").kind());
      }
    }
    assertTrue(Files.readString(gateway.log).contains("system call"), "failures are told");
  }

  @Test
  void dialsThatFailOnThisMachineAreMadeAgainAndTellNothingOfTheEngine() throws Exception {
    calls.fail(new Shares(0, 300, 300, 0, 0));
    try (ThriftClient client = new ThriftClient(gateway.listen)) {
      for (int i = 0; i < REQUESTS / 4; i++) {
        one.cut();
        other.cut();
        // By the second answer the gateway has dealt with both ends. A request assigned to a
        // connection
        // in the moment of its end would rightly end as UNREACHED, whatever calls fail.
        assertTrue(client.check());
        assertTrue(client.check());
        assertEquals("ANSWER", client.run("select 1", "limit", "10000").kind());
      }
    }
    String log = Files.readString(gateway.log);
    assertTrue(log.contains("system call"), "failures are told");
    assertEquals(-1, log.indexOf("ended as UNREACHED"), "no evidence against an engine");
  }

  @Test
  void aListenerThatCannotAcceptForAWhileNeitherSpinsNorStops() throws Exception {
    Thread.sleep(2_000); // what a start leaves to compile is done
    calls.fail(new Shares(1_000, 0, 0, 0, 0));
    Duration before = gateway.processorTime();
    try (ThriftClient waiting = new ThriftClient(gateway.listen)) { // in the system's queue
      Thread.sleep(2_000);
      Duration spent = gateway.processorTime().minus(before);
      assertTrue(spent.toMillis() < 1_000, "spent " + spent);
      calls.fail(Shares.NONE);
      assertTrue(waiting.check());
    }
  }
}
