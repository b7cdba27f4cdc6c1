package review2;

/** An array of which one task runs longer than the others. */
final class LongTask extends Case {
  private static final int PIECES = 8;
  private static final double RUN_SECONDS = 5.0;
  private static final double LONG_RUN_SECONDS = 17.0;
  private static final double WAIT_SECONDS = 85.0;

  @Override
  Site site() {
    return Site.fraserlight(
        new Platform.Offer(Site.HERON, "burnaby-east", false, 2),
        new Platform.Offer(Site.HERON, "richmond-dock", false, 2),
        new Platform.Offer(Site.HERON, "surrey-annex", false, 2));
  }

  @Override
  String run(Cluster cluster, Users users) throws Exception {
    Platform platform = cluster.platform;
    Cluster.await("the machines are not up", 30, () -> platform.workers().stream().filter(Worker::isUp).count() == 6);
    Threads.sleep(4.0);
    Job job = new Job("j-000001", "rush-preview", "ingest-crew", "high", PIECES, 1.0, 1.7, RUN_SECONDS);
    if (trouble) job.lastRunSeconds = LONG_RUN_SECONDS;
    if (!users.submit(job)) throw new IllegalStateException("the job was not accepted");
    boolean done =
        Cluster.within(WAIT_SECONDS, () -> {
          Threads.sleep(2.0);
          return Users.standing(users.poll("j-000001")).equals("done");
        });
    cluster.recordLogs("leader elected", "straggler", "task stopped", "task lost", "returning machines");
    if (done) return null;
    return "the job is not done after " + (int) WAIT_SECONDS + " s; its last task, of " + (int) LONG_RUN_SECONDS + " s, was started "
        + (platform.runs("j-000001") - PIECES + 1) + " times";
  }

  public static void main(String[] args) {
    main(new LongTask(), args[0]);
  }
}
