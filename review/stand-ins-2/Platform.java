package review2;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** The cloud of PROTOCOL, "Controller nodes -> cloud", its machines, and what really runs on them. */
final class Platform implements Http.Handler {
  /** How many machines of a type, zone and kind the cloud has to give. */
  record Offer(MachineType type, String zone, boolean spot, int count) {}

  private record Rented(Worker worker, double rentedAt) {}

  private record Snapshot(double at, List<ObjectNode> entries) {}

  private static final ObjectMapper JSON = new ObjectMapper();
  final double reportSeconds;
  final double leaseSeconds;
  private final double listLagSeconds;
  private final List<Offer> offers;
  private final List<String> zones;
  private final Map<String, Rented> machines = new LinkedHashMap<>();
  private final Map<String, String> answers = new HashMap<>();
  private final ArrayDeque<Snapshot> snapshots = new ArrayDeque<>();
  private final Map<String, Job> jobs = new ConcurrentHashMap<>();
  private final Set<String> done = ConcurrentHashMap.newKeySet();
  private final Map<String, String> onMachine = new HashMap<>();
  private final Map<String, Integer> runs = new ConcurrentHashMap<>();
  final List<String> violations = new ArrayList<>();
  private Cluster cluster;
  private int nextMachine = 1;
  double bootFactor = 0.1;
  volatile boolean recordTasks = true;

  Platform(List<Offer> offers, List<String> zones, double reportSeconds, double leaseSeconds, double listLagSeconds) {
    this.offers = offers;
    this.zones = zones;
    this.reportSeconds = reportSeconds;
    this.leaseSeconds = leaseSeconds;
    this.listLagSeconds = listLagSeconds;
    Threads.start("snapshots", this::takeSnapshots);
  }

  void cluster(Cluster cluster) {
    this.cluster = cluster;
  }

  int members() {
    return cluster.members.size();
  }

  int port(int member) {
    return cluster.members.get(member).servePort;
  }

  int memberIndex(String name) {
    for (int i = 0; i < cluster.members.size(); i++) if (cluster.members.get(i).name.equals(name)) return i;
    return -1;
  }

  synchronized List<Worker> workers() {
    return machines.values().stream().map(Rented::worker).toList();
  }

  // --- what runs

  void upload(Job job) {
    jobs.put(job.id, job);
  }

  Job job(String id) {
    return jobs.get(id);
  }

  boolean isDone(String piece) {
    return done.contains(piece);
  }

  long doneCount(String job) {
    return done.stream().filter(p -> p.startsWith(job + "/")).count();
  }

  int runs(String job) {
    return runs.getOrDefault(job, 0);
  }

  synchronized void started(Worker worker, String piece, String job, int attempt) {
    runs.merge(job, 1, Integer::sum);
    String other = onMachine.put(piece, worker.id);
    if (other != null) {
      violations.add("ran_twice: " + piece + " starts on " + worker.id + " while it is on " + other);
      Record.line(violations.get(violations.size() - 1));
    }
    if (recordTasks) Record.line(worker.id + " runs " + piece + " try " + attempt);
  }

  synchronized void ended(Worker worker, String piece, String job, String cause) {
    onMachine.remove(piece, worker.id);
    if (cause.equals("done")) done.add(piece);
    if (recordTasks) Record.line(worker.id + " ends " + piece + ": " + cause);
  }

  void reported(Worker worker, int node, int bytes, Http.Reply reply) {
    if (reply == null || reply.status() != 200) {
      String answer = reply == null ? "no answer" : reply.status() + " " + reply.body();
      Record.line(worker.id + " reports (" + bytes + " bytes) to " + cluster.members.get(node).name + ": " + answer);
    }
  }

  void answered(Worker worker, String body) {
    if (recordTasks && !body.contains("\"orders\":[]")) Record.line(worker.id + " is answered " + body);
  }

  void commanded(Worker worker, String body, boolean executed) {
    if (recordTasks) Record.line(worker.id + " is commanded " + body + (executed ? "" : ": 409"));
  }

  // --- cloud

  @Override
  public Http.Reply handle(String method, String target, String body) throws IOException {
    if (target.equals("/catalog")) return new Http.Reply(200, catalog());
    if (target.equals("/rentals/return")) return giveBack(JSON.readTree(body));
    if (target.equals("/rentals")) return rent(JSON.readTree(body));
    if (target.startsWith("/rentals?")) return list(target);
    return new Http.Reply(400, "{}");
  }

  private String catalog() {
    ObjectNode reply = JSON.createObjectNode();
    ArrayNode list = reply.putArray("breeds");
    Set<String> seen = new HashSet<>();
    for (Offer offer : offers) {
      MachineType type = offer.type;
      if (!seen.add(type.name())) continue;
      ObjectNode entry = list.addObject().put("sku", type.name()).put("vcpus", type.cpus()).put("gpus", 0.0);
      entry.put("ramGb", type.memoryGb()).put("cacheGb", type.cacheGb()).put("pullGbPerS", type.fetchGbPerSecond());
      entry.put("price", type.price()).put("spotPrice", type.spotPrice()).put("bootS", type.bootSeconds());
      ArrayNode yards = entry.putArray("yards");
      zones.forEach(yards::add);
    }
    return reply.toString();
  }

  private synchronized Http.Reply rent(JsonNode request) throws IOException {
    String name = request.path("hire").asText();
    if (answers.containsKey(name)) return new Http.Reply(200, answers.get(name));
    String type = request.path("breed").asText();
    String zone = request.path("yard").asText();
    boolean spot = request.path("loaners").asBoolean();
    for (Offer offer : offers) {
      if (!offer.type.name().equals(type) || !offer.zone.equals(zone) || offer.spot != spot) continue;
      long used =
          machines.values().stream().map(Rented::worker)
              .filter(w -> w.type.name().equals(type) && w.zone.equals(zone) && w.spot == spot).count();
      int count = (int) Math.min(request.path("number").asInt(), offer.count - used);
      if (count <= 0) break;
      ObjectNode reply = JSON.createObjectNode();
      ArrayNode names = reply.putArray("drovers");
      for (int i = 0; i < count; i++) names.add(add(offer));
      answers.put(name, reply.toString());
      Record.line("cloud rents " + reply + " to " + name + " (" + type + ", " + zone + (spot ? ", spot)" : ")"));
      return new Http.Reply(200, reply.toString());
    }
    return new Http.Reply(503, "{\"error\":\"no capacity\"}");
  }

  private String add(Offer offer) throws IOException {
    String id = String.format("m-%06d", nextMachine++);
    Worker worker = new Worker(this, id, offer.type, offer.zone, offer.spot);
    machines.put(id, new Rented(worker, Threads.now()));
    Threads.after(offer.type.bootSeconds() * bootFactor, () -> {
      synchronized (this) {
        if (machines.containsKey(id)) worker.boot();
      }
    });
    return id;
  }

  private Http.Reply giveBack(JsonNode request) {
    List<Worker> gone = new ArrayList<>();
    synchronized (this) {
      for (JsonNode name : request.path("drovers")) {
        Rented rented = machines.remove(name.asText());
        if (rented != null) gone.add(rented.worker);
      }
    }
    gone.forEach(Worker::kill);
    if (!gone.isEmpty()) Record.line("cloud takes back " + request.path("drovers"));
    return new Http.Reply(200, "{}");
  }

  private void takeSnapshots() {
    while (true) {
      synchronized (this) {
        double now = Threads.now();
        List<ObjectNode> entries = new ArrayList<>();
        machines.forEach((id, rented) -> {
          Worker worker = rented.worker;
          ObjectNode entry = JSON.createObjectNode().put("id", id).put("addr", worker.address()).put("breed", worker.type.name());
          entry.put("yard", worker.zone).put("loaners", worker.spot).put("standing", worker.isUp() ? "running" : "starting");
          entries.add(entry.put("ageS", now - rented.rentedAt));
        });
        snapshots.addLast(new Snapshot(now, entries));
        while (snapshots.getFirst().at < now - 3 * listLagSeconds) snapshots.removeFirst();
      }
      Threads.sleep(0.5);
    }
  }

  private synchronized Http.Reply list(String target) {
    String from = "";
    int limit = 500;
    for (String pair : target.substring(target.indexOf('?') + 1).split("&")) {
      if (pair.startsWith("from=")) from = pair.substring(5);
      if (pair.startsWith("limit=")) limit = Integer.parseInt(pair.substring(6));
    }
    Snapshot snapshot = null;
    for (Snapshot candidate : snapshots) if (candidate.at <= Threads.now() - listLagSeconds) snapshot = candidate;
    ObjectNode reply = JSON.createObjectNode();
    ArrayNode list = reply.putArray("drovers");
    boolean truncated = false;
    if (snapshot != null) {
      for (ObjectNode entry : snapshot.entries) {
        if (entry.path("id").asText().compareTo(from) <= 0) continue;
        truncated = list.size() == limit;
        if (truncated) break;
        list.add(entry);
      }
    }
    return new Http.Reply(200, reply.put("truncated", truncated).toString());
  }
}
