package reachloom.revision;

import java.util.Collection;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.Consumer;

/**
 * One member's part in spreading revisions: hears of them, proves them, fetches their documents, has the host
 * put the newest in force, passes it on, and lets it be known where it is in force. An issuer's has no other
 * part; its council hands in what was decided. Times are nanoseconds of the clock handed in; all calls come
 * from one thread.
 */
public final class Dissemination {
  /** What carries a revision out. */
  public interface Host {
    /**
     * Puts a revision in force, in its own time; {@link Dissemination#inForce} or
     * {@link Dissemination#refused} tells how it ended, also from within this call. The next is handed over
     * only then.
     */
    void apply(long now, Revision revision, byte[] document);

    /** Something that an operator has to know, once each time that it comes up. */
    void alarm(long now, String what);
  }

  /**
   * A member that starts with nothing.
   *
   * @param place the region in the upper byte, the zone in the lower; 0 where unknown
   * @param issuer whether this member is one of the issuers
   * @param issuers all issuers that the settings name, at their static addresses, this one too if it is one
   * @param quorum how many votes of issuers prove a revision
   */
  public Dissemination(String name, int place, boolean issuer, List<Peer> issuers, int quorum, Seal seal,
      SplittableRandom random, Outlet outlet, Host host, long now) {
  }

  /** Who is present now, this member not among them; to be called when it has changed, once a tick. */
  public void peers(Collection<Peer> present) {
  }

  /** What rides on each packet of this member. */
  public Word.Have have() {
    return new Word.Have(0, 0, 0);
  }

  /** Words have come from a member whose sender is proved; those among issuers are not looked at here. */
  public void hear(long now, Peer sender, List<Word> words) {
  }

  /** Looks at the clock; to be called each 50 to 100 ms. */
  public void tick(long now) {
  }

  /** The host has that revision in force. */
  public void inForce(long now, long number) {
  }

  /** The host can't put that revision in force; the one before stays. */
  public void refused(long now, long number, String reason) {
  }

  /** The council of this issuer knows a revision to be decided, or has found it in its store at a start. */
  public void proved(long now, Revision revision, List<Vote> votes, byte[] document) {
  }

  /** The newest revision that is proved, with its proof; null for none. */
  public Word.Notice newest() {
    return null;
  }

  /** The document of a revision, proved or a draft, if it is held; else null. */
  public byte[] document(Revision revision) {
    return null;
  }

  /** Holds a document that this issuer has proposed or accepted, for the other issuers to fetch. */
  public void draft(Revision revision, byte[] document) {
  }

  /**
   * Fetches the document of a revision that is proposed and not yet proved, from the issuer that proposes it;
   * {@code then} is given it, or null where it could not be had; from within this call if it is held.
   */
  public void fetchDraft(long now, Revision revision, Peer from, Consumer<byte[]> then) {
  }

  /** What there is to tell, in lines of ASCII. */
  public List<String> lines(long now) {
    return List.of();
  }
}
