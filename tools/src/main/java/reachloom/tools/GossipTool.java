package reachloom.tools;

import java.io.IOException;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.nio.file.attribute.PosixFilePermissions;
import java.security.GeneralSecurityException;
import java.security.KeyFactory;
import java.security.KeyPair;
import java.security.KeyPairGenerator;
import java.security.PrivateKey;
import java.security.PublicKey;
import java.security.cert.X509Certificate;
import java.security.spec.PKCS8EncodedKeySpec;
import java.security.spec.X509EncodedKeySpec;
import java.time.Duration;
import java.util.regex.Pattern;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.bouncycastle.operator.OperatorCreationException;
import reachloom.gossip.net.NodeIdentity;
import reachloom.gossip.net.Pem;
import reachloom.gossip.net.StatusClient;

/**
 * The command {@code reachloom gossip}: creates keys, issues, shows and revokes certificates, and
 * requests the status of instances.
 */
public final class GossipTool {
  private static final int MAX_DAYS = 36_500;
  private static final Pattern NAME = Pattern.compile("[0-9A-Za-z][0-9A-Za-z._-]{0,31}");
  private static final String CERTIFICATE = "CERTIFICATE";
  private static final String PRIVATE_KEY = "PRIVATE KEY";
  private static final String PUBLIC_KEY = "PUBLIC KEY";

  private final PrintStream out;

  private GossipTool(PrintStream out) {
    this.out = out;
  }

  /**
   * Runs one of the commands.
   *
   * @param args the command, then its options
   * @param out receives results
   * @param err receives errors and usage
   * @return the exit status: 0 for success, 1 for failure, 2 for invalid options
   */
  public static int run(String[] args, PrintStream out, PrintStream err) {
    GossipTool tool = new GossipTool(out);
    return new CommandLineTool("reachloom gossip", out, err, Exception::toString)
        .add("ca", authorityOptions(), tool::createAuthority)
        .add(
            "key",
            new Options().addOption(null, "out", true, "writes the files OUT.key and OUT.pub"),
            tool::createKey)
        .add("sign", signOptions(), tool::sign)
        .add(
            "show",
            new Options().addOption(null, "certificate", true, "the certificate file"),
            tool::show)
        .add("revoke", revokeOptions(), tool::revoke)
        .add("status", statusOptions(), tool::status)
        .run(args);
  }

  private static Options authorityOptions() {
    return new Options()
        .addOption(null, "name", true, "name of the authority")
        .addOption(null, "out", true, "writes the files OUT.key and OUT.crt")
        .addOption(null, "days", true, "validity in days (default 3650)");
  }

  private static Options signOptions() {
    return new Options()
        .addOption(null, "ca", true, "the authority's files CA.key and CA.crt")
        .addOption(
            null, "public", true, "the instance's public key file (OUT.pub of the command key)")
        .addOption(null, "name", true, "name of the instance")
        .addOption(null, "days", true, "validity in days (default 365)")
        .addOption(null, "out", true, "the certificate file to write");
  }

  private static Options revokeOptions() {
    return new Options()
        .addOption(null, "certificate", true, "the certificate to revoke")
        .addOption(null, "list", true, "the list of revoked certificates to append to");
  }

  private static Options statusOptions() {
    return new Options()
        .addOption(null, "address", true, "the instance's gossip address")
        .addOption(null, "cluster", true, "name of the cluster")
        .addOption(null, "key", true, "the operator's key")
        .addOption(null, "certificate", true, "the operator's certificate")
        .addOption(null, "authority", true, "the authority's certificate");
  }

  // ---- Commands ----

  private int createAuthority(CommandLine options)
      throws ParseException, IOException, GeneralSecurityException, OperatorCreationException {
    String name = name(options);
    String pathPrefix = CommandLineTool.required(options, "out");
    KeyPair keys = generateKeys();
    byte[] certificate =
        new CertificateIssuer(name, keys.getPrivate())
            .issueSelfSigned(keys.getPublic(), days(options, "3650"));
    writeSecret(
        withSuffix(pathPrefix, ".key"), Pem.text(PRIVATE_KEY, keys.getPrivate().getEncoded()));
    write(withSuffix(pathPrefix, ".crt"), Pem.text(CERTIFICATE, certificate));
    out.println(pathPrefix + ".crt: " + certificate.length + " bytes");
    return CommandLineTool.OK;
  }

  private int createKey(CommandLine options)
      throws ParseException, IOException, GeneralSecurityException {
    String pathPrefix = CommandLineTool.required(options, "out");
    KeyPair keys = generateKeys();
    writeSecret(
        withSuffix(pathPrefix, ".key"), Pem.text(PRIVATE_KEY, keys.getPrivate().getEncoded()));
    write(withSuffix(pathPrefix, ".pub"), Pem.text(PUBLIC_KEY, keys.getPublic().getEncoded()));
    out.println(pathPrefix + ".key, " + pathPrefix + ".pub");
    return CommandLineTool.OK;
  }

  private int sign(CommandLine options)
      throws ParseException, IOException, GeneralSecurityException, OperatorCreationException {
    String authorityPrefix = CommandLineTool.required(options, "ca");
    String name = name(options);
    KeyFactory keys = KeyFactory.getInstance(NodeIdentity.ALGORITHM);
    PrivateKey authorityKey =
        keys.generatePrivate(
            new PKCS8EncodedKeySpec(Pem.readPrivate(withSuffix(authorityPrefix, ".key"))));
    X509Certificate authority = readCertificate(withSuffix(authorityPrefix, ".crt"));
    Path publicFile = Path.of(CommandLineTool.required(options, "public"));
    PublicKey publicKey =
        keys.generatePublic(new X509EncodedKeySpec(Pem.read(publicFile, PUBLIC_KEY)));
    byte[] certificate =
        new CertificateIssuer(NodeIdentity.commonName(authority), authorityKey)
            .issue(name, publicKey, days(options, "365"));
    String file = CommandLineTool.required(options, "out");
    write(Path.of(file), Pem.text(CERTIFICATE, certificate));
    out.println(file + ": " + name + ", " + certificate.length + " bytes");
    return CommandLineTool.OK;
  }

  private int show(CommandLine options)
      throws ParseException, IOException, GeneralSecurityException {
    X509Certificate certificate =
        readCertificate(Path.of(CommandLineTool.required(options, "certificate")));
    out.println("name       " + NodeIdentity.commonName(certificate));
    out.println("authority  " + certificate.getIssuerX500Principal().getName());
    out.println("serial     " + NodeIdentity.serial(certificate));
    out.println(
        "valid      "
            + certificate.getNotBefore().toInstant()
            + " to "
            + certificate.getNotAfter().toInstant());
    out.println("bytes      " + certificate.getEncoded().length);
    return CommandLineTool.OK;
  }

  private int revoke(CommandLine options)
      throws ParseException, IOException, GeneralSecurityException {
    X509Certificate certificate =
        readCertificate(Path.of(CommandLineTool.required(options, "certificate")));
    Path list = Path.of(CommandLineTool.required(options, "list"));
    String name = NodeIdentity.commonName(certificate);
    Files.writeString(
        list,
        NodeIdentity.serial(certificate) + "  # " + name + "\n",
        StandardOpenOption.CREATE,
        StandardOpenOption.APPEND);
    out.println(list + ": " + name + " is revoked once the instances have reloaded the list");
    return CommandLineTool.OK;
  }

  private int status(CommandLine options)
      throws ParseException, IOException, GeneralSecurityException {
    InetSocketAddress address = address(options);
    out.print(
        StatusClient.fetchStatus(
            address,
            CommandLineTool.required(options, "cluster"),
            Path.of(CommandLineTool.required(options, "key")),
            Path.of(CommandLineTool.required(options, "certificate")),
            Path.of(CommandLineTool.required(options, "authority"))));
    return CommandLineTool.OK;
  }

  // ---- Options ----

  private static String name(CommandLine options) throws ParseException {
    String name = CommandLineTool.required(options, "name");
    if (!NAME.matcher(name).matches()) {
      throw new ParseException(
          "--name: '"
              + name
              + "' must be 1 to 32 letters, digits, dots, dashes or underscores, "
              + "the first a letter or digit");
    }
    return name;
  }

  private static Duration days(CommandLine options, String defaultDays) throws ParseException {
    String text = options.getOptionValue("days", defaultDays);
    try {
      int days = Integer.parseInt(text);
      if (days > 0 && days <= MAX_DAYS) {
        return Duration.ofDays(days);
      }
    } catch (NumberFormatException e) {
      // not a number: reported below like a number out of range
    }
    throw new ParseException("--days: '" + text + "' is not a whole number from 1 to " + MAX_DAYS);
  }

  private static InetSocketAddress address(CommandLine options) throws ParseException {
    String text = CommandLineTool.required(options, "address");
    String[] address = text.split(":");
    if (address.length != 2 || !address[0].matches("[0-9.]+") || !address[1].matches("\\d{1,5}")) {
      throw new ParseException("--address: '" + text + "' is not of the form 10.0.0.1:7946");
    }
    return new InetSocketAddress(address[0], Integer.parseInt(address[1]));
  }

  // ---- Files ----

  private static KeyPair generateKeys() throws GeneralSecurityException {
    return KeyPairGenerator.getInstance(NodeIdentity.ALGORITHM).generateKeyPair();
  }

  private static X509Certificate readCertificate(Path file)
      throws IOException, GeneralSecurityException {
    return NodeIdentity.certificate(Pem.read(file, CERTIFICATE));
  }

  private static Path withSuffix(String pathPrefix, String suffix) {
    return Path.of(pathPrefix + suffix);
  }

  /** Writes a new file; never overwrites an existing one. */
  private static void write(Path file, String text) throws IOException {
    checkAbsent(file);
    Files.writeString(file, text, StandardOpenOption.CREATE_NEW);
  }

  /**
   * Writes a new file whose permissions are restricted to its owner before the first byte is
   * written.
   */
  private static void writeSecret(Path file, String text) throws IOException {
    checkAbsent(file);
    Files.createFile(
        file, PosixFilePermissions.asFileAttribute(PosixFilePermissions.fromString("rw-------")));
    Files.writeString(file, text, StandardOpenOption.WRITE);
  }

  private static void checkAbsent(Path file) throws IOException {
    if (Files.exists(file)) {
      throw new IOException(file + ": is there already");
    }
  }
}
