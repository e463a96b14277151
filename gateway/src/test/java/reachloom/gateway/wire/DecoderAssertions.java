package reachloom.gateway.wire;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.function.Function;
import java.util.function.Supplier;

/** Decodes a stream in one piece, byte by byte and split at every position. */
final class DecoderAssertions {
  private DecoderAssertions() {}

  /** Asserts that the messages are the same however the stream is split, and returns them. */
  static <M, V> List<V> decodeInAnySplit(
      byte[] stream, Supplier<Decoder<M>> decoders, Function<M, V> view) {
    List<V> complete = new ArrayList<>();
    assertNull(decoders.get().feed(stream, 0, stream.length, m -> complete.add(view.apply(m))));
    for (int split = 0; split <= stream.length; split++) {
      List<V> decoded = new ArrayList<>();
      Decoder<M> decoder = decoders.get();
      assertNull(decoder.feed(stream, 0, split, m -> decoded.add(view.apply(m))));
      assertNull(decoder.feed(stream, split, stream.length, m -> decoded.add(view.apply(m))));
      assertEquals(complete, decoded, "split at " + split);
    }
    List<V> single = new ArrayList<>();
    Decoder<M> decoder = decoders.get();
    for (int i = 0; i < stream.length; i++) {
      assertNull(decoder.feed(stream, i, i + 1, m -> single.add(view.apply(m))));
    }
    assertEquals(complete, single);
    return complete;
  }

  /** Returns the fault that a decoder reports for a stream, or null for none. */
  static <M> String faultOf(byte[] stream, Decoder<M> decoder) {
    return decoder.feed(stream, 0, stream.length, m -> {});
  }

  /** Returns all parts in one array. */
  static byte[] concat(byte[]... parts) {
    int length = Arrays.stream(parts).mapToInt(p -> p.length).sum();
    byte[] all = new byte[length];
    int at = 0;
    for (byte[] p : parts) {
      System.arraycopy(p, 0, all, at, p.length);
      at += p.length;
    }
    return all;
  }
}
