package reachloom.revision;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.Predicate;
import reachloom.revision.PeerTable.Other;
import reachloom.revision.PeerTable.Strike;

/** Pulls the document of the newest revision: whom to ask, and when to turn to another. */
final class FetchScheduler {
  private static final long PAUSE =
      500_000_000; // nanoseconds on average, once some were asked in vain
  private static final int TRIES =
      2; // questions to one peer without a piece, where it has sent some
  private static final int QUICK_PEERS = 4; // asked one after the other, before there are pauses
  private static final int MAX_SOURCES = 8;

  private final PeerTable neighbours;
  private final RevisionLog log;
  private final RevisionMessageSender outlet;
  private final SplittableRandom random;
  private final Map<String, Peer> sources = new LinkedHashMap<>();
  private ChunkedFetch fetch;
  private long fetchAt;

  FetchScheduler(
      PeerTable neighbours,
      RevisionLog log,
      RevisionMessageSender outlet,
      SplittableRandom random) {
    this.neighbours = neighbours;
    this.log = log;
    this.outlet = outlet;
    this.random = random;
  }

  /** Goes for that one from now on; null for none. */
  void go(long now, Revision newest) {
    sources.clear();
    fetch = newest == null ? null : new ChunkedFetch(newest, null, now);
    fetchAt = now;
  }

  /** Whether that one is being pulled. */
  boolean isFor(Revision r) {
    return fetch != null && fetch.revision.equals(r);
  }

  /** That one can be asked for the document of the newest. */
  void source(Peer peer) {
    if (fetch != null && sources.size() < MAX_SOURCES) {
      sources.put(peer.name(), peer);
    }
  }

  /**
   * That one has just told of the newest: of a large one, it tells when nobody waits for it there.
   */
  void pushed(long now, Peer peer) {
    source(peer);
    boolean free =
        fetch != null
            && fetch.isEmpty()
            && !neighbours.rests(now, peer.name())
            && (fetch.from == null || neighbours.isOfZone(peer));
    if (free) {
      fetch.ask(now, peer);
      fetchAt = now;
    }
  }

  /** The whole document, if that piece completes it. */
  byte[] piece(long now, Peer sender, RevisionMessage.Piece p) {
    byte[] document = fetch == null ? null : fetch.take(now, sender, p, log, neighbours);
    if (document != null) {
      neighbours.good(sender.name(), p.number());
    }
    return document;
  }

  /** Asks, or asks another, where it is time. */
  void step(long now) {
    if (fetch == null || now < fetchAt) {
      return;
    }
    boolean silent =
        fetch.from != null
            && (fetch.late(now) && (fetch.isEmpty() || fetch.tries >= TRIES)
                || now >= fetch.leaveAt);
    if (silent) {
      neighbours.strike(now, fetch.from.name(), Strike.SILENT, 0);
      fetch.from = null;
    }
    if (fetch.from == null) {
      Peer next = whom(now);
      if (next == null || silent && fetch.peersTried >= QUICK_PEERS) {
        fetchAt = now + PAUSE / 2 + random.nextLong(PAUSE);
      }
      if (next == null) {
        return;
      }
      fetch.ask(now, next);
    }
    if (now >= fetchAt) {
      fetch.question(now, outlet, log.newestHeld());
    }
  }

  /**
   * One that has it: of the own zone, then others that told of it, then an issuer. Where many want
   * a large one, the first of a zone to have it can't serve them all, so that every other question
   * goes to an issuer.
   */
  private Peer whom(long now) {
    Peer issuer = neighbours.anIssuer(now);
    if (fetch.peersTried % 2 == 1 && issuer != null) {
      return issuer;
    }
    Peer near = some(now, neighbours.zone(), neighbours::isOfZone);
    Peer told = near != null ? near : some(now, List.of(), p -> true);
    if (told != null || issuer != null) {
      return told != null ? told : issuer;
    }
    return some(now, neighbours.all(), p -> true);
  }

  /** By chance one of those that told of it, or have it. */
  private Peer some(long now, Collection<Other> of, Predicate<Peer> wanted) {
    List<Peer> open = new ArrayList<>();
    sources.values().stream()
        .filter(wanted)
        .filter(p -> !neighbours.rests(now, p.name()))
        .forEach(open::add);
    neighbours
        .draw(
            of, 1, o -> o.known == fetch.revision.number() && !neighbours.rests(now, o.peer.name()))
        .forEach(o -> open.add(o.peer));
    return open.isEmpty() ? null : open.get(random.nextInt(open.size()));
  }

  void shift(long by) {
    if (fetch != null) {
      fetch.shift(by);
    }
  }

  /** What is going on, or null. */
  String line() {
    return fetch == null
        ? null
        : "revision "
            + fetch.revision.number()
            + " is being fetched"
            + (fetch.from == null ? "" : " from " + fetch.from.name());
  }
}
