package review;

/** Threads that do not keep the process alive. */
final class Threads {
  private Threads() {}

  static Thread daemon(String name, Runnable work) {
    Thread thread = new Thread(work, name);
    thread.setDaemon(true);
    thread.start();
    return thread;
  }

  static void sleep(long ms) {
    try {
      Thread.sleep(ms);
    } catch (InterruptedException e) {
      throw new IllegalStateException("interrupted", e);
    }
  }
}
