package reachloom.flowcontrol;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** When a connection is read, by the work that it and all others have caused. */
class FlowWindowTest {
  private static final int WINDOW_BYTES = 16 * 1024;
  private static final int CHECK_BYTES = 22;

  private final FlowController controller = new FlowController();

  @Test
  void pausesFullWindowUntilHalfOfItIsFree() {
    FlowWindow window = controller.openWindow(WINDOW_BYTES);
    window.charge(WINDOW_BYTES - 1);
    assertFalse(window.pauseIfFull());
    window.charge(1);
    assertTrue(window.pauseIfFull());
    assertFalse(window.release(WINDOW_BYTES / 2 - 1));
    assertTrue(window.release(1), "resumed once");
    assertFalse(window.release(1));
    assertFalse(window.pauseIfFull());
    window.release(WINDOW_BYTES / 2 - 1);
    assertTrue(window.isEmpty());
    assertEquals(0, controller.pendingBytes());
  }

  @Test
  void othersWorkDoesNotPauseConnectionWithoutWork() {
    FlowWindow busy = controller.openWindow(Long.MAX_VALUE);
    FlowWindow quiet = controller.openWindow(WINDOW_BYTES);
    busy.charge(2 * FlowController.MAX_PENDING_BYTES);
    assertFalse(quiet.pauseIfFull());
    assertEquals(FlowWindow.MIN_READ_BYTES, quiet.readLimit(), "but it is read in small steps");
    quiet.charge(FlowController.MIN_WINDOW_BYTES);
    assertTrue(quiet.pauseIfFull());
    assertFalse(quiet.release(1));
    assertTrue(quiet.release(FlowController.MIN_WINDOW_BYTES - 1));
  }

  @Test
  void readsManySmallMessagesInSmallerStepsThanLargeOnes() {
    FlowWindow window = controller.openWindow(WINDOW_BYTES);
    assertEquals(FlowWindow.INITIAL_READ_BYTES, window.readLimit());
    window.recordRead(CHECK_BYTES * 93, 93);
    int checks = window.readLimit() / CHECK_BYTES;
    assertTrue(checks >= 20 && checks <= 32, checks + " checks in a read");
    window.recordRead(FlowWindow.INITIAL_READ_BYTES, 0);
    assertEquals(FlowWindow.MAX_READ_BYTES, window.readLimit());
    window.recordRead(1, 1);
    assertEquals(FlowWindow.MIN_READ_BYTES, window.readLimit());
  }

  /** Without the limit of all connections together, hundreds of clients took the whole heap. */
  @Test
  void workOfHundredsOfHostileConnectionsStaysBounded() {
    SplittableRandom random = new SplittableRandom(1);
    List<FlowWindow> windows = new ArrayList<>();
    List<Boolean> paused = new ArrayList<>();
    for (int i = 0; i < 384; i++) {
      windows.add(controller.openWindow(WINDOW_BYTES));
      paused.add(false);
    }
    long most = 0;
    for (int step = 0; step < 100_000; step++) {
      int i = random.nextInt(windows.size());
      FlowWindow window = windows.get(i);
      if (!paused.get(i)) {
        int bytes = window.readLimit();
        int messages = bytes / CHECK_BYTES;
        window.charge(bytes + (long) messages * FlowController.MESSAGE_OVERHEAD_BYTES);
        window.recordRead(bytes, messages);
        paused.set(i, window.pauseIfFull());
      }
      most = Math.max(most, controller.pendingBytes());
    }
    assertTrue(paused.stream().allMatch(p -> p), "nothing is finished, so that all are paused");
    assertTrue(most < 8L << 20, most + " bytes");
  }
}
