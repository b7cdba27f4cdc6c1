package review2;

/** A job of many small tasks, of which one machine has room for more than a report of 64 KiB can name. */
final class SmallTasks extends Case {
  @Override
  Site site() {
    return Site.koelwacht(new Platform.Offer(Site.DIJK, "zwolle-hal", false, 1));
  }

  @Override
  String run(Cluster cluster, Users users) throws Exception {
    Platform platform = cluster.platform;
    platform.recordTasks = false;
    int pieces = trouble ? 1500 : 800;
    Job job = new Job("j-000001", "logger-intake", "koudketen-ops-1", "normal", pieces, 0.04, 0.1, 45.0);
    if (!users.submit(job)) throw new IllegalStateException("the job was not accepted");
    boolean isDone =
        Cluster.within(100, () -> {
          Threads.sleep(3.0);
          Record.line("tasks started " + platform.runs("j-000001") + ", tasks completed " + platform.doneCount("j-000001"));
          return Users.standing(users.poll("j-000001")).equals("done");
        });
    int expired = platform.workers().stream().mapToInt(w -> w.leasesExpired).sum();
    cluster.recordLogs("leader elected", "controller ended", "lease_expired");
    if (isDone) return null;
    return "job not done; tasks completed " + platform.doneCount("j-000001") + ", leases ended " + expired;
  }

  public static void main(String[] args) {
    main(new SmallTasks(), args[0]);
  }
}
