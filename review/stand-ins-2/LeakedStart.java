package review2;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.List;

/** A job is cancelled while the starts of its tasks cannot reach two machines; afterwards another job needs one of them. */
final class LeakedStart extends Case {
  private static final double CUT_SECONDS = 1.8;
  private static final double WAIT_SECONDS = 60.0;
  private static final String CREW = "koudketen-ops-1";

  @Override
  Site site() {
    return Site.koelwacht(new Platform.Offer(Site.POLDER, "zwolle-hal", false, 2));
  }

  /** Each task takes a whole machine. */
  private static Job job(String id, int pieces, double runSeconds) {
    return new Job(id, "logger-intake", CREW, "normal", pieces, 16.0, 72.0, runSeconds);
  }

  private static void cut(Worker machine) {
    try {
      machine.cut();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  @Override
  String run(Cluster cluster, Users users) throws Exception {
    Platform platform = cluster.platform;
    // A first job, so that the two machines are rented and work.
    users.submit(job("j-000001", 2, 2.0));
    Cluster.await("the first job has not run", 40, () -> {
      Threads.sleep(0.5);
      return Users.standing(users.poll("j-000001")).equals("done");
    });
    List<Worker> machines = platform.workers();
    if (machines.size() != 2) throw new IllegalStateException("not two machines: " + machines.size());
    Threads.sleep(1.0);

    // Just after a report of both machines, so that nothing but the starts is to be sent to them meanwhile.
    Cluster.await("no reports", 20, () -> machines.stream().allMatch(machine -> machine.sinceReport() < 1.0));
    double cutAt = Threads.now();
    if (trouble) {
      Thread other = new Thread(() -> cut(machines.get(1)));
      other.start();
      cut(machines.get(0));
      other.join();
    }
    if (!users.submit(job("j-000002", 2, 60.0))) throw new IllegalStateException("the second job was not accepted");
    Threads.sleep(0.4);
    if (!users.cancel("j-000002").equals("withdrawn")) throw new IllegalStateException("the second job was not cancelled");
    Threads.sleep(Math.max(0, cutAt + CUT_SECONDS - Threads.now()));
    if (trouble) for (Worker machine : machines) machine.join();
    Threads.sleep(3.0);

    if (!users.submit(job("j-000003", 1, 5.0))) throw new IllegalStateException("the third job was not accepted");
    boolean runs =
        Cluster.within(WAIT_SECONDS, () -> {
          Threads.sleep(3.0);
          Record.line("tasks that have not ended on the machines: " + platform.workers().stream().mapToInt(Worker::unfinished).sum());
          users.poll("j-000003");
          return platform.runs("j-000003") > 0;
        });
    cluster.recordLogs("leader elected", "task lost", "command outcome", "job ended", "machine gone", "returning machines");
    if (!runs) return "j-000003 was accepted, and its task did not start in " + (int) WAIT_SECONDS + " s beside two idle machines";
    return null;
  }

  public static void main(String[] args) {
    main(new LeakedStart(), args[0]);
  }
}
