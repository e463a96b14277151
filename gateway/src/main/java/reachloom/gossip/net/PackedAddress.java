package reachloom.gossip.net;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;

/** Socket addresses as one number: an IPv4 address above 16 bits of port. No state, any thread. */
final class PackedAddress {
  private static final int IPV4_BYTES = 4;
  private static final int MAX_PORT = 0xffff;

  private PackedAddress() {}

  /** Packs a resolved address; of an IPv6 address the last four bytes. */
  static long pack(InetSocketAddress address) {
    byte[] ip = address.getAddress().getAddress();
    long packed = 0;
    for (int i = Math.max(0, ip.length - IPV4_BYTES); i < ip.length; i++) {
      packed = packed << Byte.SIZE | Byte.toUnsignedLong(ip[i]);
    }
    return packed << Short.SIZE | address.getPort();
  }

  /** Returns the address that was packed. */
  static InetSocketAddress unpack(long packed) {
    byte[] ip = new byte[IPV4_BYTES];
    long rest = packed >>> Short.SIZE;
    for (int i = IPV4_BYTES - 1; i >= 0; i--) {
      ip[i] = (byte) rest;
      rest >>>= Byte.SIZE;
    }
    try {
      return new InetSocketAddress(InetAddress.getByAddress(ip), (int) packed & MAX_PORT);
    } catch (UnknownHostException e) {
      throw new IllegalStateException("four bytes are an address", e);
    }
  }
}
