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
 * {@code reachloom revision}: makes an issuer's store, runs an issuer of the configuration, checks
 * documents and hands them to it.
 */
public final class RevisionTool {
  private static final int OK = 0;
  private static final int FAILED = 1;
  private static final int BAD_USAGE = 2;
  private static final int NOT_EVERYWHERE = 3;
  private static final int USAGE_COLUMNS = 100;

  /** An issuer reports a result within 8 s and a part of one, or it is not there. */
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
   * @return the exit status: 0 for done, 1 for failed, 2 for wrong options or files, 3 where a
   *     revision is issued and not in force everywhere in time
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
                "its directory, made for an issuer that has never taken part"));
    all.put(
        "serve",
        new Options()
            .addOption(null, "settings", true, "the issuer's settings (XML)")
            .addOption(null, "store", true, "its directory"));
    all.put(
        "check",
        new Options()
            .addOption(null, "document", true, "what is to be issued (JSON)")
            .addOption(null, "like", true, "a gateway's configuration that it is tried on"));
    all.put(
        "issue",
        new Options()
            .addOption(null, "store", true, "the issuer's directory, on this machine")
            .addOption(null, "document", true, "what is to be issued (JSON)")
            .addOption(null, "like", true, "a gateway's configuration that it is tried on first")
            .addOption(
                null, "wait", true, "seconds to wait until it is in force everywhere (0: don't)"));
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
        throw new ParseException("Unrecognized word: " + line.getArgList().get(0));
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
    GossipSettings s = IssuerServer.readSettings(required(line, "settings"));
    String name = NodeIdentity.read(s).name();
    FileStore.create(store, name, s.cluster()).close();
    out.println(
        store + ": issuer " + name + " of " + s.cluster() + " may take part from revision 1 on");
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

  /** The document's bytes once it could be put in force, as far as can be told here. */
  private byte[] checked(CommandLine line) throws ParseException, ConfigException, IOException {
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
        List<String> later =
            GatewayConfig.fromEnvironment(like)
                .changesNeedingRestart(GatewayConfig.fromEnvironment(like, patch::applyTo));
        later.forEach(k -> out.println(k + ": takes effect at a gateway's next start only"));
      }
    } catch (ConfigException e) {
      throw new ConfigException(file + ": " + e.getMessage());
    }
    return document;
  }

  private int check(CommandLine line) throws ParseException, ConfigException, IOException {
    byte[] document = checked(line);
    out.println(line.getOptionValue("document") + ": good, " + document.length + " bytes");
    return OK;
  }

  private int issue(CommandLine line)
      throws ParseException, ConfigException, IOException, InterruptedException {
    Path store = Path.of(required(line, "store"));
    long wait = seconds(line.getOptionValue("wait", "0"));
    byte[] document = checked(line);
    SpoolClient spool = new SpoolClient(store);
    if (!Files.isDirectory(spool.inbox())) {
      throw new ConfigException(
          spool.inbox() + ": is not there; has an issuer been started with this store?");
    }
    String name = spool.submit(document);
    Optional<SpoolResult> result = spool.awaitResult(name, RESULT_TIMEOUT);
    if (result.isEmpty()) {
      err.println(
          "reachloom revision issue: no result after "
              + RESULT_TIMEOUT.toSeconds()
              + " s: "
              + (spool.withdraw(name)
                  ? "no issuer runs with " + store + "; the document is taken back"
                  : "the issuer has taken the document; its log, and its status, tell what becomes of it"));
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
        (System.nanoTime() > deadlineNanos ? "after " + seconds + " s: " : "")
            + status
            + (status.members() == 0 ? "; no member is known" : ""));
    return NOT_EVERYWHERE;
  }
}
