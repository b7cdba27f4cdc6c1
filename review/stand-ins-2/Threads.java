package review2;

import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/** Daemon threads and timers of the stand-ins. */
final class Threads {
  private static final ScheduledExecutorService TIMERS =
      Executors.newScheduledThreadPool(
          4,
          work -> {
            Thread thread = new Thread(work, "timer");
            thread.setDaemon(true);
            return thread;
          });

  static void start(String name, Runnable work) {
    Thread thread = new Thread(null, work, name, 256 * 1024);
    thread.setDaemon(true);
    thread.start();
  }

  static void after(double seconds, Runnable work) {
    TIMERS.schedule(
        () -> {
          try {
            work.run();
          } catch (RuntimeException e) {
            e.printStackTrace();
          }
        },
        (long) (seconds * 1e6),
        TimeUnit.MICROSECONDS);
  }

  static double now() {
    return System.nanoTime() / 1e9;
  }

  static void sleep(double seconds) {
    try {
      Thread.sleep((long) (seconds * 1000));
    } catch (InterruptedException e) {
      throw new IllegalStateException(e);
    }
  }

  private Threads() {}
}
