package review2;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.concurrent.ThreadLocalRandom;

/** Users as in PROTOCOL, "Users -> controller nodes". Each request uses a new connection to a given controller, or to any. */
final class Users {
  private static final ObjectMapper JSON = new ObjectMapper();
  private final Cluster cluster;

  Users(Cluster cluster) {
    this.cluster = cluster;
  }

  private Cluster.Member any() {
    return cluster.members.get(ThreadLocalRandom.current().nextInt(cluster.members.size()));
  }

  Http.Reply send(Cluster.Member member, String method, String path, String body, int timeoutMillis) {
    Http.Reply reply = Http.once(member.servePort, method, path, body, timeoutMillis);
    String answer = reply == null ? "no answer" : reply.status() + " " + reply.body();
    Record.line("user to " + member.name + ": " + method + " " + path + (body.isEmpty() ? "" : " " + body) + " -> " + answer);
    return reply;
  }

  Http.Reply submitOnce(Cluster.Member member, Job job) {
    cluster.platform.upload(job);
    return send(member, "POST", "/api/jobs", job.body.toString(), 5000);
  }

  /** Submits, with repetitions for up to 60 s; returns whether the job was accepted. */
  boolean submit(Job job) {
    double until = Threads.now() + 60;
    while (Threads.now() < until) {
      Http.Reply reply = submitOnce(any(), job);
      if (reply != null && (reply.status() == 200 || reply.status() == 201)) return true;
      if (reply != null && (reply.status() == 400 || reply.status() == 422)) return false;
      Threads.sleep(1.0);
    }
    return false;
  }

  Http.Reply poll(Cluster.Member member, String job) {
    return send(member, "GET", "/api/jobs/" + job, "", 2000);
  }

  Http.Reply poll(String job) {
    return poll(any(), job);
  }

  /** Cancels, with repetitions; returns the final standing. */
  String cancel(String job) {
    double until = Threads.now() + 60;
    while (Threads.now() < until) {
      Http.Reply reply = send(any(), "POST", "/api/jobs/" + job + "/abort", "", 5000);
      String standing = standing(reply);
      if (reply != null && reply.status() == 200) return standing;
      Threads.sleep(1.0);
    }
    return "";
  }

  static String standing(Http.Reply reply) {
    if (reply == null) return "";
    try {
      return JSON.readTree(reply.body()).path("standing").asText("");
    } catch (IOException e) {
      return "";
    }
  }
}
