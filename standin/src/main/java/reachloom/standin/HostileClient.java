package reachloom.standin;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLong;

/**
 * A client that sends as fast as its connection accepts, until it is closed. It connects again when
 * the gateway ends its connection. Its requests have ids of their own, which begin with {@link
 * #ID_PREFIX}.
 */
public final class HostileClient implements AutoCloseable {
  /** The first hexadecimal digits of the ids of all requests of these clients. */
  public static final String ID_PREFIX = "bad";

  private static final int BATCH_MESSAGES = 64;
  private static final int SOCKET_TIMEOUT_MS = 5_000;
  private static final int READ_BYTES = 64 * 1024;
  private static final int PIECE_INTERVAL_MS = 20;
  private static final int LARGE_STATEMENT_BYTES = 60_000;
  private static final int FLOOD_STATEMENT_BYTES = 1_500;
  private static final int FLOOD_REQUESTS = 400;
  private static final int SHORT_FIELDS = 4_000;
  private static final AtomicLong LAST_ID = new AtomicLong(System.nanoTime());

  /** What a hostile client sends. */
  public enum Behavior {
    /** Readiness checks; reads the responses. */
    CHECKS,
    /** Readiness checks; never reads. */
    UNREAD_CHECKS,
    /** Requests without a class; reads the responses. */
    UNSOUND_REQUESTS,
    /** Calls of unknown methods; reads the responses. */
    UNKNOWN_METHODS,
    /** Interrupts of calls that do not exist. */
    INTERRUPTS,
    /** Requests with new ids, each interrupted at once; reads the responses. */
    INTERRUPTED_REQUESTS,
    /** A batch of new requests, then their interrupts; reads the responses. */
    INTERRUPTED_BATCHES,
    /** Requests that all have the same id; reads the responses. */
    REPEATED_ID,
    /** Bytes that are no message, on a new connection each time. */
    GARBAGE,
    /** Many requests in one write, then closes without reading, and connects again. */
    FLOOD_AND_LEAVE,
    /** Half of a large request, then nothing. */
    HALF_REQUEST,
    /** A large request, a byte at a time. */
    SLOW_REQUEST,
    /** Requests of very many short fields; reads the responses. */
    MANY_FIELDS;

    private boolean reads() {
      return switch (this) {
        case UNREAD_CHECKS, FLOOD_AND_LEAVE, HALF_REQUEST, SLOW_REQUEST -> false;
        default -> true;
      };
    }
  }

  private final InetSocketAddress gateway;
  private final Behavior behavior;
  private final Map<String, String> fields;
  private final AtomicLong sentBytes = new AtomicLong();
  private volatile Socket socket;
  private volatile boolean closed;
  private int sequence;

  /**
   * Starts a client.
   *
   * @param fields the fields of a sound request, but for its id
   */
  public HostileClient(InetSocketAddress gateway, Behavior behavior, Map<String, String> fields) {
    this.gateway = gateway;
    this.behavior = behavior;
    this.fields = new LinkedHashMap<>(fields);
    FakeEngine.daemon(this::run);
  }

  /** Returns the number of bytes that the connections have accepted. */
  public long sentBytes() {
    return sentBytes.get();
  }

  private void run() {
    while (!closed) {
      try (Socket connection = new Socket()) {
        socket = connection;
        connection.connect(gateway, SOCKET_TIMEOUT_MS);
        if (behavior.reads()) {
          FakeEngine.daemon(() -> readAll(connection));
        }
        send(connection);
      } catch (IOException e) {
        pause(1); // the gateway has ended the connection, or is not there
      }
    }
  }

  private static void readAll(Socket connection) {
    byte[] bytes = new byte[READ_BYTES];
    try {
      InputStream in = connection.getInputStream();
      while (in.read(bytes) >= 0) {
        // only so that the gateway can write
      }
      connection.close();
    } catch (IOException e) {
      // the connection has ended
    }
  }

  private void send(Socket connection) throws IOException {
    sequence = 0;
    switch (behavior) {
      case GARBAGE -> write(connection, new byte[] {0x7f, -1, -1, 0, 1, 2, 3});
      case FLOOD_AND_LEAVE -> write(connection, flood());
      case HALF_REQUEST -> {
        byte[] request = largeRequest();
        write(connection, Arrays.copyOf(request, request.length / 2));
        awaitEnd(connection);
      }
      case SLOW_REQUEST -> sendSlowly(connection);
      default -> {
        while (!closed) {
          write(connection, batch());
        }
      }
    }
  }

  private void write(Socket connection, byte[] bytes) throws IOException {
    connection.getOutputStream().write(bytes);
    sentBytes.addAndGet(bytes.length);
  }

  private void awaitEnd(Socket connection) throws IOException {
    while (!closed && connection.getInputStream().read() >= 0) {
      // responses are of no interest
    }
  }

  private void sendSlowly(Socket connection) throws IOException {
    for (byte next : largeRequest()) {
      if (closed) {
        return;
      }
      write(connection, new byte[] {next});
      pause(PIECE_INTERVAL_MS);
    }
  }

  private byte[] batch() {
    ByteArrayOutputStream all = new ByteArrayOutputStream();
    int first = sequence + 1;
    for (int i = 0; i < BATCH_MESSAGES; i++) {
      switch (behavior) {
        case CHECKS, UNREAD_CHECKS -> add(all, ThriftMessages.check(++sequence));
        case UNKNOWN_METHODS -> add(all, ThriftMessages.unknown(++sequence));
        case INTERRUPTS -> add(all, ThriftMessages.interrupt(++sequence, -1));
        case INTERRUPTED_REQUESTS -> {
          add(all, request(newId(), "select 1"));
          add(all, ThriftMessages.interrupt(++sequence, sequence - 1));
        }
        case REPEATED_ID -> add(all, request(ID_PREFIX + "0000000000000", "select 1"));
        case MANY_FIELDS -> add(all, ThriftMessages.fields(++sequence, SHORT_FIELDS));
        case UNSOUND_REQUESTS -> add(all, unsoundRequest());
        default -> add(all, request(newId(), "select 1"));
      }
    }
    if (behavior == Behavior.INTERRUPTED_BATCHES) {
      for (int target = first; target < first + BATCH_MESSAGES; target++) {
        add(all, ThriftMessages.interrupt(++sequence, target));
      }
    }
    return all.toByteArray();
  }

  private byte[] flood() {
    ByteArrayOutputStream all = new ByteArrayOutputStream();
    for (int i = 0; i < FLOOD_REQUESTS; i++) {
      add(all, request(newId(), "select '" + "x".repeat(FLOOD_STATEMENT_BYTES) + "'"));
    }
    return all.toByteArray();
  }

  private byte[] largeRequest() {
    ByteBuffer request = request(newId(), "select '" + "x".repeat(LARGE_STATEMENT_BYTES) + "'");
    return Arrays.copyOf(request.array(), request.limit());
  }

  private ByteBuffer request(String id, String statement) {
    Map<String, String> all = new LinkedHashMap<>(fields);
    all.put("txn", id);
    return ThriftMessages.execute(++sequence, all, statement);
  }

  private ByteBuffer unsoundRequest() {
    Map<String, String> all = new LinkedHashMap<>(fields);
    all.put("txn", newId());
    all.remove("verb");
    return ThriftMessages.execute(++sequence, all, "select 1");
  }

  private static String newId() {
    return ID_PREFIX + String.format("%016x", LAST_ID.incrementAndGet()).substring(3);
  }

  private static void add(ByteArrayOutputStream all, ByteBuffer message) {
    all.write(message.array(), 0, message.limit());
  }

  private static void pause(long milliseconds) {
    try {
      Thread.sleep(milliseconds);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  @Override
  public void close() throws IOException {
    closed = true;
    Socket open = socket;
    if (open != null) {
      open.close();
    }
  }
}
