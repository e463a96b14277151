package reachloom.revision.net;

import java.io.IOException;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.OverlappingFileLockException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.Optional;
import reachloom.revision.ConsensusState;
import reachloom.revision.ConsensusStore;

/**
 * Stores an issuer's state in a directory of its own. A lock file ensures that only one process at
 * a time uses the directory. Each save replaces the state file atomically and forces it to disk
 * before it returns. A state file that is corrupt or belongs to another issuer is reported, and
 * neither used nor replaced: an issuer that has lost its state must not vote as if it had not.
 *
 * <p>Confined to the thread of the issuer's event loop once the store is open.
 */
public final class FileStore implements ConsensusStore, AutoCloseable {
  private static final Logger LOG = System.getLogger(FileStore.class.getName());
  private static final String STATE_FILE = "issuer.state";
  private static final String NEXT_STATE_FILE = "issuer.state.next";
  private static final String LOCK_FILE = "issuer.lock";

  private final Path directory;
  private final Path stateFile;
  private final ConsensusStateCodec codec;
  private final FileChannel lock;
  private final Optional<ConsensusState> loaded;
  private boolean failing;

  private FileStore(Path directory, String issuer, String cluster, boolean create)
      throws StoreException {
    this.directory = directory;
    stateFile = directory.resolve(STATE_FILE);
    codec = new ConsensusStateCodec(issuer, cluster);
    lock = lock(directory.resolve(LOCK_FILE));
    try {
      loaded = create ? Optional.of(createState()) : readState();
    } catch (StoreException e) {
      close();
      throw e;
    }
  }

  /**
   * Creates the store of an issuer that has never voted.
   *
   * @throws StoreException if the store already exists, another process uses the directory, or the
   *     store cannot be written
   */
  public static FileStore create(Path directory, String issuer, String cluster)
      throws StoreException {
    return new FileStore(directory, issuer, cluster, true);
  }

  /**
   * Opens a store. A directory without a state file counts as a lost store, and loads as empty.
   *
   * @throws StoreException if another process uses the store, its state cannot be read, or the
   *     state belongs to another issuer
   */
  public static FileStore open(Path directory, String issuer, String cluster)
      throws StoreException {
    return new FileStore(directory, issuer, cluster, false);
  }

  /** Returns the directory of the store. */
  public Path directory() {
    return directory;
  }

  private static FileChannel lock(Path file) throws StoreException {
    try {
      Files.createDirectories(file.getParent());
      FileChannel channel =
          FileChannel.open(file, StandardOpenOption.CREATE, StandardOpenOption.WRITE);
      if (tryLock(channel)) {
        return channel;
      }
      closeQuietly(channel);
    } catch (IOException e) {
      throw new StoreException(file, "cannot be locked: " + e.getMessage());
    }
    throw new StoreException(file, "another process uses this store");
  }

  private static boolean tryLock(FileChannel channel) throws IOException {
    try {
      FileLock held = channel.tryLock();
      return held != null;
    } catch (OverlappingFileLockException e) {
      return false; // this process already holds the lock
    }
  }

  private ConsensusState createState() throws StoreException {
    if (Files.exists(stateFile)) {
      throw new StoreException(stateFile, "already exists; an issuer's store is created only once");
    }
    ConsensusState initial = ConsensusState.initial();
    if (!save(initial)) {
      throw new StoreException(stateFile, "cannot be written");
    }
    return initial;
  }

  private Optional<ConsensusState> readState() throws StoreException {
    if (!Files.exists(stateFile)) {
      return Optional.empty();
    }
    try {
      if (Files.size(stateFile) > ConsensusStateCodec.MAX_BYTES) {
        throw unusable("size", "is larger than " + ConsensusStateCodec.MAX_BYTES + " bytes");
      }
      return Optional.of(codec.decode(Files.readAllBytes(stateFile)));
    } catch (StateFormatException e) {
      throw unusable(e.field(), e.getMessage());
    } catch (IOException e) {
      throw unusable("state", "cannot be read: " + e.getMessage());
    }
  }

  private StoreException unusable(String field, String problem) {
    return new StoreException(
        stateFile, field, problem + "; the file is not used, and not replaced by a new state");
  }

  /** Returns the state that the store contained when it was opened. */
  @Override
  public Optional<ConsensusState> load() {
    return loaded;
  }

  @Override
  public boolean save(ConsensusState state) {
    try {
      replaceState(codec.encode(state));
    } catch (IOException e) {
      logFailure(e);
      return false;
    }
    if (failing) {
      LOG.log(Level.INFO, "{0}: state can be written again", stateFile);
    }
    failing = false;
    return true;
  }

  private void replaceState(byte[] stored) throws IOException {
    Path next = directory.resolve(NEXT_STATE_FILE);
    try (FileChannel out =
        FileChannel.open(
            next,
            StandardOpenOption.CREATE,
            StandardOpenOption.WRITE,
            StandardOpenOption.TRUNCATE_EXISTING)) {
      ByteBuffer bytes = ByteBuffer.wrap(stored);
      while (bytes.hasRemaining()) {
        out.write(bytes);
      }
      out.force(true);
    }
    Files.move(
        next, stateFile, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
    try (FileChannel entries = FileChannel.open(directory, StandardOpenOption.READ)) {
      entries.force(true);
    }
  }

  private void logFailure(IOException e) {
    if (!failing) {
      LOG.log(
          Level.ERROR,
          "{0}: cannot write the state, this issuer neither promises nor votes until it can: {1}",
          stateFile,
          e.toString());
    }
    failing = true;
  }

  /** Releases the lock, so that another process can use the directory. */
  @Override
  public void close() {
    closeQuietly(lock);
  }

  private static void closeQuietly(FileChannel channel) {
    try {
      channel.close();
    } catch (IOException e) {
      LOG.log(Level.DEBUG, "cannot close the lock file: {0}", e.toString());
    }
  }
}
