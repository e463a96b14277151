package reachloom.gossip;

import reachloom.evidence.Claim;
import reachloom.membership.Weights;

/** What carries packets, and knows what they weigh. */
public interface Transport extends Weights {
  /** One claim, in bytes. */
  int claim(Claim claim);

  /** Sends a packet to whoever listens at that address; an empty name where it is not known who does. */
  void send(String to, long address, Packet packet);
}
