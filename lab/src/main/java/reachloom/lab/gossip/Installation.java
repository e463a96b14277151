package reachloom.lab.gossip;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import reachloom.config.GossipSettings;
import reachloom.tools.GossipTool;

/**
 * The files of an installation on loopback: an authority, and a key and certificate for each
 * instance.
 */
public final class Installation {
  /** The name of its cluster. */
  public static final String CLUSTER = "lab";

  private final Path folder;

  /** Makes an authority named {@code ca} in that folder. */
  public Installation(Path folder) throws IOException {
    this.folder = folder;
    tool("ca", "--name", "ca", "--out", folder.resolve("ca").toString());
  }

  /**
   * Runs a command of the operators' tool; gives what it printed, or throws with what it complained
   * of.
   */
  public static String tool(String... words) throws IOException {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    ByteArrayOutputStream err = new ByteArrayOutputStream();
    if (GossipTool.run(words, new PrintStream(out, true), new PrintStream(err, true)) != 0) {
      throw new IOException(err.toString());
    }
    return out.toString();
  }

  /** A key and a certificate by that authority, valid for so many days. */
  public void instance(String name, String authority, int days) throws IOException {
    if (!Files.exists(path(name + ".key"))) {
      tool("key", "--out", path(name).toString());
    }
    Files.deleteIfExists(path(name + ".crt"));
    tool(
        "sign",
        "--ca",
        path(authority).toString(),
        "--public",
        path(name + ".pub").toString(),
        "--name",
        name,
        "--days",
        Integer.toString(days),
        "--out",
        path(name + ".crt").toString());
  }

  /** A file of the installation. */
  public Path path(String file) {
    return folder.resolve(file);
  }

  /** Settings of an instance; authorities by name. */
  public GossipSettings settings(
      String name,
      InetSocketAddress listen,
      long period,
      int cap,
      List<InetSocketAddress> seeds,
      String... authorities) {
    return new GossipSettings(
        CLUSTER,
        listen,
        cap,
        period,
        path(name + ".key"),
        path(name + ".crt"),
        List.of(authorities).stream().map(a -> path(a + ".crt")).toList(),
        path("revoked.txt"),
        seeds);
  }

  /** The same as a settings file. */
  public Path file(GossipSettings s, String name) throws IOException {
    StringBuilder text =
        new StringBuilder(
            "<?xml version=\"1.0\"?>\n" + "<reachloom xmlns=\"urn:reachloom:settings:1\">\n");
    text.append(
        String.format("  <gossip cluster=\"%s\" listen=\"%s\" ", s.cluster(), words(s.listen())));
    text.append(
        String.format(
            "bytesPerSecond=\"%d\" periodMs=\"%d\">%n",
            s.bytesPerSecond(), s.periodNanos() / 1_000_000));
    text.append(
        String.format(
            "    <identity key=\"%s\" certificate=\"%s\"/>%n", s.keyFile(), s.certificateFile()));
    s.authorityFiles()
        .forEach(a -> text.append(String.format("    <authority file=\"%s\"/>%n", a)));
    text.append(String.format("    <revoked file=\"%s\"/>%n", s.revocationFile()));
    s.seeds().forEach(a -> text.append(String.format("    <seed address=\"%s\"/>%n", words(a))));
    s.configuration()
        .ifPresent(
            c -> {
              text.append(
                  String.format(
                      "    <configuration region=\"%d\" zone=\"%d\">%n",
                      c.place() >> Byte.SIZE, c.place() & 0xff));
              c.issuers()
                  .forEach(
                      i ->
                          text.append(
                              String.format(
                                  "      <issuer name=\"%s\" address=\"%s\" certificate=\"%s\"/>%n",
                                  i.name(), words(i.address()), i.certificateFile())));
              text.append("    </configuration>\n");
            });
    return Files.writeString(path(name + ".xml"), text + "  </gossip>\n</reachloom>\n");
  }

  private static String words(InetSocketAddress a) {
    return a.getAddress().getHostAddress() + ":" + a.getPort();
  }

  /** A UDP address that nobody listens at. */
  public static InetSocketAddress freeAddress() throws IOException {
    try (DatagramSocket s = new DatagramSocket(0, InetAddress.getLoopbackAddress())) {
      return (InetSocketAddress) s.getLocalSocketAddress();
    }
  }
}
