package review2;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** The record of a run: what was sent, answered and run, with the seconds since the start. */
final class Record {
  private static PrintWriter out;
  private static final double STARTED = Threads.now();

  static void open(Path file) throws IOException {
    out = new PrintWriter(Files.newBufferedWriter(file));
  }

  static double seconds() {
    return Threads.now() - STARTED;
  }

  static synchronized void line(String text) {
    String line = String.format(Locale.ROOT, "%8.3f %s", seconds(), text);
    out.println(line);
    out.flush();
  }

  static synchronized void result(String text) {
    line(text);
    System.out.println(text);
  }

  private Record() {}
}
