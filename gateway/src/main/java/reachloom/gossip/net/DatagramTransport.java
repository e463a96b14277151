package reachloom.gossip.net;

import java.io.IOException;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.nio.ByteBuffer;
import java.nio.channels.ClosedChannelException;
import java.nio.channels.DatagramChannel;
import java.security.GeneralSecurityException;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import reachloom.gossip.wire.GossipCodec;

/**
 * The UDP port: one thread reads and proves what comes, another signs and sends. What is proved
 * goes on to the loop; a flood costs these threads alone, and no more than the guard's budget.
 *
 * <p>Not on Apache MINA, which keeps a session for each remote address that a datagram names: with
 * addresses made up, that is memory for whoever sends.
 */
final class DatagramTransport {
  private static final Logger LOG = System.getLogger(DatagramTransport.class.getName());
  private static final int MAX_OUT = 256; // datagrams that wait to be signed
  private static final int SOCKET_BUFFER = 256 * 1024;

  private record Out(long address, byte[] unsigned) {}

  private static final Out LAST = new Out(0, new byte[0]);

  private final DatagramChannel channel;
  private final DatagramVerifier doorway;
  private final LongSupplier clock;
  private final Consumer<DatagramVerifier.Entered> entered;
  private final ArrayBlockingQueue<Out> out = new ArrayBlockingQueue<>(MAX_OUT);
  private final AtomicLong dropped = new AtomicLong();
  private final AtomicLong sent = new AtomicLong();
  private final AtomicLong sentBytes = new AtomicLong();
  private final AtomicLong received = new AtomicLong();
  private final AtomicLong receivedBytes = new AtomicLong();
  private final List<Thread> threads;
  private volatile NodeIdentity identity;

  DatagramTransport(
      InetSocketAddress listen,
      DatagramVerifier doorway,
      NodeIdentity identity,
      LongSupplier clock,
      Consumer<DatagramVerifier.Entered> entered)
      throws IOException {
    this.doorway = doorway;
    this.identity = identity;
    this.clock = clock;
    this.entered = entered;
    channel = DatagramChannel.open();
    channel.setOption(java.net.StandardSocketOptions.SO_RCVBUF, SOCKET_BUFFER);
    channel.bind(listen);
    threads = List.of(start("gossip in", this::read), start("gossip out", this::write));
  }

  private static Thread start(String name, Runnable work) {
    Thread t = new Thread(work, name);
    t.setDaemon(true);
    t.start();
    return t;
  }

  void identity(NodeIdentity next) {
    identity = next;
  }

  /** Signs and sends in the order given; dropped, and counted, where too much waits. */
  void send(long address, byte[] unsigned) {
    if (!out.offer(new Out(address, unsigned))) {
      dropped.incrementAndGet();
    }
  }

  /** What went through the port so far. */
  GossipNode.Traffic traffic() {
    return new GossipNode.Traffic(sent.get(), sentBytes.get(), received.get(), receivedBytes.get());
  }

  long dropped() {
    return dropped.get();
  }

  private void read() {
    ByteBuffer buffer =
        ByteBuffer.allocateDirect(GossipCodec.MOST + 1); // one more shows what is too large
    while (channel.isOpen()) {
      try {
        buffer.clear();
        InetSocketAddress from = (InetSocketAddress) channel.receive(buffer);
        byte[] bytes = new byte[buffer.flip().remaining()];
        buffer.get(bytes);
        received.incrementAndGet();
        receivedBytes.addAndGet(bytes.length + GossipCodec.UDP);
        DatagramVerifier.Entered e = doorway.enter(clock.getAsLong(), number(from), bytes);
        if (e != null) {
          entered.accept(e);
        }
      } catch (ClosedChannelException e) {
        return;
      } catch (IOException | RuntimeException e) { // one datagram must not end the reading
        LOG.log(Level.WARNING, "a datagram could not be taken: {0}", e.toString());
      }
    }
  }

  private void write() {
    while (channel.isOpen()) {
      try {
        Out o = out.take();
        if (o == LAST) {
          shut();
          return;
        }
        byte[] signature = identity.sign(o.unsigned);
        byte[] whole = Arrays.copyOf(o.unsigned, o.unsigned.length + signature.length);
        System.arraycopy(signature, 0, whole, o.unsigned.length, signature.length);
        channel.send(ByteBuffer.wrap(whole), address(o.address));
        sent.incrementAndGet();
        sentBytes.addAndGet(whole.length + GossipCodec.UDP);
      } catch (ClosedChannelException e) {
        return;
      } catch (IOException | GeneralSecurityException | RuntimeException e) {
        LOG.log(Level.DEBUG, "a datagram could not be sent: {0}", e.toString());
      } catch (InterruptedException e) {
        return;
      }
    }
  }

  /** Closes the port once what waits has gone out; where too much waits, at once. */
  void close() {
    if (!out.offer(LAST)) {
      shut();
    }
  }

  /** Closes the port at once, as the end of the process would. */
  void abandon() {
    out.clear();
    shut();
    out.offer(LAST); // ends the thread that waits for something to sign
  }

  /**
   * Waits, each thread for so long at most, until the port is free again: both are done with it.
   */
  void awaitClosed(long ms) throws InterruptedException {
    for (Thread t : threads) {
      t.join(ms);
    }
  }

  private void shut() {
    try {
      channel.close();
    } catch (IOException e) {
      LOG.log(Level.DEBUG, "closing: {0}", e.toString());
    }
  }

  /** An address as one number: IPv4 above 16 bits of port. */
  static long number(InetSocketAddress a) {
    byte[] ip = a.getAddress().getAddress();
    long number = 0;
    for (int i = Math.max(0, ip.length - 4); i < ip.length; i++) {
      number = number << 8 | Byte.toUnsignedLong(ip[i]);
    }
    return number << 16 | a.getPort();
  }

  static InetSocketAddress address(long number) {
    byte[] ip = {
      (byte) (number >>> 40), (byte) (number >>> 32), (byte) (number >>> 24), (byte) (number >>> 16)
    };
    try {
      return new InetSocketAddress(InetAddress.getByAddress(ip), (int) number & 0xffff);
    } catch (UnknownHostException e) {
      throw new IllegalStateException("four bytes are an address", e);
    }
  }
}
