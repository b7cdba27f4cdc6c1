package review2;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The state service of PROTOCOL, "Controller nodes -> state service". */
final class State implements Http.Handler {
  private record Entry(JsonNode value, long stamp, Long tether) {}

  private record Change(long revision, String key, JsonNode value) {}

  private static final class Lease {
    double ttl;
    double endsAt;
  }

  private static final ObjectMapper JSON = new ObjectMapper();
  private static final int KEPT_CHANGES = 10_000;
  private final TreeMap<String, Entry> entries = new TreeMap<>();
  private final ArrayDeque<Change> changes = new ArrayDeque<>();
  private final Map<Long, Lease> leases = new HashMap<>();
  private final int changesPerTransaction;
  private final int valueBytes;
  private final double rps;
  private final double writeRps;
  private double requestTokens;
  private double writeTokens;
  private double refilledAt = Threads.now();
  private long revision;
  private long nextLease = 1;
  private double downUntil;

  State(double rps, double writeRps, double valueKb, int changesPerTransaction) {
    this.rps = rps;
    this.writeRps = writeRps;
    this.requestTokens = rps;
    this.writeTokens = writeRps;
    this.valueBytes = (int) (valueKb * 1024);
    this.changesPerTransaction = changesPerTransaction;
    Threads.start("leases", this::expireForever);
  }

  synchronized void outage(double seconds) {
    downUntil = Threads.now() + seconds;
  }

  synchronized JsonNode value(String key) {
    Entry entry = entries.get(key);
    return entry == null ? null : entry.value;
  }

  private boolean isDown() {
    return Threads.now() < downUntil;
  }

  private void expireForever() {
    boolean wasDown = false;
    while (true) {
      Threads.sleep(0.02);
      synchronized (this) {
        double now = Threads.now();
        if (isDown()) {
          wasDown = true;
          continue;
        }
        if (wasDown) leases.values().forEach(lease -> lease.endsAt = now + lease.ttl);
        wasDown = false;
        List<Long> ended = new ArrayList<>();
        leases.forEach((id, lease) -> {
          if (lease.endsAt < now) ended.add(id);
        });
        ended.forEach(this::endLease);
      }
    }
  }

  private void endLease(long id) {
    if (leases.remove(id) == null) return;
    List<String> keys = new ArrayList<>();
    entries.forEach((key, entry) -> {
      if (entry.tether != null && entry.tether == id) keys.add(key);
    });
    if (keys.isEmpty()) return;
    revision++;
    for (String key : keys) {
      entries.remove(key);
      record(new Change(revision, key, null));
    }
    notifyAll();
  }

  private void record(Change change) {
    changes.addLast(change);
    while (changes.size() > KEPT_CHANGES) changes.removeFirst();
  }

  private boolean take(int writes) {
    double now = Threads.now();
    requestTokens = Math.min(rps, requestTokens + (now - refilledAt) * rps);
    writeTokens = Math.min(writeRps, writeTokens + (now - refilledAt) * writeRps);
    refilledAt = now;
    if (requestTokens < 1 || writeTokens < writes) return false;
    requestTokens -= 1;
    writeTokens -= writes;
    return true;
  }

  @Override
  public Http.Reply handle(String method, String target, String body) throws IOException, InterruptedException {
    String path = target.contains("?") ? target.substring(0, target.indexOf('?')) : target;
    Map<String, String> query = new HashMap<>();
    if (target.contains("?")) {
      for (String pair : target.substring(target.indexOf('?') + 1).split("&")) {
        int at = pair.indexOf('=');
        if (at > 0) query.put(pair.substring(0, at), pair.substring(at + 1));
      }
    }
    synchronized (this) {
      if (isDown()) return new Http.Reply(503, "{\"error\":\"outage\"}");
      JsonNode transaction = path.equals("/multi") ? JSON.readTree(body) : null;
      if (!take(transaction == null ? 0 : transaction.path("then").size())) return new Http.Reply(429, "{}");
      if (transaction != null) return commit(transaction, body);
      if (path.equals("/store")) return list(query);
      if (path.startsWith("/store/")) return get(path.substring(7));
      if (path.equals("/leases")) return grant(JSON.readTree(body).path("ttlMs").asLong());
      if (path.startsWith("/leases/")) return lease(method, path.split("/"));
      if (path.equals("/follow")) return follow(query);
      return new Http.Reply(400, "{}");
    }
  }

  private Http.Reply get(String key) {
    Entry entry = entries.get(key);
    if (entry == null) return new Http.Reply(404, "{\"ledgerRev\":" + revision + "}");
    ObjectNode reply = pair(key, entry);
    if (entry.tether != null) reply.put("tether", entry.tether);
    return new Http.Reply(200, reply.toString());
  }

  private static ObjectNode pair(String key, Entry entry) {
    ObjectNode node = JSON.createObjectNode();
    node.put("key", key);
    node.set("value", entry.value);
    node.put("stamp", entry.stamp);
    return node;
  }

  private Http.Reply list(Map<String, String> query) {
    String prefix = query.getOrDefault("starts", "");
    String from = query.getOrDefault("from", "");
    int limit = Math.min(1000, Integer.parseInt(query.getOrDefault("limit", "1000")));
    ObjectNode reply = JSON.createObjectNode();
    ArrayNode pairs = reply.putArray("pairs");
    int bytes = 0;
    boolean truncated = false;
    for (Map.Entry<String, Entry> entry : entries.tailMap(from, false).entrySet()) {
      if (!entry.getKey().startsWith(prefix)) continue;
      ObjectNode pair = pair(entry.getKey(), entry.getValue());
      int size = pair.toString().length();
      if (pairs.size() == limit || bytes + size > 512 * 1024) {
        truncated = true;
        break;
      }
      bytes += size;
      pairs.add(pair);
    }
    reply.put("truncated", truncated);
    reply.put("ledgerRev", revision);
    return new Http.Reply(200, reply.toString());
  }

  private Http.Reply commit(JsonNode transaction, String body) {
    JsonNode then = transaction.path("then");
    JsonNode conditions = transaction.path("if");
    boolean tooLarge =
        then.size() > changesPerTransaction || conditions.size() > 4 * changesPerTransaction
            || body.getBytes(StandardCharsets.UTF_8).length > 64 * 1024;
    for (JsonNode change : then) {
      if (change.has("value") && change.path("value").toString().getBytes(StandardCharsets.UTF_8).length > valueBytes) tooLarge = true;
    }
    if (tooLarge) return new Http.Reply(400, "{\"error\":\"too large\"}");
    for (JsonNode change : then) {
      if (change.has("tether") && !leases.containsKey(change.path("tether").asLong())) {
        return new Http.Reply(400, "{\"error\":\"no such lease\"}");
      }
    }
    ObjectNode conflict = JSON.createObjectNode();
    ArrayNode failed = conflict.putArray("failed");
    for (JsonNode condition : conditions) {
      Entry entry = entries.get(condition.path("key").asText());
      if ((entry == null ? 0 : entry.stamp) != condition.path("stamp").asLong()) failed.add(condition.path("key").asText());
    }
    if (failed.size() > 0) {
      conflict.put("ledgerRev", revision);
      return new Http.Reply(409, conflict.toString());
    }
    if (then.size() > 0) revision++;
    for (JsonNode change : then) {
      if (change.has("set")) {
        String key = change.path("set").asText();
        entries.put(key, new Entry(change.path("value"), revision, change.has("tether") ? change.path("tether").asLong() : null));
        record(new Change(revision, key, change.path("value")));
      } else if (entries.remove(change.path("remove").asText()) != null) {
        record(new Change(revision, change.path("remove").asText(), null));
      }
    }
    notifyAll();
    return new Http.Reply(200, "{\"ledgerRev\":" + revision + "}");
  }

  private Http.Reply grant(long ttlMillis) {
    Lease lease = new Lease();
    lease.ttl = ttlMillis / 1000.0;
    lease.endsAt = Threads.now() + lease.ttl;
    leases.put(nextLease, lease);
    return new Http.Reply(200, "{\"tether\":" + nextLease++ + "}");
  }

  private Http.Reply lease(String method, String[] parts) {
    long id = Long.parseLong(parts[2]);
    Lease lease = leases.get(id);
    if (lease == null) return new Http.Reply(404, "{}");
    if (method.equals("DELETE")) endLease(id);
    else lease.endsAt = Threads.now() + lease.ttl;
    return new Http.Reply(200, "{\"tether\":" + id + "}");
  }

  private Http.Reply follow(Map<String, String> query) throws InterruptedException {
    String prefix = query.getOrDefault("starts", "");
    long from = Long.parseLong(query.getOrDefault("from", "0"));
    double until = Threads.now() + Long.parseLong(query.getOrDefault("blockMs", "0")) / 1000.0;
    if (!changes.isEmpty() && changes.size() == KEPT_CHANGES && from < changes.getFirst().revision - 1) {
      return new Http.Reply(410, "{}");
    }
    while (true) {
      ObjectNode reply = JSON.createObjectNode();
      ArrayNode events = reply.putArray("events");
      if (!isDown()) {
        for (Change change : changes) {
          if (change.revision <= from || !change.key.startsWith(prefix)) continue;
          ObjectNode event = events.addObject();
          event.put(change.value == null ? "remove" : "set", change.key);
          if (change.value != null) event.set("value", change.value);
          event.put("stamp", change.revision);
        }
      }
      double left = until - Threads.now();
      if (events.size() > 0 || (left <= 0 && !isDown())) {
        reply.put("ledgerRev", revision);
        return new Http.Reply(200, reply.toString());
      }
      wait((long) Math.max(1, Math.min(isDown() ? 100 : left * 1000, 1000)));
    }
  }
}
