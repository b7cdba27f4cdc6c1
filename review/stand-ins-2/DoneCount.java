package review2;

import com.fasterxml.jackson.databind.ObjectMapper;

/** A user cancels a job that is done already, at a controller that has not been asked about it before. */
final class DoneCount extends Case {
  private static final int PIECES = 4;

  @Override
  Site site() {
    return Site.fraserlight(new Platform.Offer(Site.HERON, "burnaby-east", false, 1));
  }

  private static int doneOf(Http.Reply reply) throws Exception {
    if (reply == null || reply.status() != 200) throw new IllegalStateException("no answer with status 200");
    return new ObjectMapper().readTree(reply.body()).path("done").asInt(-1);
  }

  @Override
  String run(Cluster cluster, Users users) throws Exception {
    Cluster.Member leader = cluster.leader();
    Cluster.Member other = cluster.members.stream().filter(m -> m != leader).findFirst().orElseThrow();
    Job job = new Job("j-000001", "rush-preview", "ingest-crew", "high", PIECES, 1.0, 1.7, 2.0);
    users.submitOnce(leader, job);
    Cluster.await("the job is not done", 40, () -> {
      Threads.sleep(1.0);
      return Users.standing(users.poll(leader, "j-000001")).equals("done");
    });
    Threads.sleep(3.0);
    if (trouble) {
      Http.Reply reply = users.send(other, "POST", "/api/jobs/j-000001/abort", "", 5000);
      if (!Users.standing(reply).equals("done")) throw new IllegalStateException("the cancellation was not answered with done");
    }
    int wrong = 0;
    for (int i = 0; i < 5; i++) {
      int atLeader = doneOf(users.poll(leader, "j-000001"));
      int atOther = doneOf(users.poll(other, "j-000001"));
      if (atLeader != PIECES) throw new IllegalStateException("the leader counts " + atLeader);
      if (atOther != PIECES) wrong++;
      Threads.sleep(2.0);
    }
    return wrong == 0 ? null : wrong + " of 5 answers about a job of " + PIECES + " tasks that is done count 0 of them as done";
  }

  public static void main(String[] args) {
    main(new DoneCount(), args[0]);
  }
}
