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
import reachloom.tools.Installation.Said;

/** Three issuers and two members on loopback sockets, as operators use them. */
class RevisionToolTest {
  @TempDir Path folder;

  private Installation all;

  @BeforeEach
  void make() throws Exception {
    all = new Installation(folder);
  }

  @AfterEach
  void end() throws Exception {
    all.close();
  }

  private void startAll() throws Exception {
    all.init();
    for (String issuer : Installation.ISSUERS) {
      all.start(issuer);
    }
    all.startMembers();
  }

  @Test
  void aDocumentIsInForceAtBothMembersAndThatIsKnown() throws Exception {
    startAll();
    Said said = all.issue("c1", "{\"changelog\": \"127.0.0.1:1\"}");
    assertEquals(0, said.status(), said::toString);
    assertTrue(said.out().contains("issued as revision 1"), said::out);
    assertTrue(said.out().contains("revision 1 is in force at 2 of 2 members"), said::out);
    assertEquals("{\"changelog\": \"127.0.0.1:1\"}", all.document("g1", 1));
    assertEquals("{\"changelog\": \"127.0.0.1:1\"}", all.document("g2", 1));
    said = all.issue("c3", "{\"changelog\": \"127.0.0.1:2\"}");
    assertEquals(0, said.status(), said::toString);
    assertEquals("{\"changelog\": \"127.0.0.1:2\"}", all.document("g2", 2));
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
  void whatCannotBeIssuedIsToldWithItsReasonAndTheLargestIs() throws Exception {
    startAll();
    Said twice = all.issue("c1", "{\"a\": 1,\n\"a\": 2}");
    assertTrue(twice.err().contains("document.json: the document is not JSON: line 2"), twice::err);
    Said own = all.issue("c1", "{\"listen\": \"127.0.0.1:1\"}");
    assertTrue(own.err().contains("document.json: listen: is each gateway's own"), own::err);
    String most = "{\"x\": \"" + "y".repeat(16 * 1024 - 9) + "\"}";
    Said over =
        all.issue("c1", most.replace("yy", "yyy").substring(0, 1) + " " + most.substring(1));
    assertEquals(2, over.status());
    assertTrue(over.err().contains("has 16385 bytes; 1 to 16384 are allowed"), over::err);
    assertEquals(0, all.newest("g1"));
    Said said = all.issue("c1", most);
    assertEquals(0, said.status(), said::toString);
    assertEquals(most, all.document("g2", 1));
  }

  @Test
  void aDocumentPutIntoTheInboxByHandIsCheckedThereToo() throws Exception {
    startAll();
    all.awaitIssuer("c1");
    Files.writeString(folder.resolve("c1/inbox/.a.next"), "[]");
    Files.move(folder.resolve("c1/inbox/.a.next"), folder.resolve("c1/inbox/a.json"));
    Path result = folder.resolve("c1/outbox/a.result");
    Installation.await(() -> Files.exists(result));
    String told = Files.readString(result);
    assertTrue(told.contains("REFUSED") && told.contains("the document is not an object"), told);
    assertFalse(Files.exists(folder.resolve("c1/inbox/a.json")));
  }

  @Test
  void aMemberThatRefusesIsNamed() throws Exception {
    startAll();
    Said said = all.issue("c2", "{\"refuse\": 1}");
    assertEquals(3, said.status(), said::toString);
    assertTrue(said.err().contains("in force at 0 of 2 members, refused by 2"), said::err);
    assertEquals(0, all.issue("c2", "{\"good\": 1}").status());
    assertEquals("{\"good\": 1}", all.document("g1", 2));
  }

  @Test
  void withoutAMajorityItSaysSoAndGoesOnOnceOneIsBack() throws Exception {
    all.init();
    all.startMembers();
    all.start("c1");
    all.awaitIssuer("c1");
    Said said = all.issue("c1", "{\"lost\": 1}");
    assertEquals(1, said.status(), said::toString);
    assertTrue(said.err().contains("NO_MAJORITY") && said.err().contains("withdrawn"), said::err);
    all.start("c2");
    said = all.issue("c1", "{\"back\": 1}");
    assertEquals(0, said.status(), said::toString);
    assertEquals("{\"back\": 1}", all.document("g1", 1));
  }

  @Test
  void issuersThatAreStartedAgainKeepTheLogAndHandItOut() throws Exception {
    startAll();
    assertEquals(0, all.issue("c1", "{\"kept\": 1}").status());
    for (String issuer : Installation.ISSUERS) {
      all.stop(issuer);
    }
    for (String issuer : Installation.ISSUERS) {
      all.start(issuer);
    }
    Said said = all.issue("c2", "{\"next\": 1}");
    assertEquals(0, said.status(), said::toString);
    assertTrue(said.out().contains("issued as revision 2"), said::out);
  }

  @Test
  void aStoreThatIsBrokenForeignOrInUseIsNotUsed() throws Exception {
    all.init();
    Said again =
        Installation.revision("init", "--settings", all.path("c1.xml"), "--store", all.path("c1"));
    assertEquals(2, again.status());
    assertTrue(again.err().contains("issuer.state: is there already"), again::err);
    all.start("c1");
    assertEquals(2, serve("c1").status());
    assertTrue(serve("c1").err().contains("issuer.lock: another process uses this store"));
    Path state = folder.resolve("c2/issuer.state");
    byte[] good = Files.readAllBytes(state);
    for (int length : new int[] {0, 10, good.length - 1}) {
      Files.write(state, java.util.Arrays.copyOf(good, length));
      Said torn = serve("c2");
      assertEquals(2, torn.status());
      assertTrue(
          torn.err().contains(state + ": is ") && torn.err().contains("it is not used"), torn::err);
      assertEquals(length, Files.size(state), "left as it is");
    }
    byte[] altered = good.clone();
    altered[good.length / 2] ^= 1;
    Files.write(state, altered);
    assertTrue(serve("c2").err().contains("its checksum does not hold"));
    Files.copy(
        folder.resolve("c1/issuer.state"),
        state,
        java.nio.file.StandardCopyOption.REPLACE_EXISTING);
    assertTrue(
        serve("c2").err().contains("belongs to issuer 'c1' of 'test', not to 'c2' of 'test'"));
    Said member =
        Installation.revision("serve", "--settings", all.path("g1.xml"), "--store", all.path("g1"));
    assertTrue(member.err().contains("'g1' is not among the issuers"), member::err);
  }

  private Said serve(String issuer) {
    return Installation.revision(
        "serve", "--settings", all.path(issuer + ".xml"), "--store", all.path(issuer));
  }

  @Test
  void anIssuerWhoseStoreWasLostGivesNoVoteAndSaysSo() throws Exception {
    all.init();
    Files.delete(folder.resolve("c2/issuer.state"));
    all.start("c1");
    all.start("c2");
    all.awaitIssuer("c2");
    Said said = all.issue("c2", "{\"a\": 1}");
    assertTrue(said.err().contains("ABSTAINS") && said.err().contains("lost its store"), said::err);
    assertFalse(Files.exists(folder.resolve("c2/issuer.state")));
  }

  @Test
  void processesOfWhichTheSourceIsKilledHalfWay() throws Exception {
    all.init();
    for (String issuer : Installation.ISSUERS) {
      all.startProcess(issuer);
    }
    all.startMembers();
    all.awaitIssuer("c1");
    all.awaitIssuer("c2");
    Said first = all.issue("c1", "{\"first\": 1}");
    assertEquals(0, first.status(), first::toString);
    for (int i = 0; i < 2; i++) { // as soon as it has taken the document: in any phase
      String name = "half" + i;
      Files.writeString(folder.resolve("c1/inbox/." + name), "{\"" + name + "\": 1}");
      Files.move(folder.resolve("c1/inbox/." + name), folder.resolve("c1/inbox/" + name + ".json"));
      Path taken = folder.resolve("c1/taken/" + name + ".json");
      Path result = folder.resolve("c1/outbox/" + name + ".result");
      Installation.await(() -> Files.exists(taken) || Files.exists(result));
      all.kill("c1");
      String next = "{\"next" + i + "\": 1}";
      Said said = all.issue("c2", next);
      assertEquals(0, said.status(), said::toString);
      long number = all.newest("g1");
      assertEquals(next, all.document("g1", number));
      Installation.await(() -> all.newest("g2") == number);
      assertEquals(next, all.document("g2", number));
      all.startProcess("c1");
      Installation.await(() -> Files.exists(result));
    }
    Said last = all.issue("c1", "{\"last\": 1}");
    assertEquals(0, last.status(), last::toString);
    Installation.await(() -> all.newest("g1") == all.newest("g2"));
    assertEquals("{\"last\": 1}", all.document("g2", all.newest("g2")));
  }
}
