package reachloom.gateway.wire;

import java.util.HashMap;
import java.util.Map;

/**
 * Decodes the messages of clients: Thrift's strict binary protocol, one message per frame. Unknown
 * fields are skipped. A malformed frame gives a value, {@link ClientCall.Broken}, never an
 * exception; announced sizes and nesting cost no more than the bytes of the frame.
 */
public final class ThriftReader {
  static final int VERSION = 0x8001;
  static final int CALL = 1;
  static final int ONEWAY = 4;
  static final int UNKNOWN_METHOD = 1;
  static final int PROTOCOL_ERROR = 7;

  static final int STOP = 0;
  static final int BOOL = 2;
  static final int BYTE = 3;
  static final int DOUBLE = 4;
  static final int I16 = 6;
  static final int I32 = 8;
  static final int I64 = 10;
  static final int STRING = 11;
  static final int STRUCT = 12;
  static final int MAP = 13;
  static final int SET = 14;
  static final int LIST = 15;

  private static final int MAX_NESTING = 32;
  private static final int MAX_NAME_BYTES = 64;
  private static final int MAX_FIELDS = 64;
  private static final int BYTE_MASK = 0xff;

  private final byte[] frame;
  private int position;

  /** Why the frame is malformed; null while it isn't. Once set, further reads return nothing. */
  private String fault;

  private ThriftReader(byte[] frame) {
    this.frame = frame;
  }

  /** Decodes the message in a frame. */
  public static ClientCall read(byte[] frame) {
    return new ThriftReader(frame).message();
  }

  private ClientCall message() {
    int head = i32();
    if (fault == null && head >>> Short.SIZE != VERSION) {
      fault = "no strict binary message";
    }
    int type = head & BYTE_MASK;
    String method = name();
    int seq = i32();
    if (fault == null && type != CALL && type != ONEWAY) {
      fault = "a message of type " + type;
    }
    if (fault != null) {
      return new ClientCall.Broken(fault);
    }
    ClientCall call =
        switch (method) {
          case "execute" -> execute(seq);
          case "interrupt" -> interrupt(seq);
          case "check" -> check(seq);
          default -> {
            skip(STRUCT, 0);
            yield new ClientCall.Unusable(seq, method, UNKNOWN_METHOD, "unknown method");
          }
        };
    if (fault == null && position != frame.length) {
      fault = (frame.length - position) + " bytes past the message";
    }
    return fault == null ? call : new ClientCall.Broken(fault);
  }

  private ClientCall execute(int seq) {
    Map<String, String> fields = null;
    Bytes body = null;
    for (int type = u8(); fault == null && type != STOP; type = u8()) {
      int id = i16();
      if (id == 1 && type == MAP) {
        fields = strings();
      } else if (id == 2 && type == STRING) {
        body = binary();
      } else {
        skip(type, 0);
      }
    }
    return fields == null || body == null
        ? protocolError(seq, "execute", "fields or body missing or of another type")
        : new ClientCall.Execute(seq, fields, body);
  }

  private ClientCall interrupt(int seq) {
    Integer target = null;
    for (int type = u8(); fault == null && type != STOP; type = u8()) {
      int id = i16();
      if (id == 1 && type == I32) {
        target = i32();
      } else {
        skip(type, 0);
      }
    }
    return target == null
        ? protocolError(seq, "interrupt", "seqid missing or of another type")
        : new ClientCall.Interrupt(seq, target);
  }

  private ClientCall check(int seq) {
    skip(STRUCT, 0);
    return new ClientCall.Check(seq);
  }

  private static ClientCall protocolError(int seq, String method, String why) {
    return new ClientCall.Unusable(seq, method, PROTOCOL_ERROR, why);
  }

  /** Reads a map of texts; returns null for another type of map or more than the allowed fields. */
  private Map<String, String> strings() {
    int keys = u8();
    int values = u8();
    int size = i32();
    boolean texts = keys == STRING && values == STRING;
    if (size != 0 && !texts || size > MAX_FIELDS) {
      skipPairs(keys, values, size, 0);
      return null;
    }
    Map<String, String> read = new HashMap<>();
    for (int i = 0; i < size && fault == null; i++) {
      String key = binary().text();
      read.put(key, binary().text());
    }
    return read;
  }

  private void skip(int type, int depth) {
    if (depth > MAX_NESTING) {
      fault = "nested too deeply";
    }
    if (fault != null) {
      return;
    }
    switch (type) {
      case BOOL, BYTE -> move(Byte.BYTES);
      case I16 -> move(Short.BYTES);
      case I32 -> move(Integer.BYTES);
      case I64, DOUBLE -> move(Long.BYTES);
      case STRING -> move(i32());
      case STRUCT -> {
        for (int field = u8(); fault == null && field != STOP; field = u8()) {
          i16();
          skip(field, depth + 1);
        }
      }
      case MAP -> {
        int keys = u8();
        int values = u8();
        skipPairs(keys, values, i32(), depth);
      }
      case SET, LIST -> {
        int element = u8();
        skipPairs(element, STOP, i32(), depth);
      }
      default -> fault = "a value of type " + type;
    }
  }

  /** Skips elements, or pairs if {@code second} is not STOP; each takes at least one byte. */
  private void skipPairs(int first, int second, int size, int depth) {
    if (size < 0 || size > frame.length - position) {
      fault = "a collection of " + size;
    }
    for (int i = 0; i < size && fault == null; i++) {
      skip(first, depth + 1);
      if (second != STOP) {
        skip(second, depth + 1);
      }
    }
  }

  private String name() {
    Bytes name = binary();
    if (fault == null && name.length() > MAX_NAME_BYTES) {
      fault = "a method name of " + name.length() + " bytes";
    }
    return fault == null ? name.text() : "";
  }

  private Bytes binary() {
    int length = i32();
    int from = position;
    move(length);
    return fault == null ? new Bytes(frame, from, length) : new Bytes(frame, 0, 0);
  }

  private int u8() {
    int from = position;
    return move(Byte.BYTES) ? frame[from] & BYTE_MASK : STOP;
  }

  private int i16() {
    return u8() << Byte.SIZE | u8();
  }

  private int i32() {
    return i16() << Short.SIZE | i16();
  }

  private boolean move(int count) {
    if (fault == null && (count < 0 || count > frame.length - position)) {
      fault = "ends within a value";
    }
    if (fault != null) {
      return false;
    }
    position += count;
    return true;
  }
}
