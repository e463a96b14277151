package reachloom.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** The settings of an installation: defaults, error messages, and rejection of hostile files. */
class LocalSettingsParserTest {
  private static final String GOSSIP =
      """
      <gossip cluster="east" listen="127.0.0.1:7946">
        <identity key="g1.key" certificate="/etc/g1.crt"/>
        <authority file="ca.crt"/>
        <seed address="127.0.0.1:7947"/>
      </gossip>""";

  @TempDir Path folder;

  private LocalSettings read(String elements) throws IOException, ConfigException {
    return readDocument(
        "<?xml version=\"1.0\"?>\n<reachloom xmlns=\"urn:reachloom:settings:1\">\n"
            + elements
            + "\n</reachloom>\n");
  }

  private LocalSettings readDocument(String document) throws IOException, ConfigException {
    return LocalSettings.read(
        Files.writeString(folder.resolve("s.xml"), document).toString(), Map.of());
  }

  private String errorOf(String elements) {
    return assertThrows(ConfigException.class, () -> read(elements)).getMessage();
  }

  @Test
  void allFeaturesAreOffWithoutFileOrElements() throws Exception {
    assertEquals(LocalSettings.none(), LocalSettings.read(null, Map.of()));
    assertEquals(LocalSettings.none(), read(""));
    assertEquals(
        LocalSettings.none(), read(GOSSIP.replace("<gossip", "<gossip enabled=\"false\"")));
    assertEquals(LocalSettings.none(), LocalSettings.read("../deploy/reachloom.xml", Map.of()));
  }

  @Test
  void appliesDefaultsAndResolvesFilesRelativeToSettings() throws Exception {
    GossipSettings gossip = read(GOSSIP).gossip().orElseThrow();
    assertEquals(4096, gossip.bytesPerSecond());
    assertEquals(1_000_000_000, gossip.periodNanos());
    assertEquals(folder.resolve("g1.key"), gossip.keyFile());
    assertEquals(Path.of("/etc/g1.crt"), gossip.certificateFile());
    assertEquals(7947, gossip.seeds().get(0).getPort());
    assertEquals(null, gossip.revocationFile());
    Path file = folder.resolve("s.xml");
    assertEquals(
        gossip,
        LocalSettings.read(null, Map.of(LocalSettings.FILE_VARIABLE, file.toString()))
            .gossip()
            .orElseThrow());
  }

  private static final String CONFIGURATION =
      """
        <configuration region="2" zone="7">
          <issuer name="c1" address="127.0.0.1:7950" certificate="c1.crt"/>
          <issuer name="c2" address="127.0.0.1:7951" certificate="c2.crt"/>
          <issuer name="c3" address="127.0.0.1:7952" certificate="c3.crt"/>
        </configuration>
      </gossip>""";

  @Test
  void readsPlaceAndIssuersOfConfiguration() throws Exception {
    ConfigurationSettings configuration =
        read(GOSSIP.replace("</gossip>", CONFIGURATION))
            .gossip()
            .orElseThrow()
            .configuration()
            .orElseThrow();
    assertEquals(0x0207, configuration.place());
    assertEquals(2, configuration.quorum());
    assertEquals(folder.resolve("c3.crt"), configuration.issuers().get(2).certificateFile());
    assertTrue(read(GOSSIP).gossip().orElseThrow().configuration().isEmpty());
    String duplicate =
        errorOf(GOSSIP.replace("</gossip>", CONFIGURATION.replace("\"c3\"", "\"c1\"")));
    assertEquals(folder.resolve("s.xml") + ":10: issuer: name: 'c1' stands here twice", duplicate);
    String region = errorOf(GOSSIP.replace("</gossip>", CONFIGURATION.replace("\"2\"", "\"0\"")));
    assertTrue(
        region.startsWith(folder.resolve("s.xml") + ":7: ") && region.contains("region"), region);
    String none =
        errorOf(GOSSIP.replace("</gossip>", "<configuration region=\"1\" zone=\"1\"/></gossip>"));
    assertTrue(none.contains("issuer"), none);
    String one = "<issuer name=\"x%d\" address=\"127.0.0.1:1\" certificate=\"x.crt\"/>";
    String six = IntStream.range(0, 6).mapToObj(one::formatted).collect(Collectors.joining());
    read(
        GOSSIP.replace(
            "</gossip>", CONFIGURATION.replace("</conf", six + "</conf"))); // nine are allowed
    String ten =
        errorOf(
            GOSSIP.replace(
                "</gossip>", CONFIGURATION.replace("</conf", six + one.formatted(9) + "</conf")));
    assertTrue(ten.contains("issuer"), ten);
  }

  @Test
  void readsOptionalClientIdleTimeout() throws Exception {
    assertEquals(OptionalLong.empty(), read("").clientIdleTimeoutNanos());
    assertEquals(OptionalLong.empty(), read(GOSSIP).clientIdleTimeoutNanos());
    assertEquals(
        OptionalLong.of(600_000_000_000L),
        read("<clients idleTimeoutMs=\"600000\"/>").clientIdleTimeoutNanos());
    LocalSettings both = read(GOSSIP + "<clients idleTimeoutMs=\"1000\"/>");
    assertEquals(OptionalLong.of(1_000_000_000L), both.clientIdleTimeoutNanos());
    assertTrue(both.gossip().isPresent());
  }

  @Test
  void rejectsInvalidIdleTimeoutWithItsLine() {
    String start = folder.resolve("s.xml") + ":3: ";
    for (String value :
        List.of("999", "0", "-1", "86400001", "99999999999999999999", "1.5", "soon", "")) {
      String message = errorOf("<clients idleTimeoutMs=\"" + value + "\"/>");
      assertTrue(message.startsWith(start) && message.contains("idleTimeoutMs"), message);
    }
    String missing = errorOf("<clients/>");
    assertTrue(missing.startsWith(start) && missing.contains("idleTimeoutMs"), missing);
    assertTrue(
        errorOf("<clients idleTimeoutMs=\"5000\"/><clients idleTimeoutMs=\"5000\"/>")
            .startsWith(start));
  }

  @Test
  void appliesChangedIdleTimeoutWithoutRestart() throws Exception {
    LocalSettings old = read("<clients idleTimeoutMs=\"5000\"/>");
    assertEquals(
        List.of("clients idleTimeoutMs"),
        old.changesAppliedAtOnce(read("<clients idleTimeoutMs=\"6000\"/>")));
    assertEquals(List.of("clients idleTimeoutMs"), old.changesAppliedAtOnce(LocalSettings.none()));
    assertEquals(List.of(), old.changesAppliedAtOnce(old));
    assertEquals(List.of(), old.changesNeedingRestart(LocalSettings.none()));
  }

  @Test
  void messagesNameFileLineAndElement() {
    String start = folder.resolve("s.xml") + ":3: ";
    String cap = errorOf(GOSSIP.replace("<gossip", "<gossip bytesPerSecond=\"12\""));
    assertTrue(cap.startsWith(start) && cap.contains("gossip") && cap.contains("12"), cap);
    String address = errorOf(GOSSIP.replace("127.0.0.1:7946", "localhost:7946"));
    assertTrue(address.startsWith(start) && address.contains("listen"), address);
    assertEquals(
        start + "gossip: listen: '127.0.0.1:99999' is not an address of the form 10.0.0.1:4100",
        errorOf(GOSSIP.replace("127.0.0.1:7946", "127.0.0.1:99999")));
    assertTrue(errorOf(GOSSIP.replace("cluster=\"east\"", "")).contains("cluster"));
    assertTrue(errorOf("<gosip/>").contains("gosip"));
    assertTrue(errorOf(GOSSIP + GOSSIP).contains("gossip"));
  }

  @Test
  void rejectsMalformedOrHostileFiles() {
    assertTrue(
        assertThrows(ConfigException.class, () -> readDocument("<reachloom"))
            .getMessage()
            .contains("s.xml:"));
    assertThrows(ConfigException.class, () -> readDocument(""));
    assertThrows(ConfigException.class, () -> LocalSettings.read(folder + "/none.xml", Map.of()));
    String entity =
        "<!DOCTYPE r [<!ENTITY x SYSTEM \"file:///etc/hostname\">]>"
            + "<reachloom xmlns=\"urn:reachloom:settings:1\">&x;</reachloom>";
    String message = assertThrows(ConfigException.class, () -> readDocument(entity)).getMessage();
    assertTrue(message.contains("DOCTYPE"), message);
    String huge =
        "<reachloom xmlns=\"urn:reachloom:settings:1\">" + " ".repeat(1 << 20) + "</reachloom>";
    assertTrue(
        assertThrows(ConfigException.class, () -> readDocument(huge))
            .getMessage()
            .contains("larger"));
  }

  @Test
  void distinguishesChangesAppliedAtOnceAndOnRestart() throws Exception {
    LocalSettings old = read(GOSSIP);
    LocalSettings next = read(GOSSIP.replace("\"ca.crt\"", "\"new.crt\"").replace("7946", "7950"));
    assertEquals(List.of("gossip listen"), old.changesNeedingRestart(next));
    assertEquals(List.of("gossip authority"), old.changesAppliedAtOnce(next));
    assertEquals(List.of("gossip"), old.changesNeedingRestart(LocalSettings.none()));
    assertEquals(List.of(), LocalSettings.none().changesNeedingRestart(LocalSettings.none()));
  }
}
