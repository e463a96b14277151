package reachloom.revision;

import java.util.Arrays;

/** Splits a document or a delta into chunks that fit into one packet each. */
final class Chunks {
  /** Size of a chunk: the room in a packet beside a certificate and the longest names. */
  static final int CHUNK_BYTES = 640;

  /** Chunks per request: a document of the usual size takes one or two round trips. */
  static final int WINDOW = 6;

  /** Number of chunks of the largest document. */
  static final int MAX_CHUNKS = count(Revision.MAX_DOCUMENT_BYTES);

  private Chunks() {}

  /** Returns the number of chunks of that many bytes; an empty document has one empty chunk. */
  static int count(int bytes) {
    return Math.max(1, (bytes + CHUNK_BYTES - 1) / CHUNK_BYTES);
  }

  /** Returns the chunk with that index, from 0. */
  static byte[] slice(byte[] bytes, int index) {
    int from = index * CHUNK_BYTES;
    return Arrays.copyOfRange(bytes, from, Math.min(bytes.length, from + CHUNK_BYTES));
  }
}
