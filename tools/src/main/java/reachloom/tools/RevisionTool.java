package reachloom.tools;

import java.io.IOException;
import java.io.PrintStream;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.HelpFormatter;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import reachloom.config.ConfigException;
import reachloom.config.GatewayConfig;
import reachloom.config.GossipSettings;
import reachloom.config.MergePatch;
import reachloom.gossip.net.NodeIdentity;
import reachloom.revision.Revision;
import reachloom.revision.net.FileStore;
import reachloom.revision.net.IssuerServer;
import reachloom.revision.net.RolloutStatus;
import reachloom.revision.net.SpoolClient;
import reachloom.revision.net.SpoolResult;
import reachloom.revision.net.StoreException;
import sun.misc.Signal;

/**
 * The command {@code reachloom revision}: creates an issuer's store, runs an issuer of the
 * configuration, checks documents, and submits them to an issuer.
 */
public final class RevisionTool {
  private static final int OK = 0;
  private static final int FAILED = 1;
  private static final int BAD_USAGE = 2;
  private static final int NOT_IN_FORCE_EVERYWHERE = 3;
  private static final int USAGE_COLUMNS = 100;

  /**
   * A running issuer reports a result within 8 s (the timeout of {@code ProposalQueue}) plus a
   * fraction of a second for its polls; without one by this time, no issuer is running.
   */
  private static final Duration RESULT_TIMEOUT = Duration.ofSeconds(15);

  private static final Duration STOP_TIMEOUT = Duration.ofSeconds(10);
  private static final int MAX_WAIT_SECONDS = 86_400;

  private final PrintStream out;
  private final PrintStream err;

  private RevisionTool(PrintStream out, PrintStream err) {
    this.out = out;
    this.err = err;
  }

  /**
   * Runs one command.
   *
   * @param args the command and its options
   * @return the exit status: 0 for success, 1 for failure, 2 for invalid options, files or stores,
   *     3 if a revision is issued but not in force everywhere when the wait ends: at its timeout,
   *     or once all members that lack the revision have refused it
   */
  public static int run(String[] args, PrintStream out, PrintStream err) {
    return new RevisionTool(out, err).run(args);
  }

  private static Map<String, Options> commands() {
    Map<String, Options> all = new LinkedHashMap<>();
    all.put(
        "init",
        new Options()
            .addOption(null, "settings", true, "the issuer's settings (XML)")
            .addOption(
                null,
                "store",
                true,
                "the issuer's directory, created for an issuer that has never promised or voted"));
    all.put(
        "serve",
        new Options()
            .addOption(null, "settings", true, "the issuer's settings (XML)")
            .addOption(null, "store", true, "the issuer's directory"));
    all.put(
        "check",
        new Options()
            .addOption(null, "document", true, "the document to issue (JSON)")
            .addOption(null, "like", true, "a gateway's configuration to test the document with"));
    all.put(
        "issue",
        new Options()
            .addOption(null, "store", true, "the issuer's directory, on this machine")
            .addOption(null, "document", true, "the document to issue (JSON)")
            .addOption(
                null, "like", true, "a gateway's configuration to test the document with first")
            .addOption(
                null,
                "wait",
                true,
                "seconds to wait until it is in force everywhere (0: do not wait)"));
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
                  .printHelp(to, USAGE_COLUMNS, "reachloom revision " + name, "", o, 1, 2, ""));
      to.flush();
      return help ? OK : BAD_USAGE;
    }
    try {
      CommandLine line =
          new DefaultParser().parse(options, Arrays.copyOfRange(args, 1, args.length));
      if (!line.getArgList().isEmpty()) {
        throw new ParseException("Unexpected argument: " + line.getArgList().get(0));
      }
      return switch (args[0]) {
        case "init" -> init(line);
        case "serve" -> serve(line);
        case "check" -> check(line);
        default -> issue(line);
      };
    } catch (ParseException | ConfigException | StoreException e) {
      err.println("reachloom revision " + args[0] + ": " + e.getMessage());
      return BAD_USAGE;
    } catch (IOException e) {
      err.println("reachloom revision " + args[0] + ": " + e);
      return FAILED;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return FAILED;
    }
  }

  private static String required(CommandLine line, String option) throws ParseException {
    String value = line.getOptionValue(option, "");
    if (value.isBlank()) {
      throw new ParseException("--" + option + ": is missing");
    }
    return value;
  }

  // ---- The issuer ----

  private int init(CommandLine line) throws ParseException, ConfigException, StoreException {
    Path store = Path.of(required(line, "store"));
    GossipSettings settings = IssuerServer.readSettings(required(line, "settings"));
    String name = NodeIdentity.read(settings).name();
    FileStore.create(store, name, settings.cluster()).close();
    out.println(
        store
            + ": created for issuer "
            + name
            + " of "
            + settings.cluster()
            + ", which may vote from revision 1 on");
    return OK;
  }

  private int serve(CommandLine line)
      throws ParseException, ConfigException, StoreException, IOException {
    IssuerServer server =
        new IssuerServer(required(line, "settings"), Path.of(required(line, "store")));
    Signal.handle(new Signal("HUP"), s -> server.reload());
    Thread stop =
        new Thread(
            () -> {
              Thread stopping =
                  new Thread(
                      () -> {
                        try {
                          server.stop();
                        } catch (InterruptedException e) {
                          Thread.currentThread().interrupt();
                        }
                      },
                      "stopping");
              stopping.setDaemon(true);
              stopping.start();
              try {
                stopping.join(STOP_TIMEOUT.toMillis());
              } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
              }
              Runtime.getRuntime().halt(stopping.isAlive() ? FAILED : OK);
            },
            "stop");
    Runtime.getRuntime().addShutdownHook(stop);
    server.run();
    return OK;
  }

  // ---- Documents ----

  /**
   * Reads the document and checks its form, and with {@code --like} that the configuration with it
   * is valid; then prints the keys that take effect only after a restart.
   */
  private byte[] readChecked(CommandLine line) throws ParseException, ConfigException, IOException {
    Path file = Path.of(required(line, "document"));
    long size = Files.size(file);
    if (size == 0 || size > Revision.MAX_DOCUMENT_BYTES) {
      throw new ConfigException(
          file + ": has " + size + " bytes; 1 to " + Revision.MAX_DOCUMENT_BYTES + " are allowed");
    }
    byte[] document = Files.readAllBytes(file);
    try {
      MergePatch patch = MergePatch.read(document);
      if (line.hasOption("like")) {
        Map<String, String> like = Map.of("LB_CONFIG", required(line, "like"));
        List<String> needingRestart =
            GatewayConfig.fromEnvironment(like)
                .changesNeedingRestart(GatewayConfig.fromEnvironment(like, patch::applyTo));
        needingRestart.forEach(
            key -> out.println(key + ": takes effect only after a restart of the gateway"));
      }
    } catch (ConfigException e) {
      throw new ConfigException(file + ": " + e.getMessage());
    }
    return document;
  }

  private int check(CommandLine line) throws ParseException, ConfigException, IOException {
    byte[] document = readChecked(line);
    out.println(line.getOptionValue("document") + ": valid, " + document.length + " bytes");
    return OK;
  }

  private int issue(CommandLine line)
      throws ParseException, ConfigException, IOException, InterruptedException {
    Path store = Path.of(required(line, "store"));
    long wait = seconds(line.getOptionValue("wait", "0"));
    byte[] document = readChecked(line);
    SpoolClient spool = new SpoolClient(store);
    if (!Files.isDirectory(spool.inbox())) {
      throw new ConfigException(
          spool.inbox() + ": does not exist; start an issuer with this store first");
    }
    String name = spool.submit(document);
    Optional<SpoolResult> result = spool.awaitResult(name, RESULT_TIMEOUT);
    if (result.isEmpty()) {
      err.println(
          "reachloom revision issue: no result after "
              + RESULT_TIMEOUT.toSeconds()
              + " s: "
              + (spool.withdraw(name)
                  ? "no issuer is running with " + store + "; the document is withdrawn"
                  : "the issuer has taken the document; its log and its status show the outcome"));
      return FAILED;
    }
    SpoolResult issued = result.get();
    if (!issued.isIssued()) {
      err.println("reachloom revision issue: " + issued.kind() + ": " + issued.text());
      return FAILED;
    }
    out.println(issued.text());
    return wait == 0 ? OK : awaitRollout(spool, issued.number(), wait);
  }

  private static long seconds(String text) throws ParseException {
    if (!text.matches("\\d{1,5}") || Integer.parseInt(text) > MAX_WAIT_SECONDS) {
      throw new ParseException(
          "--wait: '" + text + "' is not a whole number from 0 to " + MAX_WAIT_SECONDS);
    }
    return Long.parseLong(text);
  }

  private int awaitRollout(SpoolClient spool, long number, long seconds)
      throws IOException, InterruptedException {
    long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(seconds);
    RolloutStatus status = spool.awaitRollout(number, Duration.ofSeconds(seconds));
    if (status.number() >= number && status.isInForceEverywhere()) {
      out.println(status);
      return OK;
    }
    err.println(
        "reachloom revision issue: "
            + (System.nanoTime() > deadlineNanos ? "after " + seconds + " s: " : "")
            + status
            + (status.members() == 0 ? "; no member is known" : ""));
    return NOT_IN_FORCE_EVERYWHERE;
  }
}
