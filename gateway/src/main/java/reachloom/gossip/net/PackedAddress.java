package reachloom.gossip.net;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;

/**
 * Packs a socket address into one number: the IPv4 address, then 16 bits of port. Stateless and
 * thread-safe.
 */
final class PackedAddress {
  private static final int IPV4_BYTES = 4;
  private static final int MAX_PORT = 0xffff;

  private PackedAddress() {}

  /** Packs a resolved address; for an IPv6 address, only the last four bytes. */
  static long pack(InetSocketAddress address) {
    byte[] ip = address.getAddress().getAddress();
    long packed = 0;
    for (int i = Math.max(0, ip.length - IPV4_BYTES); i < ip.length; i++) {
      packed = packed << Byte.SIZE | Byte.toUnsignedLong(ip[i]);
    }
    return packed << Short.SIZE | address.getPort();
  }

  /** Returns the address that {@link #pack} packed. */
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
      throw new IllegalStateException("four bytes are always an IPv4 address", e);
    }
  }
}
