package reachloom.gateway.wire;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import reachloom.config.EngineMember;
import reachloom.config.GatewayConfig;
import reachloom.gateway.wire.EndpointListEvent.Kind;
import reachloom.scheduler.api.EngineEndpoint;
import reachloom.scheduler.api.EngineState;

/**
 * Decodes the frames of the change log: a length, the number of the event, the kind of the frame,
 * and a record for each engine, all big-endian. Not thread-safe: each connection has its own
 * decoder.
 */
public final class ChangeLogDecoder implements Decoder<EndpointListEvent> {
  private static final int HEADER_BYTES = Long.BYTES + 1;
  private static final int RECORD_BYTES = 27;
  private static final int MAX_RECORDS = 16_384;

  /** The kinds of frames by their numbers in the protocol. */
  private static final List<Kind> KINDS = List.of(Kind.HEARTBEAT, Kind.COMPLETE_LIST, Kind.CHANGES);

  private static final byte STATE_UP = 0;
  private static final byte STATE_REMOVED = 2;
  private static final int LOW_BYTE = 0xff;
  private static final int LOW_SHORT = 0xffff;
  private static final long LOW_INT = 0xffffffffL;
  private static final long NANOS_PER_MILLISECOND = 1_000_000;

  private final FrameDecoder frames =
      new FrameDecoder(HEADER_BYTES, HEADER_BYTES + RECORD_BYTES * MAX_RECORDS);
  private final int zoneCount;
  private final int engineKindCount;

  /** Why the stream can't be decoded any further; null while it can. */
  private String fault;

  /**
   * Creates a decoder.
   *
   * @param zoneCount the number of zones in the settings; a record with another zone is a fault
   * @param engineKindCount the number of kinds of engines in the settings; a record with another
   *     kind is a fault
   */
  public ChangeLogDecoder(int zoneCount, int engineKindCount) {
    this.zoneCount = zoneCount;
    this.engineKindCount = engineKindCount;
  }

  /** Encodes the first message of a client: the number of its last event, 0 for none. */
  public static ByteBuffer hello(long lastEventNumber) {
    return ByteBuffer.allocate(Long.BYTES).putLong(lastEventNumber).flip();
  }

  @Override
  public boolean partial() {
    return frames.partial();
  }

  @Override
  public String feed(byte[] bytes, int from, int to, Consumer<? super EndpointListEvent> messages) {
    String frameFault = frames.feed(bytes, from, to, frame -> decode(frame, messages));
    return fault != null ? fault : frameFault;
  }

  /** Decodes a frame and passes its event on; frames after a malformed one are ignored. */
  private void decode(byte[] bytes, Consumer<? super EndpointListEvent> messages) {
    if (fault != null) {
      return;
    }
    ByteBuffer frame = ByteBuffer.wrap(bytes);
    long number = frame.getLong();
    int kindNumber = frame.get() & LOW_BYTE;
    if (!isWellFormed(kindNumber, frame.remaining())) {
      fault = "a frame of kind " + kindNumber + " with " + frame.remaining() + " bytes of records";
      return;
    }
    List<EngineMember> members = new ArrayList<>(frame.remaining() / RECORD_BYTES);
    while (frame.hasRemaining() && fault == null) {
      decodeRecord(frame, members);
    }
    if (fault == null) {
      messages.accept(new EndpointListEvent(number, KINDS.get(kindNumber), members));
    }
  }

  private static boolean isWellFormed(int kindNumber, int recordBytes) {
    return kindNumber < KINDS.size()
        && (KINDS.get(kindNumber) != Kind.HEARTBEAT || recordBytes == 0)
        && recordBytes % RECORD_BYTES == 0;
  }

  private void decodeRecord(ByteBuffer record, List<EngineMember> members) {
    String name = String.format("s-%08x", record.getInt());
    byte[] address = new byte[Integer.BYTES];
    record.get(address);
    int port = record.getShort() & LOW_SHORT;
    EngineState state = state(record.get());
    int zone = record.get() & LOW_BYTE;
    int kind = record.get() & LOW_BYTE;
    if (zone >= zoneCount || kind >= engineKindCount) {
      fault = "engine " + name + " of unknown zone " + zone + " or kind " + kind;
      return;
    }
    int cell = record.getShort() & LOW_SHORT;
    double weight = GatewayConfig.weight(record.getInt() & LOW_INT);
    long incarnation = record.getLong() * NANOS_PER_MILLISECOND;
    EngineEndpoint endpoint =
        new EngineEndpoint(name, state, kind, zone, cell, weight, incarnation);
    try {
      InetAddress host = InetAddress.getByAddress(address);
      members.add(new EngineMember(endpoint, new InetSocketAddress(host, port)));
    } catch (UnknownHostException e) { // unreachable: four bytes are always an address
      fault = "engine " + name + " with an invalid address";
    }
  }

  /**
   * Returns the state with that number; an unknown state counts as draining, so that no new
   * requests are sent.
   */
  private static EngineState state(byte number) {
    return switch (number) {
      case STATE_UP -> EngineState.UP;
      case STATE_REMOVED -> EngineState.REMOVED;
      default -> EngineState.DRAINING;
    };
  }
}
