package reachloom.gossip.wire;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.BiConsumer;
import java.util.function.Function;
import java.util.function.ToIntFunction;
import java.util.stream.Collectors;
import reachloom.gossip.RejectionReason;
import reachloom.membership.MembershipMessage;

/**
 * Encodes and decodes membership messages: one byte for the kind, then the fields of that kind. The
 * table of {@link Format}s holds the number, size, writer and reader of each kind; a new message is
 * one more entry. Stateless and thread-safe.
 */
final class MembershipMessageCodec {
  private static final int KIND_BYTES = 1;

  /**
   * The wire format of one kind of message.
   *
   * @param kind its number, which is never assigned to another kind
   * @param type its class
   * @param fieldsSize computes the size of its fields in bytes, without the byte for the kind
   * @param writer writes its fields
   * @param reader reads its fields
   */
  private record Format<M extends MembershipMessage>(
      int kind,
      Class<M> type,
      ToIntFunction<M> fieldsSize,
      BiConsumer<ByteBuffer, M> writer,
      Function<ByteBuffer, M> reader) {

    int size(MembershipMessage message) {
      return KIND_BYTES + fieldsSize.applyAsInt(type.cast(message));
    }

    void put(ByteBuffer out, MembershipMessage message) {
      out.put((byte) kind);
      writer.accept(out, type.cast(message));
    }
  }

  private static final List<Format<?>> FORMATS =
      List.of(
          new Format<>(
              1,
              MembershipMessage.Ping.class,
              ping -> Long.BYTES + WireFields.textSize(ping.target()),
              (out, ping) -> WireFields.putText(out.putLong(ping.sequenceNumber()), ping.target()),
              in -> new MembershipMessage.Ping(in.getLong(), WireFields.readName(in))),
          new Format<>(
              2,
              MembershipMessage.Ack.class,
              ack -> Long.BYTES,
              (out, ack) -> out.putLong(ack.sequenceNumber()),
              in -> new MembershipMessage.Ack(in.getLong())),
          new Format<>(
              3,
              MembershipMessage.PingRequest.class,
              request ->
                  Long.BYTES + WireFields.textSize(request.target()) + WireFields.ADDRESS_BYTES,
              MembershipMessageCodec::putPingRequest,
              in ->
                  new MembershipMessage.PingRequest(
                      in.getLong(), WireFields.readName(in), WireFields.readAddress(in))),
          new Format<>(
              4,
              MembershipMessage.Nack.class,
              nack -> Long.BYTES,
              (out, nack) -> out.putLong(nack.sequenceNumber()),
              in -> new MembershipMessage.Nack(in.getLong())),
          new Format<>(
              5,
              MembershipMessage.SyncRequest.class,
              MembershipMessageCodec::syncRequestSize,
              MembershipMessageCodec::putSyncRequest,
              MembershipMessageCodec::readSyncRequest),
          new Format<>(
              6,
              MembershipMessage.SyncResponse.class,
              response -> 1 + MembershipUpdateCodec.size(response.updates()),
              MembershipMessageCodec::putSyncResponse,
              in ->
                  new MembershipMessage.SyncResponse(
                      in.get() != 0, MembershipUpdateCodec.readAll(in))),
          new Format<>(
              7,
              MembershipMessage.Leave.class,
              leave -> 0,
              (out, leave) -> {},
              in -> new MembershipMessage.Leave()),
          new Format<>(
              8,
              MembershipMessage.PayloadOnly.class,
              payloadOnly -> 0,
              (out, payloadOnly) -> {},
              in -> new MembershipMessage.PayloadOnly()),
          new Format<>(
              9,
              MembershipMessage.StatusRequest.class,
              request -> Short.BYTES,
              (out, request) -> out.putShort((short) request.page()),
              in -> new MembershipMessage.StatusRequest(Short.toUnsignedInt(in.getShort()))),
          new Format<>(
              10,
              MembershipMessage.StatusPage.class,
              page -> 3 * Short.BYTES + page.text().length(),
              MembershipMessageCodec::putStatusPage,
              MembershipMessageCodec::readStatusPage));

  private static final Map<Class<?>, Format<?>> BY_TYPE =
      FORMATS.stream().collect(Collectors.toUnmodifiableMap(Format::type, format -> format));

  private static final Map<Integer, Format<?>> BY_KIND =
      FORMATS.stream().collect(Collectors.toUnmodifiableMap(Format::kind, format -> format));

  private MembershipMessageCodec() {}

  /** Returns the size of a message in bytes, including its kind. */
  static int size(MembershipMessage message) {
    return BY_TYPE.get(message.getClass()).size(message);
  }

  /** Writes the kind of a message and then its fields. */
  static void put(ByteBuffer out, MembershipMessage message) {
    BY_TYPE.get(message.getClass()).put(out, message);
  }

  /**
   * Reads a message.
   *
   * @throws RejectedDatagramException with {@link RejectionReason#NONSENSE} for an unknown kind
   */
  static MembershipMessage read(ByteBuffer in) throws RejectedDatagramException {
    Format<?> format = BY_KIND.get((int) in.get());
    if (format == null) {
      throw new RejectedDatagramException(RejectionReason.NONSENSE);
    }
    return format.reader().apply(in);
  }

  private static void putPingRequest(ByteBuffer out, MembershipMessage.PingRequest request) {
    out.putLong(request.sequenceNumber());
    WireFields.putText(out, request.target());
    WireFields.putAddress(out, request.targetAddress());
  }

  private static int syncRequestSize(MembershipMessage.SyncRequest request) {
    return WireFields.textSize(request.afterName())
        + WireFields.textSize(request.lastName())
        + Integer.BYTES
        + Short.BYTES * request.digests().size();
  }

  private static void putSyncRequest(ByteBuffer out, MembershipMessage.SyncRequest request) {
    WireFields.putText(out, request.afterName());
    WireFields.putText(out, request.lastName());
    out.putInt(request.salt());
    request.digests().forEach(digest -> out.putShort(digest.shortValue()));
  }

  private static MembershipMessage.SyncRequest readSyncRequest(ByteBuffer in) {
    String afterName = WireFields.readName(in);
    String lastName = WireFields.readName(in);
    int salt = in.getInt();
    List<Integer> digests = new ArrayList<>();
    while (in.hasRemaining()) {
      digests.add(Short.toUnsignedInt(in.getShort()));
    }
    return new MembershipMessage.SyncRequest(afterName, lastName, salt, digests);
  }

  private static void putSyncResponse(ByteBuffer out, MembershipMessage.SyncResponse response) {
    out.put((byte) (response.truncated() ? 1 : 0));
    response.updates().forEach(update -> MembershipUpdateCodec.put(out, update));
  }

  private static void putStatusPage(ByteBuffer out, MembershipMessage.StatusPage page) {
    byte[] text = page.text().getBytes(StandardCharsets.US_ASCII);
    out.putShort((short) page.page())
        .putShort((short) page.pageCount())
        .putShort((short) text.length)
        .put(text);
  }

  /**
   * Reads a page of status text. It is printed on a terminal, so characters other than printable
   * ASCII and line feeds are replaced.
   */
  private static MembershipMessage.StatusPage readStatusPage(ByteBuffer in) {
    int page = Short.toUnsignedInt(in.getShort());
    int pageCount = Short.toUnsignedInt(in.getShort());
    byte[] bytes = new byte[Short.toUnsignedInt(in.getShort())];
    in.get(bytes);
    String text = new String(bytes, StandardCharsets.US_ASCII);
    return new MembershipMessage.StatusPage(
        page, pageCount, text.replaceAll("[^\\x20-\\x7e\n]", "?"));
  }
}
