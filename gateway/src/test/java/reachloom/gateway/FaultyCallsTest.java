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

/** Guards against lost requests and connections when system calls of the gateway process fail. */
@Timeout(90)
class FaultyCallsTest {
  private static final int REQUESTS = 200;

  @TempDir Path folder;

  private FakeChangeLog changeLog;
  private FakeEngine engine;
  private FakeEngine other;
  private FaultyCalls calls;
  private GatewayProcess gateway;

  @BeforeEach
  void start() throws Exception {
    changeLog = new FakeChangeLog(1);
    engine = new FakeEngine();
    other = new FakeEngine();
    calls = new FaultyCalls(folder, 7);
    String text = GatewayProcess.config(GatewayProcess.freeAddress(), changeLog, engine, other);
    gateway = new GatewayProcess(folder, text, calls.environment());
    gateway.ready().close();
  }

  @AfterEach
  void end() throws IOException, InterruptedException {
    gateway.close();
    changeLog.close();
    engine.close();
    other.close();
  }

  @ParameterizedTest
  @CsvSource({"80,0,0,0,0", "0,0,0,80,0", "0,0,0,0,80", "40,40,40,40,40"})
  void servesAllRequestsWhileSystemCallsFail(
      int accept, int socket, int connect, int read, int write) throws Exception {
    calls.fail(new Shares(accept, socket, connect, read, write));
    for (int i = 0; i < REQUESTS; i++) {
      try (ThriftClient client = new ThriftClient(gateway.listen)) {
        assertEquals("ANSWER", client.run("select 1", "limit", "10000", "verb", "once").kind());
        assertEquals("ANSWER", client.run("select 1", "limit", "10000").kind());
      }
    }
    assertTrue(Files.readString(gateway.log).contains("system call"), "failures are logged");
  }

  @Test
  void retriesLocalConnectFailuresWithoutBlamingEngine() throws Exception {
    calls.fail(new Shares(0, 300, 300, 0, 0));
    try (ThriftClient client = new ThriftClient(gateway.listen)) {
      for (int i = 0; i < REQUESTS / 4; i++) {
        engine.cut();
        other.cut();
        // After two check calls the gateway has handled the close of both connections. A request
        // assigned to a connection just as it is closed would rightly end as UNREACHED, regardless
        // of failing system calls.
        assertTrue(client.check());
        assertTrue(client.check());
        assertEquals("ANSWER", client.run("select 1", "limit", "10000").kind());
      }
    }
    String log = Files.readString(gateway.log);
    assertTrue(log.contains("system call"), "failures are logged");
    assertEquals(-1, log.indexOf("ended as UNREACHED"), "no evidence against an engine");
  }

  @Test
  void failingAcceptNeitherSpinsNorStopsListener() throws Exception {
    Thread.sleep(2_000); // until the virtual machine has compiled what a start needs
    calls.fail(new Shares(1_000, 0, 0, 0, 0));
    Duration before = gateway.processorTime();
    try (ThriftClient waiting = new ThriftClient(gateway.listen)) { // in the accept queue
      Thread.sleep(2_000);
      Duration spent = gateway.processorTime().minus(before);
      assertTrue(spent.toMillis() < 1_000, "spent " + spent);
      calls.fail(Shares.NONE);
      assertTrue(waiting.check());
    }
  }
}
