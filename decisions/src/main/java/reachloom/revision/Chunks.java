package reachloom.revision;

import java.util.Arrays;

/** How a document or a delta is cut into chunks, each of which fits one packet. */
final class Chunks {
  /** Bytes of a chunk: what a packet has room for beside a certificate and the longest names. */
  static final int CHUNK_BYTES = 640;

  /** Chunks that answer one request: a document of the usual size takes one or two round trips. */
  static final int WINDOW = 6;

  /** Chunks of the largest document. */
  static final int MAX_CHUNKS = count(Revision.MAX_DOCUMENT_BYTES);

  private Chunks() {}

  /** How many chunks so many bytes are cut into; an empty document has one, which is empty. */
  static int count(int bytes) {
    return Math.max(1, (bytes + CHUNK_BYTES - 1) / CHUNK_BYTES);
  }

  /** The chunk with that index, from 0. */
  static byte[] slice(byte[] bytes, int index) {
    int from = index * CHUNK_BYTES;
    return Arrays.copyOfRange(bytes, from, Math.min(bytes.length, from + CHUNK_BYTES));
  }
}
