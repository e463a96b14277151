package reachloom.revision;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.function.Consumer;

/**
 * One issuer among the issuers: together they find the next revision, one number after another, and
 * each signs what it has accepted and saved. The votes of a majority are the proof that members ask
 * for. Any of them may propose; a higher ballot fences an older one off.
 *
 * <p>Issuers may crash, stand still, and lose words in any way; one that lies can hold the others
 * up, and, since voters rest on its word for what others have accepted, bring about two proved
 * revisions of one number, which members do not take. Times are nanoseconds of the clock handed in;
 * all calls come from one thread.
 */
public final class ConsensusNode {
  private static final long SECOND = 1_000_000_000; // nanoseconds

  /** Most issuers that settings may name. */
  public static final int MAX_ISSUERS = 9;

  /** Between two looks at the clock: more is a standstill, after which nothing older is issued. */
  private static final long STANDSTILL = 3 * SECOND;

  /** Words older than that do not come any more (gossip refuses them after 30 s). */
  private static final long STALE = 60 * SECOND;

  /** Pause between two questions of one that lost its store. */
  private static final long ASK = 5 * SECOND;

  /** A document that is being fetched is not asked for again within that time. */
  private static final long FETCH = 3 * SECOND;

  private final String name;
  private final Map<String, Peer> others = new TreeMap<>();
  private final int quorum;
  private final RevisionRepository library;
  private final RevisionMessageSender outlet;
  private final Acceptor acceptor;
  private final Proposer proposer;
  private final Deque<Runnable> reports = new ArrayDeque<>();
  private final Map<String, Long> known = new TreeMap<>();
  private final long startedAt;
  private long lastSeen;
  private long settled;
  private long nextAsk;
  private RevisionMessage.Propose fetching;
  private long fetchUntil;

  /**
   * One that starts, from what its store holds.
   *
   * @param issuers all issuers that the settings name, this one among them
   */
  public ConsensusNode(
      String name,
      List<Peer> issuers,
      SignatureScheme seal,
      ConsensusStore store,
      RevisionRepository library,
      RevisionMessageSender outlet,
      SplittableRandom random,
      long now) {
    this.name = name;
    this.library = library;
    this.outlet = outlet;
    issuers.forEach(p -> others.put(p.name(), p));
    quorum = quorum(others.size());
    if (others.remove(name) == null || others.size() >= MAX_ISSUERS) {
      throw new IllegalArgumentException(name + " is not one of 1 to " + MAX_ISSUERS + " issuers");
    }
    acceptor = new Acceptor(name, seal, store);
    proposer = new Proposer(name, quorum, seal, acceptor, library, random, new Floor());
    startedAt = now;
    lastSeen = now;
    ConsensusStore.State s = acceptor.state();
    settled = s.number();
    if (s.document() != null) {
      library.proved(now, s.newest().revision(), s.newest().votes(), s.document());
    }
    if (s.accepted() != null) {
      library.draft(s.accepted(), s.draft());
    }
  }

  /** How many votes of so many issuers prove a revision. */
  public static int quorum(int issuers) {
    return issuers / 2 + 1;
  }

  /** Words have come from a member whose sender is proved; only those of issuers are looked at. */
  public void hear(long now, Peer sender, List<RevisionMessage> words) {
    look(now);
    if (others.containsKey(sender.name())) {
      words.forEach(w -> hear(now, sender.name(), w));
    }
    report();
  }

  private void hear(long now, String sender, RevisionMessage word) {
    if (word instanceof RevisionMessage.Prepare p) {
      answer(now, sender, p.number(), acceptor.prepare(p, sender));
    } else if (word instanceof RevisionMessage.Propose p) {
      proposed(now, sender, p);
    } else if (word instanceof RevisionMessage.Promise p) {
      proposer.promised(now, p, sender);
    } else if (word instanceof RevisionMessage.Accepted a) {
      proposer.accepted(now, a, sender);
    } else if (word instanceof RevisionMessage.Rejected r) {
      proposer.rejected(now, r);
    } else if (word instanceof RevisionMessage.Have h && now - startedAt >= STALE) {
      known.put(sender, h.known());
    }
  }

  /** Looks at the clock; to be called each 50 to 100 ms. */
  public void tick(long now) {
    look(now);
    rejoin(now);
    proposer.tick(now);
    report();
  }

  /**
   * Takes a document that is to be issued. {@code result} is told what has become of it, twice
   * where the first result is not the last ({@link ProposalResult#last}); also from within this
   * call. A document that waits when the next one is given is skipped.
   */
  public void propose(long now, byte[] document, Consumer<ProposalResult> result) {
    look(now);
    proposer.give(now, document, result);
    report();
  }

  /** The newest number that is known to be proved, and saved. */
  public long number() {
    return acceptor.state().number();
  }

  /** What there is to tell, in lines of ASCII. */
  public List<String> lines() {
    ConsensusStore.State s = acceptor.state();
    String part =
        s.takesPart()
            ? "takes part"
            : "store was lost, takes part from revision "
                + (s.from() == ConsensusStore.NEVER ? "?" : s.from())
                + " on";
    return List.of(
        "issuer "
            + name
            + " of "
            + (others.size() + 1)
            + " revision "
            + s.number()
            + " promised "
            + s.promised().round()
            + " of "
            + s.promised().issuer()
            + " accepted "
            + (s.accepted() == null ? "nothing" : s.accepted().number())
            + ", "
            + part);
  }

  // ---- What each event begins with ----

  private void look(long now) {
    long gap = now - lastSeen;
    lastSeen = now;
    if (gap > STANDSTILL) {
      proposer.stoodStill(now, gap);
    }
    proposer.expire(now);
    learn(now);
  }

  /** Takes over what the member has come to know, and what could not be saved before. */
  private void learn(long now) {
    RevisionMessage.Notice newest = library.newest();
    if (newest == null) {
      return;
    }
    ConsensusStore.State before = acceptor.state();
    boolean newer = newest.revision().number() > before.number();
    if (newer || newest.revision().number() == before.number() && before.document() == null) {
      byte[] held = library.document(newest.revision());
      if (held != null) { // if only as a draft: others may count on it from now on
        library.proved(now, newest.revision(), newest.votes(), held);
      }
      acceptor.learn(newest, held);
    }
    if (newest.revision().number() > settled) {
      settled = newest.revision().number();
      fetching = null;
      proposer.moved(now, newest.revision());
    }
  }

  private void report() {
    for (Runnable r = reports.poll(); r != null; r = reports.poll()) {
      r.run();
    }
  }

  /**
   * The majority of others that knows least tells how much may have been forgotten; liars tell
   * more.
   */
  private void rejoin(long now) {
    if (acceptor.state().from() != ConsensusStore.NEVER) {
      return;
    }
    if (known.size() >= quorum) {
      acceptor.rejoin(known.values().stream().sorted().skip(quorum - 1L).findFirst().orElseThrow());
    } else if (now >= nextAsk) {
      nextAsk = now + ASK;
      others
          .keySet()
          .forEach(
              to ->
                  say(now, to, new RevisionMessage.Want(0, 0, 0, 0))); // what they know rides on it
    }
  }

  // ---- The voting part ----

  private void answer(long now, String sender, long number, RevisionMessage word) {
    ConsensusStore.State s = acceptor.state();
    if (word != null) {
      say(now, sender, word);
    } else if (number <= s.number()) {
      say(now, sender, s.newest()); // the asker is behind
    } else if (number > s.number() + 1) {
      say(now, sender, new RevisionMessage.Want(0, 0, 0, 0)); // this one is
    }
  }

  private void proposed(long now, String sender, RevisionMessage.Propose p) {
    Revision r = p.revision();
    boolean open =
        acceptor.plausible(p.ballot(), sender)
            && acceptor.follows(r)
            && p.ballot().compareTo(acceptor.state().promised()) >= 0;
    byte[] held =
        !open
            ? null
            : r.equals(acceptor.state().accepted())
                ? acceptor.state().draft()
                : library.document(r);
    if (!open || held != null) {
      answer(now, sender, r.number(), acceptor.propose(p, sender, held));
    } else if (fetching == null || !fetching.revision().equals(r) || now >= fetchUntil) {
      fetching = p;
      fetchUntil = now + FETCH;
      library.fetchDraft(now, r, others.get(sender), got -> fetched(p, sender, got));
    } else {
      fetching = p; // the same document under a newer ballot
    }
  }

  private void fetched(RevisionMessage.Propose asked, String sender, byte[] got) {
    RevisionMessage.Propose p = fetching;
    if (p == null || !p.revision().equals(asked.revision())) {
      return;
    }
    fetching = null;
    if (got != null) {
      library.draft(p.revision(), got);
      answer(
          lastSeen,
          p.ballot().issuer(),
          p.revision().number(),
          acceptor.propose(p, p.ballot().issuer(), got));
    }
  }

  private boolean say(long now, String to, RevisionMessage word) {
    Peer p = others.get(to);
    return p != null && outlet.send(now, to, p.address(), List.of(word));
  }

  /** What the proposing part sees of this. */
  private final class Floor implements Proposer.Floor {
    @Override
    public boolean say(long now, String to, RevisionMessage word) {
      return ConsensusNode.this.say(now, to, word);
    }

    @Override
    public List<Peer> others() {
      return new ArrayList<>(others.values());
    }

    @Override
    public void decided(long now, RevisionMessage.Notice notice, byte[] document) {
      library.proved(now, notice.revision(), notice.votes(), document);
      others.keySet().forEach(to -> say(now, to, notice));
      learn(now);
    }

    @Override
    public void report(Consumer<ProposalResult> to, ProposalResult result) {
      reports.add(() -> to.accept(result));
    }
  }
}
