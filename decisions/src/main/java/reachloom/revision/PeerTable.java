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
 * The other members that are present, with the state that each has reported. Iteration is ordered
 * by name, so that the same events and the same seed result in the same choices. Times are
 * nanoseconds of the clock that the caller passes in; confined to the thread of {@link
 * RevisionDissemination}.
 */
final class PeerTable {
  /** Another present member, with the state from its messages. */
  static final class PeerState {
    final Peer peer;

    /** When its last message was received, in nanoseconds. */
    long lastMessageAtNanos = Long.MIN_VALUE / 2;

    /** The newest revision whose document it reports to hold; 0 for none. */
    long knownNumber;

    /** The revision that it reports to have in force; 0 for none. */
    long inForceNumber;

    /** The fingerprint ({@link Revision#fingerprint}) of the revision that it has in force. */
    long inForceFingerprint;

    /** The newest revision that was announced to it; 0 for none. */
    long announcedNumber;

    /** When the last announcement to it was sent, in nanoseconds. */
    long announcedAtNanos = Long.MIN_VALUE / 2;

    /** Number of reminders of the newest revision without an acknowledgement. */
    int reminders;

    PeerState(Peer peer) {
      this.peer = peer;
    }
  }

  /** Capacity of the membership table. */
  private static final int MAX_PEERS = 2_048;

  private final DisseminationMember self;
  private final Set<String> issuers = new TreeSet<>();
  private final List<Peer> otherIssuers;
  private final SplittableRandom random;
  private TreeMap<String, PeerState> peers = new TreeMap<>();
  private final TreeMap<Integer, List<PeerState>> peersByPlace = new TreeMap<>();
  private final PeerBackoff backoff = new PeerBackoff();
  private boolean issuerMessageReceived;
  private long lastIssuerMessageAtNanos;

  PeerTable(DisseminationMember self, SplittableRandom random) {
    otherIssuers = self.otherIssuers();
    this.self = self;
    self.issuers().forEach(issuer -> issuers.add(issuer.name()));
    this.random = random;
  }

  /** Returns this member, which is not among its peers. */
  DisseminationMember self() {
    return self;
  }

  /** Returns the backoff of peers, present or not. */
  PeerBackoff backoff() {
    return backoff;
  }

  /** Replaces the present members; keeps the state of those that remain. */
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

  /** Records that a message from a member was received. */
  void onMessage(long nowNanos, Peer from) {
    if (isIssuer(from.name())) {
      issuerMessageReceived = true;
      lastIssuerMessageAtNanos = nowNanos;
    }
    PeerState state = peers.get(from.name());
    if (state != null) {
      state.lastMessageAtNanos = nowNanos;
    }
  }

  /** Records the state that a member reports. */
  void onHave(Peer from, RevisionMessage.Have have) {
    PeerState state = peers.get(from.name());
    if (state != null) {
      state.knownNumber = have.known();
      state.inForceNumber = have.inForce();
      state.inForceFingerprint = have.fingerprint();
    }
  }

  /** Records that a member has announced a revision, whose document it holds. */
  void onAnnounced(Peer from, long number) {
    PeerState state = peers.get(from.name());
    if (state != null) {
      state.knownNumber = Math.max(state.knownNumber, number);
    }
  }

  /** Returns whether a message from an issuer was received so far. */
  boolean hasIssuerMessage() {
    return issuerMessageReceived;
  }

  /** Returns when the last message from an issuer was received, in nanoseconds. */
  long lastIssuerMessageAtNanos() {
    return lastIssuerMessageAtNanos;
  }

  boolean isIssuer(String name) {
    return issuers.contains(name);
  }

  /** Returns whether that is a member of the own zone; issuers belong to no zone. */
  boolean isInZone(Peer p) {
    return p.place() == self.place() && !isIssuer(p.name());
  }

  /** Returns a random other issuer that is not backed off. */
  Optional<Peer> randomIssuer(long nowNanos) {
    List<Peer> eligible =
        otherIssuers.stream().filter(i -> !backoff.isBackedOff(nowNanos, i.name())).toList();
    return eligible.isEmpty()
        ? Optional.empty()
        : Optional.of(eligible.get(random.nextInt(eligible.size())));
  }

  /** Returns all present members. */
  Collection<PeerState> all() {
    return peers.values();
  }

  /** Returns the member with that name if it is present. */
  Optional<PeerState> find(String name) {
    return Optional.ofNullable(peers.get(name));
  }

  /** Returns the members of the own zone, without this one and without issuers. */
  List<PeerState> zonePeers() {
    return peersByPlace.getOrDefault(self.place(), List.of());
  }

  /** Returns the members by place, without issuers. */
  Map<Integer, List<PeerState>> peersByPlace() {
    return peersByPlace;
  }

  /** Draws up to {@code count} matching candidates at random, without replacement. */
  List<PeerState> sample(Collection<PeerState> candidates, int count, Predicate<PeerState> filter) {
    List<PeerState> eligible = new ArrayList<>(candidates.size());
    for (PeerState state : candidates) {
      if (filter.test(state)) {
        eligible.add(state);
      }
    }
    List<PeerState> drawn = new ArrayList<>();
    while (drawn.size() < count && !eligible.isEmpty()) {
      int last = eligible.size() - 1;
      Collections.swap(eligible, random.nextInt(last + 1), last);
      drawn.add(eligible.remove(last));
    }
    return drawn;
  }
}
