package review2;

import java.nio.file.Path;

/** The frame of a case: exit status 1 if the rule was broken, 0 if it held, 2 if the case could not run. */
abstract class Case {
  private static final double LIMIT_SECONDS = 115.0;

  /** Whether the disruption takes place; `TROUBLE=0` runs the case without it. */
  final boolean trouble = !"0".equals(System.getenv("TROUBLE"));

  abstract Site site();

  /** Returns null if the rule held, or how it was broken. */
  abstract String run(Cluster cluster, Users users) throws Exception;

  static void main(Case test, String folder) {
    int status = 2;
    Threads.after(LIMIT_SECONDS, () -> {
      Record.result("COULD NOT RUN in " + (int) LIMIT_SECONDS + " s");
      Runtime.getRuntime().exit(2);
    });
    try {
      Record.open(Path.of(folder, "record.txt"));
      Record.line(test.trouble ? "with the disruption" : "without the disruption (TROUBLE=0)");
      try (Cluster cluster = new Cluster(test.site())) {
        cluster.awaitReady();
        String broken = test.run(cluster, new Users(cluster));
        Record.result(broken == null ? "HELD" : "BROKEN " + broken);
        status = broken == null ? 0 : 1;
      }
    } catch (Throwable e) {
      e.printStackTrace();
      try {
        Record.result("COULD NOT RUN " + e);
      } catch (RuntimeException ignored) {
        System.out.println("COULD NOT RUN " + e);
      }
    }
    Runtime.getRuntime().exit(status);
  }
}
