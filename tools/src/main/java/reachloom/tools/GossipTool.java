package reachloom.tools;

import java.io.IOException;
import java.io.PrintStream;
import java.io.PrintWriter;
import java.math.BigInteger;
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
import java.security.SecureRandom;
import java.security.cert.X509Certificate;
import java.security.spec.PKCS8EncodedKeySpec;
import java.security.spec.X509EncodedKeySpec;
import java.time.Duration;
import java.time.Instant;
import java.util.Arrays;
import java.util.Date;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.regex.Pattern;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.HelpFormatter;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.bouncycastle.asn1.x500.X500Name;
import org.bouncycastle.asn1.x509.BasicConstraints;
import org.bouncycastle.asn1.x509.Extension;
import org.bouncycastle.asn1.x509.SubjectPublicKeyInfo;
import org.bouncycastle.cert.X509v3CertificateBuilder;
import org.bouncycastle.operator.OperatorCreationException;
import org.bouncycastle.operator.jcajce.JcaContentSignerBuilder;
import reachloom.gossip.net.NodeIdentity;
import reachloom.gossip.net.Pem;
import reachloom.gossip.net.StatusClient;
import reachloom.time.WallClock;

/**
 * {@code reachloom gossip}: makes and shows keys and certificates, takes them back, and asks
 * instances.
 */
public final class GossipTool {
  private static final int OK = 0;
  private static final int FAILED = 1;
  private static final int BAD_USE = 2;
  private static final int COLUMNS = 100;
  private static final int SERIAL_BYTES = 8;
  private static final int MAX_DAYS = 36_500;
  private static final Pattern NAME = Pattern.compile("[0-9A-Za-z][0-9A-Za-z._-]{0,31}");
  private static final Duration BACKDATED = Duration.ofMinutes(5); // clocks differ

  private final PrintStream out;
  private final PrintStream err;

  private GossipTool(PrintStream out, PrintStream err) {
    this.out = out;
    this.err = err;
  }

  /** Runs one of its commands; gives the exit status. */
  public static int run(String[] args, PrintStream out, PrintStream err) {
    return new GossipTool(out, err).run(args);
  }

  private static Map<String, Options> commands() {
    Map<String, Options> all = new LinkedHashMap<>();
    all.put(
        "ca",
        new Options()
            .addOption(null, "name", true, "name of the authority")
            .addOption(null, "out", true, "files OUT.key and OUT.crt are made")
            .addOption(null, "days", true, "how long it is valid (3650)"));
    all.put(
        "key", new Options().addOption(null, "out", true, "files OUT.key and OUT.pub are made"));
    all.put(
        "sign",
        new Options()
            .addOption(null, "ca", true, "the authority's files CA.key and CA.crt")
            .addOption(null, "public", true, "the instance's OUT.pub")
            .addOption(null, "name", true, "name of the instance")
            .addOption(null, "days", true, "how long it is valid (365)")
            .addOption(null, "out", true, "the certificate's file"));
    all.put("show", new Options().addOption(null, "certificate", true, "a certificate's file"));
    all.put(
        "revoke",
        new Options()
            .addOption(null, "certificate", true, "what is taken back")
            .addOption(null, "list", true, "the list that it is added to"));
    all.put(
        "status",
        new Options()
            .addOption(null, "address", true, "the instance's gossip address")
            .addOption(null, "cluster", true, "name of the cluster")
            .addOption(null, "key", true, "the asker's key")
            .addOption(null, "certificate", true, "the asker's certificate")
            .addOption(null, "authority", true, "the authority's certificate"));
    return all;
  }

  private int run(String[] args) {
    Map<String, Options> commands = commands();
    Options options = args.length == 0 ? null : commands.get(args[0]);
    if (options == null) {
      boolean help = args.length > 0 && args[0].equals("--help");
      PrintWriter to = new PrintWriter(help ? out : err);
      commands.forEach(
          (name, o) ->
              new HelpFormatter()
                  .printHelp(to, COLUMNS, "reachloom gossip " + name, "", o, 1, 2, ""));
      to.flush();
      return help ? OK : BAD_USE;
    }
    try {
      CommandLine line =
          new DefaultParser().parse(options, Arrays.copyOfRange(args, 1, args.length));
      if (!line.getArgList().isEmpty()) {
        throw new ParseException("Unrecognized word: " + line.getArgList().get(0));
      }
      switch (args[0]) {
        case "ca" -> authority(line);
        case "key" -> key(line);
        case "sign" -> sign(line);
        case "show" -> show(line);
        case "revoke" -> revoke(line);
        default -> status(line);
      }
      return OK;
    } catch (ParseException e) {
      err.println("reachloom gossip " + args[0] + ": " + e.getMessage());
      return BAD_USE;
    } catch (IOException | GeneralSecurityException | OperatorCreationException e) {
      err.println("reachloom gossip " + args[0] + ": " + e.getMessage());
      return FAILED;
    }
  }

  private static String needed(CommandLine line, String option) throws ParseException {
    String value = line.getOptionValue(option, "");
    if (value.isBlank()) {
      throw new ParseException("--" + option + ": is missing");
    }
    return value;
  }

  private static String name(CommandLine line) throws ParseException {
    String name = needed(line, "name");
    if (!NAME.matcher(name).matches()) {
      throw new ParseException(
          "--name: '" + name + "' is not 1 to 32 letters, digits, dots, dashes");
    }
    return name;
  }

  private static Duration days(CommandLine line, String standard) throws ParseException {
    String text = line.getOptionValue("days", standard);
    try {
      int days = Integer.parseInt(text);
      if (days > 0 && days <= MAX_DAYS) {
        return Duration.ofDays(days);
      }
    } catch (NumberFormatException e) {
      // told below
    }
    throw new ParseException("--days: '" + text + "' is not a whole number from 1 to " + MAX_DAYS);
  }

  private static Path with(String stem, String ending) {
    return Path.of(stem + ending);
  }

  /** A file that is made, never written over; a key is its owner's alone from its first byte. */
  private static void write(Path file, String text, boolean secret) throws IOException {
    if (Files.exists(file)) {
      throw new IOException(file + ": is there already");
    }
    if (secret) {
      Files.createFile(
          file, PosixFilePermissions.asFileAttribute(PosixFilePermissions.fromString("rw-------")));
      Files.writeString(file, text, StandardOpenOption.WRITE);
    } else {
      Files.writeString(file, text, StandardOpenOption.CREATE_NEW);
    }
  }

  private static KeyPair pair() throws GeneralSecurityException {
    return KeyPairGenerator.getInstance(NodeIdentity.ALGORITHM).generateKeyPair();
  }

  private void authority(CommandLine line)
      throws ParseException, IOException, GeneralSecurityException, OperatorCreationException {
    String name = name(line);
    String stem = needed(line, "out");
    KeyPair keys = pair();
    byte[] made =
        issue(
            "CN=" + name,
            "CN=" + name,
            keys.getPublic(),
            keys.getPrivate(),
            days(line, "3650"),
            true);
    write(with(stem, ".key"), Pem.text("PRIVATE KEY", keys.getPrivate().getEncoded()), true);
    write(with(stem, ".crt"), Pem.text("CERTIFICATE", made), false);
    out.println(stem + ".crt: " + made.length + " bytes");
  }

  private void key(CommandLine line) throws ParseException, IOException, GeneralSecurityException {
    String stem = needed(line, "out");
    KeyPair keys = pair();
    write(with(stem, ".key"), Pem.text("PRIVATE KEY", keys.getPrivate().getEncoded()), true);
    write(with(stem, ".pub"), Pem.text("PUBLIC KEY", keys.getPublic().getEncoded()), false);
    out.println(stem + ".key, " + stem + ".pub");
  }

  private void sign(CommandLine line)
      throws ParseException, IOException, GeneralSecurityException, OperatorCreationException {
    String ca = needed(line, "ca");
    String name = name(line);
    KeyFactory keys = KeyFactory.getInstance(NodeIdentity.ALGORITHM);
    PrivateKey by =
        keys.generatePrivate(new PKCS8EncodedKeySpec(Pem.readPrivate(with(ca, ".key"))));
    X509Certificate authority = NodeIdentity.certificate(Pem.read(with(ca, ".crt"), "CERTIFICATE"));
    PublicKey of =
        keys.generatePublic(
            new X509EncodedKeySpec(Pem.read(Path.of(needed(line, "public")), "PUBLIC KEY")));
    byte[] made =
        issue(
            "CN=" + NodeIdentity.commonName(authority),
            "CN=" + name,
            of,
            by,
            days(line, "365"),
            false);
    write(Path.of(needed(line, "out")), Pem.text("CERTIFICATE", made), false);
    out.println(needed(line, "out") + ": " + name + ", " + made.length + " bytes");
  }

  /** As small as X.509 allows: each first datagram to a peer carries one. */
  private static byte[] issue(
      String issuer, String subject, PublicKey of, PrivateKey by, Duration time, boolean authority)
      throws IOException, OperatorCreationException {
    Instant from = WallClock.instant().minus(BACKDATED);
    X509v3CertificateBuilder builder =
        new X509v3CertificateBuilder(
            new X500Name(issuer),
            new BigInteger(SERIAL_BYTES * Byte.SIZE - 1, new SecureRandom()),
            Date.from(from),
            Date.from(from.plus(BACKDATED).plus(time)),
            new X500Name(subject),
            SubjectPublicKeyInfo.getInstance(of.getEncoded()));
    if (authority) {
      builder.addExtension(Extension.basicConstraints, true, new BasicConstraints(0));
    }
    return builder
        .build(new JcaContentSignerBuilder(NodeIdentity.ALGORITHM).build(by))
        .getEncoded();
  }

  private void show(CommandLine line) throws ParseException, IOException, GeneralSecurityException {
    X509Certificate c = certificate(needed(line, "certificate"));
    out.println("name       " + NodeIdentity.commonName(c));
    out.println("authority  " + c.getIssuerX500Principal().getName());
    out.println("serial     " + NodeIdentity.serial(c));
    out.println(
        "valid      " + c.getNotBefore().toInstant() + " to " + c.getNotAfter().toInstant());
    out.println("bytes      " + c.getEncoded().length);
  }

  private static X509Certificate certificate(String file)
      throws IOException, GeneralSecurityException {
    return NodeIdentity.certificate(Pem.read(Path.of(file), "CERTIFICATE"));
  }

  private void revoke(CommandLine line)
      throws ParseException, IOException, GeneralSecurityException {
    X509Certificate c = certificate(needed(line, "certificate"));
    Path list = Path.of(needed(line, "list"));
    Files.writeString(
        list,
        NodeIdentity.serial(c) + "  # " + NodeIdentity.commonName(c) + "\n",
        StandardOpenOption.CREATE,
        StandardOpenOption.APPEND);
    out.println(
        list
            + ": "
            + NodeIdentity.commonName(c)
            + " is taken back once the instances have read it again");
  }

  private void status(CommandLine line)
      throws ParseException, IOException, GeneralSecurityException {
    String[] address = needed(line, "address").split(":");
    if (address.length != 2 || !address[0].matches("[0-9.]+") || !address[1].matches("\\d{1,5}")) {
      throw new ParseException("--address: is not of the form 10.0.0.1:7946");
    }
    InetSocketAddress at = new InetSocketAddress(address[0], Integer.parseInt(address[1]));
    out.print(
        StatusClient.ask(
            at,
            needed(line, "cluster"),
            Path.of(needed(line, "key")),
            Path.of(needed(line, "certificate")),
            Path.of(needed(line, "authority"))));
  }
}
