package reachloom.tools;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import reachloom.gossip.net.StatusClient;
import reachloom.tools.LoopbackCluster.CommandResult;

/** Tests {@code reachloom revision} with three issuers and two members on loopback sockets. */
class RevisionToolTest {
  @TempDir Path folder;

  private LoopbackCluster cluster;

  @BeforeEach
  void createCluster() throws Exception {
    cluster = new LoopbackCluster(folder);
  }

  @AfterEach
  void closeCluster() throws Exception {
    cluster.close();
  }

  private void startAll() throws Exception {
    cluster.init();
    for (String issuer : LoopbackCluster.ISSUERS) {
      cluster.start(issuer);
    }
    cluster.startMembers();
  }

  @Test
  void issuesDocumentsAndReportsRolloutStatus() throws Exception {
    startAll();
    CommandResult outcome = cluster.issue("c1", "{\"changelog\": \"127.0.0.1:1\"}");
    assertEquals(0, outcome.status(), outcome::toString);
    assertTrue(outcome.out().contains("issued as revision 1"), outcome::out);
    assertTrue(outcome.out().contains("revision 1 is in force at 2 of 2 members"), outcome::out);
    assertEquals("{\"changelog\": \"127.0.0.1:1\"}", cluster.document("g1", 1));
    assertEquals("{\"changelog\": \"127.0.0.1:1\"}", cluster.document("g2", 1));
    outcome = cluster.issue("c3", "{\"changelog\": \"127.0.0.1:2\"}");
    assertEquals(0, outcome.status(), outcome::toString);
    assertEquals("{\"changelog\": \"127.0.0.1:2\"}", cluster.document("g2", 2));
    String status =
        StatusClient.fetchStatus(
            address(),
            "test",
            folder.resolve("g1.key"),
            folder.resolve("g1.crt"),
            folder.resolve("ca.crt"));
    assertTrue(status.contains("issuer c2 of 3 revision 2"), status);
    assertTrue(
        status.contains("place 1.2: revision 2, members 2, in force 2, refused 0, lacking none"),
        status);
  }

  private InetSocketAddress address() throws Exception {
    String settings = Files.readString(folder.resolve("c2.xml"));
    String port = settings.replaceAll("(?s).*listen=\"127.0.0.1:(\\d+)\".*", "$1");
    return new InetSocketAddress("127.0.0.1", Integer.parseInt(port));
  }

  @Test
  void rejectsInvalidDocumentsAndIssuesLargestOne() throws Exception {
    startAll();
    CommandResult duplicateKey = cluster.issue("c1", "{\"a\": 1,\n\"a\": 2}");
    assertTrue(
        duplicateKey.err().contains("document.json: the document is not JSON: line 2"),
        duplicateKey::err);
    CommandResult ownSetting = cluster.issue("c1", "{\"listen\": \"127.0.0.1:1\"}");
    assertTrue(
        ownSetting.err().contains("document.json: listen: is each gateway's own"), ownSetting::err);
    String largest = "{\"x\": \"" + "y".repeat(16 * 1024 - 9) + "\"}";
    CommandResult tooLarge =
        cluster.issue(
            "c1", largest.replace("yy", "yyy").substring(0, 1) + " " + largest.substring(1));
    assertEquals(2, tooLarge.status());
    assertTrue(tooLarge.err().contains("has 16385 bytes; 1 to 16384 are allowed"), tooLarge::err);
    assertEquals(0, cluster.newest("g1"));
    CommandResult outcome = cluster.issue("c1", largest);
    assertEquals(0, outcome.status(), outcome::toString);
    assertEquals(largest, cluster.document("g2", 1));
  }

  @Test
  void checksDocumentCopiedIntoInbox() throws Exception {
    startAll();
    cluster.awaitIssuer("c1");
    Files.writeString(folder.resolve("c1/inbox/.a.next"), "[]");
    Files.move(folder.resolve("c1/inbox/.a.next"), folder.resolve("c1/inbox/a.json"));
    Path result = folder.resolve("c1/outbox/a.result");
    LoopbackCluster.await(() -> Files.exists(result));
    String text = Files.readString(result);
    assertTrue(text.contains("REFUSED") && text.contains("the document is not an object"), text);
    assertFalse(Files.exists(folder.resolve("c1/inbox/a.json")));
  }

  @Test
  void reportsMembersThatRefuseRevision() throws Exception {
    startAll();
    CommandResult outcome = cluster.issue("c2", "{\"refuse\": 1}");
    assertEquals(3, outcome.status(), outcome::toString);
    assertTrue(outcome.err().contains("in force at 0 of 2 members, refused by 2"), outcome::err);
    assertEquals(0, cluster.issue("c2", "{\"good\": 1}").status());
    assertEquals("{\"good\": 1}", cluster.document("g1", 2));
  }

  @Test
  void reportsMissingMajorityAndRecoversWithIt() throws Exception {
    cluster.init();
    cluster.startMembers();
    cluster.start("c1");
    cluster.awaitIssuer("c1");
    CommandResult outcome = cluster.issue("c1", "{\"lost\": 1}");
    assertEquals(1, outcome.status(), outcome::toString);
    assertTrue(
        outcome.err().contains("NO_MAJORITY") && outcome.err().contains("withdrawn"), outcome::err);
    cluster.start("c2");
    outcome = cluster.issue("c1", "{\"back\": 1}");
    assertEquals(0, outcome.status(), outcome::toString);
    assertEquals("{\"back\": 1}", cluster.document("g1", 1));
  }

  @Test
  void keepsRevisionsAfterRestartOfAllIssuers() throws Exception {
    startAll();
    assertEquals(0, cluster.issue("c1", "{\"kept\": 1}").status());
    for (String issuer : LoopbackCluster.ISSUERS) {
      cluster.stop(issuer);
    }
    for (String issuer : LoopbackCluster.ISSUERS) {
      cluster.start(issuer);
    }
    CommandResult outcome = cluster.issue("c2", "{\"next\": 1}");
    assertEquals(0, outcome.status(), outcome::toString);
    assertTrue(outcome.out().contains("issued as revision 2"), outcome::out);
  }

  @Test
  void refusesCorruptForeignOrLockedStore() throws Exception {
    cluster.init();
    CommandResult again =
        LoopbackCluster.revision(
            "init", "--settings", cluster.path("c1.xml"), "--store", cluster.path("c1"));
    assertEquals(2, again.status());
    assertTrue(again.err().contains("issuer.state: already exists"), again::err);
    cluster.start("c1");
    assertEquals(2, serve("c1").status());
    assertTrue(serve("c1").err().contains("issuer.lock: another process uses this store"));
    Path state = folder.resolve("c2/issuer.state");
    byte[] good = Files.readAllBytes(state);
    for (int length : new int[] {0, 10, good.length - 1}) {
      Files.write(state, java.util.Arrays.copyOf(good, length));
      CommandResult truncated = serve("c2");
      assertEquals(2, truncated.status());
      assertTrue(
          truncated.err().contains(state + ": is ")
              && truncated.err().contains("the file is not used"),
          truncated::err);
      assertEquals(length, Files.size(state), "the state file is not changed");
    }
    byte[] altered = good.clone();
    altered[good.length / 2] ^= 1;
    Files.write(state, altered);
    assertTrue(serve("c2").err().contains("its checksum does not match"));
    Files.copy(
        folder.resolve("c1/issuer.state"),
        state,
        java.nio.file.StandardCopyOption.REPLACE_EXISTING);
    assertTrue(
        serve("c2").err().contains("belongs to issuer 'c1' of 'test', not to 'c2' of 'test'"));
    CommandResult member =
        LoopbackCluster.revision(
            "serve", "--settings", cluster.path("g1.xml"), "--store", cluster.path("g1"));
    assertTrue(member.err().contains("'g1' is not among the issuers"), member::err);
  }

  private CommandResult serve(String issuer) {
    return LoopbackCluster.revision(
        "serve", "--settings", cluster.path(issuer + ".xml"), "--store", cluster.path(issuer));
  }

  @Test
  void abstainsAfterLossOfStore() throws Exception {
    cluster.init();
    Files.delete(folder.resolve("c2/issuer.state"));
    cluster.start("c1");
    cluster.start("c2");
    cluster.awaitIssuer("c2");
    CommandResult outcome = cluster.issue("c2", "{\"a\": 1}");
    assertTrue(
        outcome.err().contains("ABSTAINS") && outcome.err().contains("lost its store"),
        outcome::err);
    assertFalse(Files.exists(folder.resolve("c2/issuer.state")));
  }

  @Test
  void keepsIssuingWhenProposingProcessIsKilled() throws Exception {
    cluster.init();
    for (String issuer : LoopbackCluster.ISSUERS) {
      cluster.startProcess(issuer);
    }
    cluster.startMembers();
    cluster.awaitIssuer("c1");
    cluster.awaitIssuer("c2");
    CommandResult first = cluster.issue("c1", "{\"first\": 1}");
    assertEquals(0, first.status(), first::toString);
    for (int i = 0; i < 2; i++) { // c1 is killed once it has taken the document, in any phase
      String name = "half" + i;
      Files.writeString(folder.resolve("c1/inbox/." + name), "{\"" + name + "\": 1}");
      Files.move(folder.resolve("c1/inbox/." + name), folder.resolve("c1/inbox/" + name + ".json"));
      Path taken = folder.resolve("c1/taken/" + name + ".json");
      Path result = folder.resolve("c1/outbox/" + name + ".result");
      LoopbackCluster.await(() -> Files.exists(taken) || Files.exists(result));
      cluster.kill("c1");
      String next = "{\"next" + i + "\": 1}";
      CommandResult outcome = cluster.issue("c2", next);
      assertEquals(0, outcome.status(), outcome::toString);
      long number = cluster.newest("g1");
      assertEquals(next, cluster.document("g1", number));
      LoopbackCluster.await(() -> cluster.newest("g2") == number);
      assertEquals(next, cluster.document("g2", number));
      cluster.startProcess("c1");
      LoopbackCluster.await(() -> Files.exists(result));
    }
    CommandResult last = cluster.issue("c1", "{\"last\": 1}");
    assertEquals(0, last.status(), last::toString);
    LoopbackCluster.await(() -> cluster.newest("g1") == cluster.newest("g2"));
    assertEquals("{\"last\": 1}", cluster.document("g2", cluster.newest("g2")));
  }
}
