package reachloom.revision.net;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.OverlappingFileLockException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import reachloom.config.ConfigException;
import reachloom.revision.Ballot;
import reachloom.revision.ConsensusNode;
import reachloom.revision.ConsensusStore;
import reachloom.revision.Revision;
import reachloom.revision.RevisionMessage;
import reachloom.revision.Vote;

/**
 * An issuer's store in a directory of its own, which one process at a time may use. The file is
 * replaced as a whole and forced to the disk before anything rests on it. One that is broken, or
 * another issuer's, is told of and neither used nor replaced: an issuer that forgets must not vote
 * as if it had not.
 */
public final class FileStore implements ConsensusStore, AutoCloseable {
  private static final Logger LOG = System.getLogger(FileStore.class.getName());
  private static final byte[] MAGIC = "reachloom issuer 1\n".getBytes(StandardCharsets.US_ASCII);
  private static final String STATE = "issuer.state";
  private static final String NEXT = "issuer.state.next";
  private static final String LOCK = "issuer.lock";
  private static final int SUM = 32; // bytes of a SHA-256
  private static final int MAX_SIGNATURE = 256; // bytes

  /** Two documents, two revisions and all votes, with room to spare. */
  private static final int MAX_BYTES = 4 * Revision.MAX_DOCUMENT_BYTES;

  private final Path folder;
  private final Path file;
  private final String name;
  private final String cluster;
  private final FileChannel lock;
  private final State loaded;
  private boolean failing;

  private FileStore(Path folder, String name, String cluster, boolean first)
      throws ConfigException {
    this.folder = folder;
    this.name = name;
    this.cluster = cluster;
    file = folder.resolve(STATE);
    lock = locked(folder.resolve(LOCK));
    try {
      loaded = first ? created() : Files.exists(file) ? read() : null;
    } catch (ConfigException e) {
      close();
      throw e;
    }
  }

  /** Makes the store of an issuer that has never taken part; refused where there is one. */
  public static FileStore create(Path folder, String name, String cluster) throws ConfigException {
    return new FileStore(folder, name, cluster, true);
  }

  /** Opens a store; one without a state was lost, and loads as null. */
  public static FileStore open(Path folder, String name, String cluster) throws ConfigException {
    return new FileStore(folder, name, cluster, false);
  }

  /** The directory. */
  public Path folder() {
    return folder;
  }

  private static FileChannel locked(Path file) throws ConfigException {
    FileChannel channel = null;
    try {
      Files.createDirectories(file.getParent());
      channel = FileChannel.open(file, StandardOpenOption.CREATE, StandardOpenOption.WRITE);
      FileLock held = channel.tryLock();
      if (held != null) {
        return channel;
      }
    } catch (OverlappingFileLockException e) {
      // told below
    } catch (IOException e) {
      throw new ConfigException(file + ": cannot be locked: " + e.getMessage());
    }
    try {
      channel.close();
    } catch (IOException e) {
      LOG.log(Level.DEBUG, "closing: {0}", e.toString());
    }
    throw new ConfigException(file + ": another process uses this store");
  }

  private State created() throws ConfigException {
    if (Files.exists(file)) {
      throw new ConfigException(file + ": is there already; an issuer's store is made once");
    }
    if (!save(State.first())) {
      throw new ConfigException(file + ": cannot be written");
    }
    return State.first();
  }

  @Override
  public State load() {
    return loaded;
  }

  // ---- Writing ----

  @Override
  public boolean save(State state) {
    try {
      Path next = folder.resolve(NEXT);
      try (FileChannel out =
          FileChannel.open(
              next,
              StandardOpenOption.CREATE,
              StandardOpenOption.WRITE,
              StandardOpenOption.TRUNCATE_EXISTING)) {
        ByteBuffer bytes = ByteBuffer.wrap(bytes(state));
        while (bytes.hasRemaining()) {
          out.write(bytes);
        }
        out.force(true);
      }
      Files.move(next, file, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
      try (FileChannel all = FileChannel.open(folder, StandardOpenOption.READ)) {
        all.force(true);
      }
      if (failing) {
        LOG.log(Level.INFO, "{0}: can be written again", file);
      }
      failing = false;
      return true;
    } catch (IOException e) {
      if (!failing) {
        LOG.log(
            Level.ERROR,
            "{0}: cannot be written, this issuer is silent until it can: {1}",
            file,
            e.toString());
      }
      failing = true;
      return false;
    }
  }

  private byte[] bytes(State s) throws IOException {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    DataOutputStream out = new DataOutputStream(bytes);
    out.write(MAGIC);
    out.writeUTF(name);
    out.writeUTF(cluster);
    put(out, s.promised());
    put(out, s.acceptedUnder());
    put(out, s.accepted());
    put(out, s.draft());
    put(out, s.newest() == null ? null : s.newest().revision());
    if (s.newest() != null) {
      out.writeByte(s.newest().votes().size());
      for (Vote v : s.newest().votes()) {
        out.writeUTF(v.issuer());
        put(out, v.signature());
      }
    }
    put(out, s.document());
    out.writeLong(s.from());
    out.write(sum(bytes.toByteArray(), bytes.size()));
    return bytes.toByteArray();
  }

  private static void put(DataOutputStream out, Ballot b) throws IOException {
    out.writeLong(b.round());
    out.writeUTF(b.issuer());
  }

  private static void put(DataOutputStream out, Revision r) throws IOException {
    out.writeBoolean(r != null);
    if (r != null) {
      out.writeLong(r.number());
      out.write(r.previous());
      out.write(r.digest());
      out.writeInt(r.size());
      out.writeLong(r.issuedAt());
      out.writeUTF(r.issuer());
    }
  }

  private static void put(DataOutputStream out, byte[] bytes) throws IOException {
    out.writeInt(bytes == null ? -1 : bytes.length);
    if (bytes != null) {
      out.write(bytes);
    }
  }

  private static byte[] sum(byte[] bytes, int length) {
    try {
      MessageDigest sha = MessageDigest.getInstance("SHA-256");
      sha.update(bytes, 0, length);
      return sha.digest();
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("each Java platform has SHA-256", e);
    }
  }

  // ---- Reading ----

  private State read() throws ConfigException {
    try {
      if (Files.size(file) > MAX_BYTES) {
        throw broken("is larger than " + MAX_BYTES + " bytes");
      }
      byte[] all = Files.readAllBytes(file);
      int length = all.length - SUM;
      if (length < MAGIC.length || !Arrays.equals(MAGIC, Arrays.copyOf(all, MAGIC.length))) {
        throw broken("is not an issuer's state of this version");
      }
      if (!Arrays.equals(sum(all, length), Arrays.copyOfRange(all, length, all.length))) {
        throw broken("is damaged: its checksum does not hold");
      }
      return state(
          new DataInputStream(new ByteArrayInputStream(all, MAGIC.length, length - MAGIC.length)));
    } catch (IOException e) {
      throw broken("cannot be read: " + e.getMessage());
    }
  }

  private State state(DataInputStream in) throws IOException, ConfigException {
    String itsName = in.readUTF();
    String itsCluster = in.readUTF();
    if (!itsName.equals(name) || !itsCluster.equals(cluster)) {
      throw broken(
          "belongs to issuer '"
              + itsName
              + "' of '"
              + itsCluster
              + "', not to '"
              + name
              + "' of '"
              + cluster
              + "'");
    }
    Ballot promised = ballot(in);
    Ballot under = ballot(in);
    Revision accepted = revision(in);
    byte[] draft = block(in, Revision.MAX_DOCUMENT_BYTES);
    Revision newest = revision(in);
    List<Vote> votes = new ArrayList<>();
    int count = newest == null ? 0 : in.readByte();
    if (count < 0 || count > ConsensusNode.MAX_ISSUERS) {
      throw broken("names " + count + " votes");
    }
    for (int i = 0; i < count; i++) {
      votes.add(new Vote(in.readUTF(), block(in, MAX_SIGNATURE)));
    }
    byte[] document = block(in, Revision.MAX_DOCUMENT_BYTES);
    long from = in.readLong();
    boolean fits =
        (accepted == null) == (draft == null)
            && (draft == null || accepted.describes(draft))
            && (document == null || newest != null && newest.describes(document))
            && in.read() < 0;
    if (!fits) {
      throw broken("holds a document that is not the one it names");
    }
    return new State(
        promised,
        under,
        accepted,
        draft,
        newest == null ? null : new RevisionMessage.Notice(newest, List.copyOf(votes)),
        document,
        from);
  }

  private static Ballot ballot(DataInputStream in) throws IOException {
    return new Ballot(in.readLong(), in.readUTF());
  }

  private static Revision revision(DataInputStream in) throws IOException {
    if (!in.readBoolean()) {
      return null;
    }
    long number = in.readLong();
    byte[] previous = new byte[Revision.HASH_BYTES];
    in.readFully(previous);
    byte[] digest = new byte[Revision.HASH_BYTES];
    in.readFully(digest);
    return new Revision(number, previous, digest, in.readInt(), in.readLong(), in.readUTF());
  }

  private static byte[] block(DataInputStream in, int most) throws IOException {
    int length = in.readInt();
    if (length < 0) {
      return null;
    }
    if (length > most) {
      throw new IOException("a block of " + length + " bytes");
    }
    byte[] bytes = new byte[length];
    in.readFully(bytes);
    return bytes;
  }

  private ConfigException broken(String what) {
    return new ConfigException(
        file + ": " + what + "; it is not used, and nothing is begun in its place");
  }

  @Override
  public void close() {
    try {
      lock.close();
    } catch (IOException e) {
      LOG.log(Level.DEBUG, "closing: {0}", e.toString());
    }
  }
}
