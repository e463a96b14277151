package reachloom.gossip.wire;

import java.nio.ByteBuffer;
import reachloom.revision.RevisionMessage;

/** Writes the kind and fields of one message in the format of {@link RevisionMessageCodec}. */
final class RevisionMessageWriter implements RevisionMessage.Handler {
  private final ByteBuffer out;

  RevisionMessageWriter(ByteBuffer out) {
    this.out = out;
  }

  @Override
  public void onHave(RevisionMessage.Have message) {
    out.put(RevisionMessageCodec.HAVE)
        .putLong(message.inForce())
        .putLong(message.fingerprint())
        .putLong(message.known());
  }

  @Override
  public void onNotice(RevisionMessage.Notice message) {
    out.put(RevisionMessageCodec.NOTICE);
    RevisionFields.write(out, message.revision());
    RevisionFields.write(out, message.votes());
  }

  @Override
  public void onWant(RevisionMessage.Want message) {
    out.put(RevisionMessageCodec.WANT)
        .putLong(message.number())
        .putLong(message.base())
        .putLong(message.baseFingerprint())
        .putShort((short) message.from());
  }

  @Override
  public void onChunk(RevisionMessage.Chunk message) {
    out.put(RevisionMessageCodec.PIECE)
        .putLong(message.number())
        .putLong(message.base())
        .putShort((short) message.index())
        .putShort((short) message.of())
        .putShort((short) message.bytes().length)
        .put(message.bytes());
  }

  @Override
  public void onAcknowledgement(RevisionMessage.Acknowledgement message) {
    out.put(RevisionMessageCodec.ACKNOWLEDGEMENT)
        .putLong(message.number())
        .putLong(message.fingerprint());
    GossipCodec.putText(out, message.refusal());
  }

  @Override
  public void onCensus(RevisionMessage.Census message) {
    out.put(RevisionMessageCodec.CENSUS)
        .putShort((short) message.place())
        .putLong(message.number())
        .putShort((short) message.members())
        .putShort((short) message.inForce())
        .putShort((short) message.refused())
        .putInt((int) Math.min(Integer.MAX_VALUE, message.longest()))
        .put((byte) message.lacking().size());
    message.lacking().forEach(name -> GossipCodec.putText(out, name));
  }

  @Override
  public void onPrepare(RevisionMessage.Prepare message) {
    out.put(RevisionMessageCodec.PREPARE);
    RevisionFields.write(out, message.ballot());
    out.putLong(message.number());
  }

  @Override
  public void onPromise(RevisionMessage.Promise message) {
    out.put(RevisionMessageCodec.PROMISE);
    RevisionFields.write(out, message.ballot());
    out.putLong(message.number());
    RevisionFields.write(out, message.acceptedUnder());
    out.put((byte) (message.accepted().isPresent() ? 1 : 0));
    message.accepted().ifPresent(accepted -> RevisionFields.write(out, accepted));
  }

  @Override
  public void onPropose(RevisionMessage.Propose message) {
    out.put(RevisionMessageCodec.PROPOSE);
    RevisionFields.write(out, message.ballot());
    RevisionFields.write(out, message.revision());
  }

  @Override
  public void onAccepted(RevisionMessage.Accepted message) {
    out.put(RevisionMessageCodec.ACCEPTED);
    RevisionFields.write(out, message.ballot());
    out.putLong(message.number());
    RevisionFields.write(out, message.vote());
  }

  @Override
  public void onRejected(RevisionMessage.Rejected message) {
    out.put(RevisionMessageCodec.REJECTED);
    RevisionFields.write(out, message.ballot());
    RevisionFields.write(out, message.promised());
  }
}
