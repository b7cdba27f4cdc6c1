package review2;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Random;
import java.util.Set;

/** A worker of PROTOCOL, "Workers -> controller nodes" and "Controller nodes -> workers". */
final class Worker implements Http.Handler {
  private final class Task {
    final Job job;
    final String piece;
    final int attempt;
    String standing = "fetching";
    String cause;

    Task(Job job, String piece, int attempt) {
      this.job = job;
      this.piece = piece;
      this.attempt = attempt;
    }

    boolean isOnMachine() {
      return standing.equals("running");
    }
  }

  private static final ObjectMapper JSON = new ObjectMapper();
  private final Platform platform;
  final String id;
  final MachineType type;
  final String zone;
  final boolean spot;
  final int port;
  private final Http.Server server;
  private final Http.Client client = new Http.Client();
  private final Map<String, Task> tasks = new LinkedHashMap<>();
  private final Set<String> images = new HashSet<>();
  private final Random random = new Random();
  private long stint = 1;
  private long tally;
  private long baton;
  private int node;
  private double answeredSentAt;
  private volatile boolean changed;
  private volatile boolean isUp;
  private volatile boolean isGone;
  private volatile boolean isCut;
  int leasesExpired;

  Worker(Platform platform, String id, MachineType type, String zone, boolean spot) throws IOException {
    this.platform = platform;
    this.id = id;
    this.type = type;
    this.zone = zone;
    this.spot = spot;
    this.port = Http.freePort();
    this.server = new Http.Server(port, 2, this);
    this.node = random.nextInt(platform.members());
  }

  boolean isUp() {
    return isUp;
  }

  String address() {
    return Http.HOST + ":" + port;
  }

  void boot() {
    isUp = true;
    answeredSentAt = Threads.now();
    Threads.start("worker-" + id, this::reportForever);
    Threads.start("lease-" + id, this::watchLease);
  }

  synchronized void kill() {
    isGone = true;
    tasks.values().forEach(this::leave);
    tasks.clear();
    try {
      server.close();
    } catch (IOException e) {
      e.printStackTrace();
    }
  }

  /** Cuts the machine off from the network; its tasks go on. */
  void cut() throws IOException {
    isCut = true;
    client.close();
    server.cut();
    Record.line(id + " loses the network");
  }

  void join() throws IOException {
    server.join();
    isCut = false;
    Record.line(id + " has the network again");
  }

  /** Seconds since the last report that was answered was sent. */
  synchronized double sinceReport() {
    return Threads.now() - answeredSentAt;
  }

  synchronized int running(String job) {
    return (int) tasks.values().stream().filter(t -> t.isOnMachine() && t.job.id.equals(job)).count();
  }

  synchronized int unfinished() {
    return (int) tasks.values().stream().filter(t -> !t.standing.equals("exited")).count();
  }

  private void watchLease() {
    while (!isGone) {
      Threads.sleep(0.1);
      synchronized (this) {
        if (isGone || Threads.now() <= answeredSentAt + platform.leaseSeconds) continue;
        Record.line(id + " lease ended, session " + stint + " ends with " + unfinished() + " tasks that had not ended");
        tasks.values().forEach(this::leave);
        tasks.clear();
        leasesExpired++;
        stint++;
        answeredSentAt = Threads.now();
        changed = true;
      }
    }
  }

  private void leave(Task task) {
    if (task.isOnMachine()) platform.ended(this, task.piece, task.job.id, "killed");
    task.standing = "exited";
  }

  private synchronized String report() {
    ObjectNode body = JSON.createObjectNode();
    body.put("drover", id).put("addr", address()).put("breed", type.name()).put("yard", zone).put("loaners", spot);
    body.put("stint", stint).put("tally", ++tally).put("baton", baton).putNull("recallS");
    ArrayNode pieces = body.putArray("pieces");
    for (Task task : tasks.values()) {
      ObjectNode piece = pieces.addObject().put("piece", task.piece).put("try", task.attempt).put("standing", task.standing);
      if (task.cause != null) piece.put("cause", task.cause);
    }
    return body.toString();
  }

  private void reportForever() {
    while (!isGone) {
      if (isCut) {
        Threads.sleep(0.05);
        continue;
      }
      double sentAt = Threads.now();
      long sentStint;
      String body;
      synchronized (this) {
        changed = false;
        sentStint = stint;
        body = report();
      }
      int bytes = body.getBytes(StandardCharsets.UTF_8).length;
      Http.Reply reply = client.call(platform.port(node), "POST", "/agent/beat", body, 4000);
      if (isCut) reply = null;
      platform.reported(this, node, bytes, reply);
      if (reply != null && reply.status() == 200) {
        if (accept(reply.body(), sentAt, sentStint)) platform.answered(this, reply.body());
        waitForNext(sentAt);
      } else if (reply != null && reply.status() == 421) {
        client.close();
        int named = platform.memberIndex(text(reply.body(), "herder"));
        if (named >= 0 && named != node) {
          node = named;
          Threads.sleep(random.nextDouble() * 0.5);
        } else {
          next();
        }
      } else {
        client.close();
        next();
      }
    }
  }

  private void next() {
    node = (node + 1) % platform.members();
    Threads.sleep(1.0);
  }

  private static String text(String body, String field) {
    try {
      return JSON.readTree(body).path(field).asText("");
    } catch (IOException e) {
      return "";
    }
  }

  private void waitForNext(double sentAt) {
    double dueAt = sentAt + platform.reportSeconds * (0.75 + random.nextDouble() * 0.5);
    double soonest = sentAt + 0.5;
    while (!isGone && !isCut) {
      double now = Threads.now();
      if (now >= dueAt || (changed && now >= soonest)) return;
      Threads.sleep(0.02);
    }
  }

  private synchronized boolean accept(String body, double sentAt, long sentStint) {
    JsonNode reply;
    try {
      reply = JSON.readTree(body);
    } catch (IOException e) {
      return false;
    }
    if (sentStint != stint || !reply.has("baton") || reply.path("baton").asLong() < baton) return false;
    seeToken(reply.path("baton").asLong());
    answeredSentAt = sentAt;
    reply.path("orders").forEach(this::execute);
    return true;
  }

  private void seeToken(long token) {
    if (token > baton) changed = true;
    baton = token;
  }

  @Override
  public Http.Reply handle(String method, String target, String body) throws IOException {
    if (target.equals("/inspect")) return new Http.Reply(200, report());
    if (body.getBytes(StandardCharsets.UTF_8).length > 64 * 1024) return new Http.Reply(400, "{\"error\":\"too long\"}");
    JsonNode command = JSON.readTree(body);
    synchronized (this) {
      if (!command.has("baton") || !command.has("stint")) return new Http.Reply(400, "{}");
      boolean isStale = command.path("baton").asLong() < baton || command.path("stint").asLong() != stint;
      if (!isStale) {
        seeToken(command.path("baton").asLong());
        command.path("orders").forEach(this::execute);
      }
      platform.commanded(this, body, !isStale);
      return new Http.Reply(isStale ? 409 : 200, report());
    }
  }

  private void execute(JsonNode order) {
    String piece = order.path("piece").asText();
    int attempt = order.path("try").asInt();
    String key = piece + "@" + attempt;
    Task task = tasks.get(key);
    switch (order.path("verb").asText()) {
      case "run" -> {
        if (task == null) start(key, piece, attempt);
      }
      case "halt" -> {
        if (task != null && !task.standing.equals("exited")) exit(task, "stopped");
      }
      case "reap" -> {
        if (task != null && task.standing.equals("exited")) tasks.remove(key);
      }
      default -> throw new IllegalArgumentException("no such verb: " + order);
    }
  }

  private void start(String key, String piece, int attempt) {
    Job job = platform.job(piece.substring(0, piece.indexOf('/')));
    Task task = new Task(job, piece, attempt);
    tasks.put(key, task);
    if (job == null) {
      task.standing = "exited";
      task.cause = "unknown";
      return;
    }
    double cpus = 0;
    double memoryGb = 0;
    for (Task other : tasks.values()) {
      if (other.standing.equals("exited")) continue;
      if (other != task && other.piece.equals(piece)) {
        exit(task, "in_use");
        return;
      }
      cpus += other.job.cpus;
      memoryGb += other.job.memoryGb;
    }
    if (cpus > type.cpus() + 1e-6 || memoryGb > type.memoryGb() + 1e-6) {
      exit(task, "full");
      return;
    }
    String image = job.body.path("bundle").asText();
    double fetchSeconds = images.contains(image) ? 0 : job.body.path("pullGb").asDouble() / type.fetchGbPerSecond();
    Threads.after(fetchSeconds, () -> fetched(key, task));
  }

  private synchronized void fetched(String key, Task task) {
    if (isGone || tasks.get(key) != task || !task.standing.equals("fetching")) return;
    images.add(task.job.body.path("bundle").asText());
    task.standing = "running";
    changed = true;
    platform.started(this, task.piece, task.job.id, task.attempt);
    double runSeconds = platform.isDone(task.piece) ? 0 : task.job.runSeconds(task.piece);
    Threads.after(runSeconds, () -> complete(key, task));
  }

  private synchronized void complete(String key, Task task) {
    if (isGone || tasks.get(key) != task || !task.standing.equals("running")) return;
    exit(task, "done");
  }

  private void exit(Task task, String cause) {
    if (task.isOnMachine()) platform.ended(this, task.piece, task.job.id, cause);
    task.standing = "exited";
    task.cause = cause;
    changed = true;
  }
}
