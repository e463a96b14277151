package reachloom.gossip.net;

import java.io.IOException;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.ClosedChannelException;
import java.nio.channels.DatagramChannel;
import java.security.GeneralSecurityException;
import java.util.List;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import reachloom.gossip.wire.GossipCodec;

/**
 * The UDP socket of gossip, with two daemon threads: one receives datagrams, has them verified and
 * passes the verified ones on; the other signs and sends. A flood takes time of these threads only;
 * the rate limiter bounds the number of signatures that are verified.
 *
 * <p>Thread-safe. It does not use Apache MINA, which keeps a session for each remote address that a
 * datagram names: forged source addresses would let a sender exhaust the memory.
 */
final class DatagramTransport implements AutoCloseable {
  private static final Logger LOG = System.getLogger(DatagramTransport.class.getName());

  /** The largest number of datagrams that wait to be signed; further ones are dropped. */
  private static final int MAX_QUEUED_DATAGRAMS = 256;

  private static final int RECEIVE_BUFFER_BYTES = 256 * 1024;

  /** A datagram that is queued to be signed and sent. */
  private record Outgoing(long address, byte[] unsigned) {}

  /** Queued last: ends the sending thread. */
  private static final Outgoing END = new Outgoing(0, new byte[0]);

  private final DatagramChannel channel;
  private final DatagramVerifier verifier;
  private final LongSupplier clockNanos;
  private final Consumer<VerifiedDatagram> receiver;
  private final ArrayBlockingQueue<Outgoing> queue = new ArrayBlockingQueue<>(MAX_QUEUED_DATAGRAMS);
  private final AtomicLong dropped = new AtomicLong();
  private final AtomicLong sent = new AtomicLong();
  private final AtomicLong sentBytes = new AtomicLong();
  private final AtomicLong received = new AtomicLong();
  private final AtomicLong receivedBytes = new AtomicLong();
  private final List<Thread> threads;
  private volatile NodeIdentity identity;

  /**
   * Binds the socket and starts both threads.
   *
   * @param listen the address to bind
   * @param verifier verifies received datagrams, on the receiving thread
   * @param identity signs the datagrams to be sent
   * @param clockNanos the time of this process, read on the receiving thread
   * @param receiver receives each verified datagram, on the receiving thread
   * @throws IOException if the address can't be bound
   */
  DatagramTransport(
      InetSocketAddress listen,
      DatagramVerifier verifier,
      NodeIdentity identity,
      LongSupplier clockNanos,
      Consumer<VerifiedDatagram> receiver)
      throws IOException {
    this.verifier = verifier;
    this.identity = identity;
    this.clockNanos = clockNanos;
    this.receiver = receiver;
    channel = bind(listen);
    threads = List.of(start("gossip in", this::receiveAll), start("gossip out", this::sendAll));
  }

  private static DatagramChannel bind(InetSocketAddress listen) throws IOException {
    DatagramChannel channel = DatagramChannel.open();
    try {
      channel.setOption(StandardSocketOptions.SO_RCVBUF, RECEIVE_BUFFER_BYTES);
      return channel.bind(listen);
    } catch (IOException | RuntimeException e) {
      channel.close();
      throw e;
    }
  }

  private static Thread start(String name, Runnable work) {
    Thread thread = new Thread(work, name);
    thread.setDaemon(true);
    thread.start();
    return thread;
  }

  /** Replaces the identity that signs datagrams. */
  void setIdentity(NodeIdentity next) {
    identity = next;
  }

  /**
   * Queues a datagram to be signed and sent in the order of the calls. If the queue is full, the
   * datagram is dropped and counted.
   */
  void send(long address, byte[] unsigned) {
    if (!queue.offer(new Outgoing(address, unsigned))) {
      dropped.incrementAndGet();
    }
  }

  /** Returns the traffic of the socket so far. */
  GossipNode.Traffic traffic() {
    return new GossipNode.Traffic(sent.get(), sentBytes.get(), received.get(), receivedBytes.get());
  }

  /** Returns the number of datagrams that were dropped because the queue was full. */
  long dropped() {
    return dropped.get();
  }

  private void receiveAll() {
    // One extra byte shows whether a datagram exceeds the limit.
    ByteBuffer buffer = ByteBuffer.allocateDirect(GossipCodec.MAX_DATAGRAM_BYTES + 1);
    while (channel.isOpen()) {
      try {
        receive(buffer);
      } catch (ClosedChannelException e) {
        return;
      } catch (IOException | RuntimeException e) { // one datagram must not end the thread
        LOG.log(Level.WARNING, "failed to receive a datagram: {0}", e.toString());
      }
    }
  }

  private void receive(ByteBuffer buffer) throws IOException {
    buffer.clear();
    InetSocketAddress source = (InetSocketAddress) channel.receive(buffer);
    byte[] datagram = new byte[buffer.flip().remaining()];
    buffer.get(datagram);
    received.incrementAndGet();
    receivedBytes.addAndGet(datagram.length + GossipCodec.UDP_HEADER_BYTES);
    verifier
        .verify(clockNanos.getAsLong(), PackedAddress.pack(source), datagram)
        .ifPresent(receiver);
  }

  private void sendAll() {
    while (channel.isOpen()) {
      try {
        Outgoing next = queue.take();
        if (next == END) {
          closeChannel();
          return;
        }
        signAndSend(next);
      } catch (ClosedChannelException | InterruptedException e) {
        return;
      } catch (IOException | GeneralSecurityException | RuntimeException e) {
        LOG.log(Level.DEBUG, "failed to send a datagram: {0}", e.toString());
      }
    }
  }

  private void signAndSend(Outgoing next) throws IOException, GeneralSecurityException {
    byte[] datagram = identity.appendSignature(next.unsigned());
    channel.send(ByteBuffer.wrap(datagram), PackedAddress.unpack(next.address()));
    sent.incrementAndGet();
    sentBytes.addAndGet(datagram.length + GossipCodec.UDP_HEADER_BYTES);
  }

  /**
   * Closes the socket after all queued datagrams have been sent, or at once if the queue is full.
   */
  @Override
  public void close() {
    if (!queue.offer(END)) {
      closeChannel();
    }
  }

  /** Closes the socket at once and discards queued datagrams, as the end of the process would. */
  void abandon() {
    queue.clear();
    closeChannel();
    queue.offer(END); // ends the sending thread, which waits for a datagram
  }

  /**
   * Waits until both threads have ended and the address is free again.
   *
   * @param millis the longest wait for each of the two threads, in milliseconds
   */
  void awaitClosed(long millis) throws InterruptedException {
    for (Thread thread : threads) {
      thread.join(millis);
    }
  }

  private void closeChannel() {
    try {
      channel.close();
    } catch (IOException e) {
      LOG.log(Level.DEBUG, "failed to close the gossip socket: {0}", e.toString());
    }
  }
}
