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
import reachloom.scheduler.api.EngineEndpoint;
import reachloom.scheduler.api.EngineState;

/** Frames of the change log. */
public final class ChangeLogDecoder implements Decoder<EndpointListEvent> {
  private static final int HEAD = Long.BYTES + 1;
  private static final int RECORD = 27;
  private static final int MAX_RECORDS = 16_384;
  private static final int NOTHING = 0;
  private static final int WHOLE = 1;
  private static final int CHANGES = 2;
  private static final int LOW_BYTE = 0xff;
  private static final int LOW_SHORT = 0xffff;
  private static final long MILLISECOND = 1_000_000; // nanoseconds

  private final FrameDecoder frames = new FrameDecoder(HEAD, HEAD + RECORD * MAX_RECORDS);
  private final int zones;
  private final int kinds;
  private String fault;

  /** A decoder that knows how many zones and kinds the settings list. */
  public ChangeLogDecoder(int zones, int kinds) {
    this.zones = zones;
    this.kinds = kinds;
  }

  /** What a client writes first: the number of the last event that it has. */
  public static ByteBuffer hello(long last) {
    return ByteBuffer.allocate(Long.BYTES).putLong(last).flip();
  }

  @Override
  public boolean partial() {
    return frames.partial();
  }

  @Override
  public String feed(byte[] bytes, int from, int to, Consumer<? super EndpointListEvent> messages) {
    String broken =
        frames.feed(
            bytes,
            from,
            to,
            f -> {
              EndpointListEvent change = fault == null ? change(ByteBuffer.wrap(f)) : null;
              if (change != null) {
                messages.accept(change);
              }
            });
    return fault != null ? fault : broken;
  }

  private EndpointListEvent change(ByteBuffer frame) {
    long number = frame.getLong();
    int kind = frame.get() & LOW_BYTE;
    if (kind > CHANGES
        || kind == NOTHING && frame.hasRemaining()
        || frame.remaining() % RECORD != 0) {
      fault = "a frame of kind " + kind + " with " + frame.remaining() + " bytes";
      return null;
    }
    List<EngineMember> members = new ArrayList<>(frame.remaining() / RECORD);
    while (frame.hasRemaining() && fault == null) {
      members.add(member(frame));
    }
    return fault == null
        ? new EndpointListEvent(number, kind == NOTHING, kind == WHOLE, members)
        : null;
  }

  private EngineMember member(ByteBuffer record) {
    String id = String.format("s-%08x", record.getInt());
    byte[] address = new byte[Integer.BYTES];
    record.get(address);
    int port = record.getShort() & LOW_SHORT;
    // A state not known here reads as draining: nothing new is sent.
    EngineState state =
        switch (record.get()) {
          case 0 -> EngineState.UP;
          case 2 -> EngineState.REMOVED;
          default -> EngineState.DRAINING;
        };
    int zone = record.get() & LOW_BYTE;
    int kind = record.get() & LOW_BYTE;
    if (zone >= zones || kind >= kinds) {
      fault = "engine " + id + " of zone " + zone + " and kind " + kind;
      return null;
    }
    int cell = record.getShort() & LOW_SHORT;
    double weight = GatewayConfig.weight(record.getInt() & 0xffffffffL);
    EngineEndpoint info =
        new EngineEndpoint(id, state, kind, zone, cell, weight, record.getLong() * MILLISECOND);
    try {
      return new EngineMember(info, new InetSocketAddress(InetAddress.getByAddress(address), port));
    } catch (UnknownHostException e) { // four bytes are always an address
      fault = "engine " + id + " without an address";
      return null;
    }
  }
}
