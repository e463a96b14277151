package reachloom.tools;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.PrintStream;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.UUID;
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
import reachloom.time.WallClock;
import sun.misc.Signal;

/** {@code reachloom revision}: runs an issuer of the configuration, and hands documents to it. */
public final class RevisionTool {
  private static final int OK = 0;
  private static final int FAILED = 1;
  private static final int BAD_USE = 2;
  private static final int NOT_EVERYWHERE = 3;
  private static final int COLUMNS = 100;
  private static final long LOOK_MS = 50;

  /** An issuer tells within 8 s and a part of one, or it is not there. */
  private static final long RESULT_MS = 15_000;

  private static final long STOP_S = 10;
  private static final int MAX_WAIT_S = 86_400;

  private final PrintStream out;
  private final PrintStream err;

  private RevisionTool(PrintStream out, PrintStream err) {
    this.out = out;
    this.err = err;
  }

  /** Runs one of its commands; gives the exit status. */
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
                  .printHelp(to, COLUMNS, "reachloom revision " + name, "", o, 1, 2, ""));
      to.flush();
      return help ? OK : BAD_USE;
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
    } catch (ParseException | ConfigException e) {
      err.println("reachloom revision " + args[0] + ": " + e.getMessage());
      return BAD_USE;
    } catch (IOException e) {
      err.println("reachloom revision " + args[0] + ": " + e);
      return FAILED;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
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

  // ---- The issuer ----

  private int init(CommandLine line) throws ParseException, ConfigException {
    Path store = Path.of(needed(line, "store"));
    GossipSettings s = IssuerServer.settings(needed(line, "settings"));
    String name = NodeIdentity.read(s).name();
    FileStore.create(store, name, s.cluster()).close();
    out.println(
        store + ": issuer " + name + " of " + s.cluster() + " may take part from revision 1 on");
    return OK;
  }

  private int serve(CommandLine line)
      throws ParseException, ConfigException, IOException, InterruptedException {
    IssuerServer server =
        new IssuerServer(needed(line, "settings"), Path.of(needed(line, "store")));
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
                stopping.join(TimeUnit.SECONDS.toMillis(STOP_S));
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
    Path file = Path.of(needed(line, "document"));
    long size = Files.size(file);
    if (size == 0 || size > Revision.MAX_DOCUMENT_BYTES) {
      throw new ConfigException(
          file + ": has " + size + " bytes; 1 to " + Revision.MAX_DOCUMENT_BYTES + " are allowed");
    }
    byte[] document = Files.readAllBytes(file);
    try {
      MergePatch patch = MergePatch.read(document);
      if (line.hasOption("like")) {
        Map<String, String> like = Map.of("LB_CONFIG", needed(line, "like"));
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
    Path store = Path.of(needed(line, "store"));
    long wait = seconds(line.getOptionValue("wait", "0"));
    byte[] document = checked(line);
    Path inbox = store.resolve("inbox");
    if (!Files.isDirectory(inbox)) {
      throw new ConfigException(
          inbox + ": is not there; has an issuer been started with this store?");
    }
    String name = WallClock.unixMillis() + "-" + UUID.randomUUID();
    Path given = inbox.resolve(name + ".json");
    Path unseen = inbox.resolve("." + name + ".next"); // seen whole or not at all
    Files.write(unseen, document);
    Files.move(unseen, given, StandardCopyOption.ATOMIC_MOVE);
    JsonNode result = result(store.resolve("outbox").resolve(name + ".result"));
    if (result == null) {
      err.println(
          "reachloom revision issue: no result after "
              + RESULT_MS / 1_000
              + " s: "
              + (Files.deleteIfExists(given)
                  ? "no issuer runs with " + store + "; the document is taken back"
                  : "the issuer has taken the document; its log, and its status, tell what becomes of it"));
      return FAILED;
    }
    String kind = result.path("kind").asText();
    if (!kind.equals("ISSUED")) {
      err.println("reachloom revision issue: " + kind + ": " + result.path("text").asText());
      return FAILED;
    }
    out.println(result.path("text").asText());
    return wait == 0
        ? OK
        : everywhere(store.resolve("status.json"), result.path("number").asLong(), wait);
  }

  private static long seconds(String text) throws ParseException {
    if (!text.matches("\\d{1,5}") || Integer.parseInt(text) > MAX_WAIT_S) {
      throw new ParseException(
          "--wait: '" + text + "' is not a whole number from 0 to " + MAX_WAIT_S);
    }
    return Long.parseLong(text);
  }

  /** The first result of a document, or null where none comes. */
  private static JsonNode result(Path file) throws IOException, InterruptedException {
    long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(RESULT_MS);
    while (!Files.exists(file)) {
      if (System.nanoTime() > until) {
        return null;
      }
      Thread.sleep(LOOK_MS);
    }
    return new ObjectMapper().readTree(Files.readAllBytes(file));
  }

  private int everywhere(Path status, long number, long wait)
      throws IOException, InterruptedException {
    long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(wait);
    while (true) {
      RolloutStatus p =
          Files.exists(status)
              ? RolloutStatus.read(new ObjectMapper().readTree(Files.readAllBytes(status)))
              : new RolloutStatus(0, 0, 0, 0, List.of(), 0);
      if (p.number() >= number && p.everywhere()) {
        out.println(p);
        return OK;
      }
      boolean over = System.nanoTime() > until;
      if (over || p.number() == number && p.settled()) {
        err.println(
            (over ? "after " + wait + " s: " : "")
                + p
                + (p.members() == 0 ? "; no member is known" : ""));
        return NOT_EVERYWHERE;
      }
      Thread.sleep(LOOK_MS);
    }
  }
}
