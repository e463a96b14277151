package reachloom.revision;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Predicate;

/**
 * The other members that are present, and what each is known to hold. Iteration is by name, so that
 * the same events and the same seed give the same choices. Times are nanoseconds of the clock
 * handed in; confined to the thread of {@link RevisionDissemination}.
 */
final class PeerTable {
  /** Another member that is present, with what its messages told. */
  static final class PeerState {
    final Peer peer;

    /** When a message of it came last, nanoseconds. */
    long heardAtNanos = Long.MIN_VALUE / 2;

    /** The newest revision whose document it holds, by its own word; 0 for none. */
    long knownNumber;

    /** The revision that it has in force, by its own word; 0 for none. */
    long inForceNumber;

    /** The fingerprint ({@link Revision#fingerprint}) of the revision that it has in force. */
    long inForceFingerprint;

    /** The newest revision that was announced to it; 0 for none. */
    long announcedNumber;

    /** When it was announced last, nanoseconds. */
    long announcedAtNanos = Long.MIN_VALUE / 2;

    /** How often it was reminded of the newest revision without an acknowledgement. */
    int reminders;

    PeerState(Peer peer) {
      this.peer = peer;
    }
  }

  /** As many as the membership table holds. */
  private static final int MAX_PEERS = 2_048;

  private final DisseminationMember self;
  private final Set<String> issuers = new TreeSet<>();
  private final List<Peer> otherIssuers;
  private final SplittableRandom random;
  private TreeMap<String, PeerState> peers = new TreeMap<>();
  private final TreeMap<Integer, List<PeerState>> peersByPlace = new TreeMap<>();
  private final PeerBackoff backoff = new PeerBackoff();
  private boolean issuerHeard;
  private long issuerHeardAtNanos;

  PeerTable(DisseminationMember self, SplittableRandom random) {
    otherIssuers = self.otherIssuers();
    this.self = self;
    self.issuers().forEach(issuer -> issuers.add(issuer.name()));
    this.random = random;
  }

  /** This member, which is not among its peers. */
  DisseminationMember self() {
    return self;
  }

  /** Which peers, present or not, are asked for nothing for a while. */
  PeerBackoff backoff() {
    return backoff;
  }

  /** Replaces the members that are present; what is known of those that stay is kept. */
  void setPresent(Collection<Peer> present) {
    TreeMap<String, PeerState> next = new TreeMap<>();
    peersByPlace.clear();
    for (Peer p : present) {
      if (next.size() >= MAX_PEERS) {
        break;
      }
      PeerState old = peers.get(p.name());
      PeerState state = old != null && old.peer.equals(p) ? old : new PeerState(p);
      next.put(p.name(), state);
      if (!issuers.contains(p.name())) {
        peersByPlace.computeIfAbsent(p.place(), k -> new ArrayList<>()).add(state);
      }
    }
    peers = next;
  }

  /** Something has come from that member. */
  void onHeard(long nowNanos, Peer from) {
    if (isIssuer(from.name())) {
      issuerHeard = true;
      issuerHeardAtNanos = nowNanos;
    }
    PeerState state = peers.get(from.name());
    if (state != null) {
      state.heardAtNanos = nowNanos;
    }
  }

  /** A member tells what it holds, and what it has in force. */
  void onHave(Peer from, RevisionMessage.Have have) {
    PeerState state = peers.get(from.name());
    if (state != null) {
      state.knownNumber = have.known();
      state.inForceNumber = have.inForce();
      state.inForceFingerprint = have.fingerprint();
    }
  }

  /** A member announces a revision, whose document it holds. */
  void onAnnounced(Peer from, long number) {
    PeerState state = peers.get(from.name());
    if (state != null) {
      state.knownNumber = Math.max(state.knownNumber, number);
    }
  }

  /** Whether anything has come from an issuer so far. */
  boolean hasHeardIssuer() {
    return issuerHeard;
  }

  /** When something came from an issuer last, nanoseconds. */
  long issuerHeardAtNanos() {
    return issuerHeardAtNanos;
  }

  boolean isIssuer(String name) {
    return issuers.contains(name);
  }

  /** Whether that is a member of the own zone; issuers belong to none. */
  boolean isInZone(Peer p) {
    return p.place() == self.place() && !isIssuer(p.name());
  }

  /** Another issuer that is not backed off, chosen at random. */
  Optional<Peer> randomIssuer(long nowNanos) {
    List<Peer> open =
        otherIssuers.stream().filter(i -> !backoff.isBackedOff(nowNanos, i.name())).toList();
    return open.isEmpty() ? Optional.empty() : Optional.of(open.get(random.nextInt(open.size())));
  }

  /** All that are present. */
  Collection<PeerState> all() {
    return peers.values();
  }

  /** The member of that name if it is present. */
  Optional<PeerState> find(String name) {
    return Optional.ofNullable(peers.get(name));
  }

  /** The members of the own zone, without this one and without issuers. */
  List<PeerState> zonePeers() {
    return peersByPlace.getOrDefault(self.place(), List.of());
  }

  /** The members by place, without issuers. */
  Map<Integer, List<PeerState>> peersByPlace() {
    return peersByPlace;
  }

  /** At most {@code count} of the candidates that match, drawn at random without replacement. */
  List<PeerState> sample(Collection<PeerState> candidates, int count, Predicate<PeerState> filter) {
    List<PeerState> open = new ArrayList<>(candidates.size());
    for (PeerState state : candidates) {
      if (filter.test(state)) {
        open.add(state);
      }
    }
    List<PeerState> drawn = new ArrayList<>();
    while (drawn.size() < count && !open.isEmpty()) {
      int last = open.size() - 1;
      Collections.swap(open, random.nextInt(last + 1), last);
      drawn.add(open.remove(last));
    }
    return drawn;
  }
}
