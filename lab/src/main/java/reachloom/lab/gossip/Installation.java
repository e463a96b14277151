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
 * Creates the files of an installation on loopback: a certificate authority, and a key and a
 * certificate for each instance.
 */
public final class Installation {
  /** The cluster name of the installation. */
  public static final String CLUSTER = "lab";

  private final Path folder;

  /** Creates an authority named {@code ca} in the folder. */
  public Installation(Path folder) throws IOException {
    this.folder = folder;
    tool("ca", "--name", "ca", "--out", folder.resolve("ca").toString());
  }

  /**
   * Runs a command of the operators' tool and returns its output.
   *
   * @throws IOException with the tool's error output if the command fails
   */
  public static String tool(String... arguments) throws IOException {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    ByteArrayOutputStream err = new ByteArrayOutputStream();
    if (GossipTool.run(arguments, new PrintStream(out, true), new PrintStream(err, true)) != 0) {
      throw new IOException(err.toString());
    }
    return out.toString();
  }

  /**
   * Creates an instance's key, if it has none, and a certificate signed by an authority and valid
   * for a number of days.
   */
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

  /** Returns the path of a file of the installation. */
  public Path path(String file) {
    return folder.resolve(file);
  }

  /** Returns the settings of an instance that trusts the named authorities. */
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

  /** Writes settings of an instance to its settings file. */
  public Path file(GossipSettings settings, String name) throws IOException {
    StringBuilder text =
        new StringBuilder(
            "<?xml version=\"1.0\"?>\n" + "<reachloom xmlns=\"urn:reachloom:settings:1\">\n");
    text.append(
        String.format(
            "  <gossip cluster=\"%s\" listen=\"%s\" ",
            settings.cluster(), format(settings.listen())));
    text.append(
        String.format(
            "bytesPerSecond=\"%d\" periodMs=\"%d\">%n",
            settings.bytesPerSecond(), settings.periodNanos() / 1_000_000));
    text.append(
        String.format(
            "    <identity key=\"%s\" certificate=\"%s\"/>%n",
            settings.keyFile(), settings.certificateFile()));
    settings
        .authorityFiles()
        .forEach(a -> text.append(String.format("    <authority file=\"%s\"/>%n", a)));
    text.append(String.format("    <revoked file=\"%s\"/>%n", settings.revocationFile()));
    settings
        .seeds()
        .forEach(a -> text.append(String.format("    <seed address=\"%s\"/>%n", format(a))));
    settings
        .configuration()
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
                                  i.name(), format(i.address()), i.certificateFile())));
              text.append("    </configuration>\n");
            });
    return Files.writeString(path(name + ".xml"), text + "  </gossip>\n</reachloom>\n");
  }

  private static String format(InetSocketAddress address) {
    return address.getAddress().getHostAddress() + ":" + address.getPort();
  }

  /** Returns a UDP address on loopback that is not in use. */
  public static InetSocketAddress freeAddress() throws IOException {
    try (DatagramSocket s = new DatagramSocket(0, InetAddress.getLoopbackAddress())) {
      return (InetSocketAddress) s.getLocalSocketAddress();
    }
  }
}
