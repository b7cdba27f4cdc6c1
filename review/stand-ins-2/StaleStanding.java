package review2;

/** The state of a running job, asked of a controller that cannot reach the leader. */
final class StaleStanding extends Case {
  private static final double CUT_SECONDS = 20.0;

  @Override
  Site site() {
    return Site.fraserlight(new Platform.Offer(Site.HERON, "burnaby-east", false, 1));
  }

  @Override
  String run(Cluster cluster, Users users) throws Exception {
    Job job = new Job("j-000001", "sprite-sheet", "ingest-crew", "normal", 1, 8.0, 9.2, 100.0);
    if (!users.submit(job)) throw new IllegalStateException("the job was not accepted");
    Cluster.await("the job does not run", 40, () -> {
      Threads.sleep(0.5);
      return Users.standing(users.poll("j-000001")).equals("running");
    });
    double runsSince = Threads.now();
    Cluster.Member leader = cluster.leader();
    // The zone of the machine is not the one that is cut off from the leader's, so that its reports reach the leader all the time.
    String machineZone = cluster.platform.workers().get(0).zone;
    Cluster.Member other =
        cluster.members.stream().filter(m -> m != leader && !m.zone.equals(machineZone)).findFirst().orElseThrow();
    Threads.sleep(10.0);
    if (trouble) cluster.links.hold(leader.name, other.name, true);
    double until = Threads.now() + CUT_SECONDS;
    Threads.sleep(4.0);
    int wrong = 0;
    int asked = 0;
    while (Threads.now() < until) {
      for (Http.Reply reply : new Http.Reply[] {users.poll(other, "j-000001"), users.submitOnce(other, job)}) {
        if (reply == null || reply.status() != 200) continue;
        asked++;
        if (Users.standing(reply).equals("queued")) wrong++;
      }
      Threads.sleep(2.0);
    }
    boolean stillRuns = cluster.platform.workers().stream().mapToInt(w -> w.running("j-000001")).sum() == 1;
    if (trouble) cluster.links.hold(leader.name, other.name, false);
    if (!stillRuns || cluster.platform.runs("j-000001") != 1) throw new IllegalStateException("the task did not run all the time");
    if (asked == 0) throw new IllegalStateException("no answer with status 200");
    if (wrong == 0) return null;
    return wrong + " of " + asked + " answers say queued of a job whose task has run for " + (int) (Threads.now() - runsSince) + " s";
  }

  public static void main(String[] args) {
    main(new StaleStanding(), args[0]);
  }
}
