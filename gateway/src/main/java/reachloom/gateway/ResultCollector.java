package reachloom.gateway;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.OptionalLong;
import java.util.function.BiConsumer;
import reachloom.gateway.state.EngineAttempt;
import reachloom.gateway.wire.EngineCommandWriter;
import reachloom.gateway.wire.EngineResponse;
import reachloom.gateway.wire.Rows;
import reachloom.scheduler.api.AttemptOutcome;

/**
 * Collects the pages of results, fetching one after the other, until a result is complete. Limits
 * the buffered bytes per result and in total. Confined to the event loop's thread.
 */
final class ResultCollector {
  private static final Logger LOG = System.getLogger(EngineClient.class.getName());
  private static final int MAX_RESULT_BYTES = 48_000;
  private static final int MAX_PAGES = 1024;

  /** The most buffered bytes of incomplete results of all attempts together. */
  private static final long MAX_BUFFERED_BYTES = 8L << 20;

  private final EngineConnectionPool pool;
  private final BiConsumer<EngineAttempt, AttemptOutcome> onEnd;
  private long bufferedBytes;

  /**
   * Creates a collector without results.
   *
   * @param onEnd ends an attempt whose result is complete or is dropped
   */
  ResultCollector(EngineConnectionPool pool, BiConsumer<EngineAttempt, AttemptOutcome> onEnd) {
    this.pool = pool;
    this.onEnd = onEnd;
  }

  /** Adds the first page of a result, which holds the page count; ignores a duplicate. */
  void onFirstPage(EngineAttempt attempt, EngineResponse response) {
    if (!attempt.pages.isEmpty()) {
      return;
    }
    OptionalLong pageCount = response.pageCount();
    if (pageCount.isEmpty() || pageCount.getAsLong() < 1 || pageCount.getAsLong() > MAX_PAGES) {
      pool.closeOnProtocolError(
          attempt.connection, "a result of " + response.pageCountText() + " pages");
      return;
    }
    attempt.resultStarted((int) pageCount.getAsLong(), response.costMs(), response.memoryMb());
    addPage(attempt, response.body());
  }

  /** Adds a further page of a result; ignores a duplicate. */
  void onFurtherPage(EngineAttempt attempt, EngineResponse response) {
    OptionalLong number = response.pageNumber();
    int expected = attempt.pages.size();
    if (number.isPresent() && number.getAsLong() > 0 && number.getAsLong() < expected) {
      return;
    }
    if (expected == 0 || number.isEmpty() || number.getAsLong() != expected) {
      pool.closeOnProtocolError(
          attempt.connection, "page " + response.pageNumberText() + " out of order");
      return;
    }
    addPage(attempt, response.body());
  }

  private void addPage(EngineAttempt attempt, byte[] page) {
    attempt.pages.add(page);
    attempt.resultBytes += page.length;
    bufferedBytes += page.length;
    if (attempt.resultBytes > MAX_RESULT_BYTES || !Rows.isValid(page)) {
      pool.closeOnProtocolError(
          attempt.connection,
          "a page with incomplete rows, or a result of more than "
              + MAX_RESULT_BYTES
              + " bytes ("
              + attempt.resultBytes
              + " bytes so far)");
    } else if (bufferedBytes > MAX_BUFFERED_BYTES) {
      dropResult(attempt);
    } else if (attempt.pages.size() < attempt.pageCount) {
      pool.write(
          attempt.connection,
          EngineCommandWriter.fetchPage(attempt.request.id, attempt.pages.size()));
    } else {
      completeResult(attempt);
    }
  }

  private void dropResult(EngineAttempt attempt) {
    LOG.log(
        Level.WARNING,
        "{0} bytes of incomplete results are buffered, more than the limit; a result of engine {1}"
            + " is dropped and its attempt fails",
        bufferedBytes,
        attempt.engine);
    pool.write(attempt.connection, EngineCommandWriter.releaseResult(attempt.request.id));
    onEnd.accept(attempt, AttemptOutcome.ERROR);
  }

  private void completeResult(EngineAttempt attempt) {
    if (attempt.pageCount > 1) {
      pool.write(attempt.connection, EngineCommandWriter.releaseResult(attempt.request.id));
    }
    onEnd.accept(attempt, AttemptOutcome.SERVED);
  }

  /** Subtracts the pages of an attempt that has ended from the buffered bytes. */
  void discard(EngineAttempt attempt) {
    bufferedBytes -= attempt.resultBytes;
    attempt.resultBytes = 0;
  }
}
