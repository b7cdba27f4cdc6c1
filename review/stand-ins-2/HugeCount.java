package review2;

/** A submission whose number of tasks is 2^64 + 1. */
final class HugeCount extends Case {
  @Override
  Site site() {
    return Site.fraserlight(new Platform.Offer(Site.HERON, "burnaby-east", false, 1));
  }

  @Override
  String run(Cluster cluster, Users users) throws Exception {
    Job job = new Job("j-000001", "rush-preview", "ingest-crew", "high", 1, 1.0, 1.7, 2.0);
    cluster.platform.upload(job);
    String pieces = trouble ? "18446744073709551617" : "1";
    String body = job.body.toString().replace("\"pieces\":1,", "\"pieces\":" + pieces + ",");
    Cluster.Member member = cluster.members.get(0);
    Http.Reply reply = users.send(member, "POST", "/api/jobs", body, 5000);
    if (reply == null) throw new IllegalStateException("no answer");
    boolean accepted = reply.status() == 200 || reply.status() == 201;
    if (!trouble && !accepted) throw new IllegalStateException("the valid job was not accepted");
    if (trouble && !accepted && reply.status() != 400) throw new IllegalStateException("neither accepted nor refused");
    if (!accepted) return null;
    boolean done =
        Cluster.within(40, () -> {
          Threads.sleep(1.0);
          return Users.standing(users.poll("j-000001")).equals("done");
        });
    if (!trouble) {
      if (!done) throw new IllegalStateException("the valid job was not done");
      return null;
    }
    return "a job of 2^64 + 1 tasks was answered " + reply.status() + (done ? " and is called done after " : " and has run ")
        + cluster.platform.runs("j-000001") + " task";
  }

  public static void main(String[] args) {
    main(new HugeCount(), args[0]);
  }
}
