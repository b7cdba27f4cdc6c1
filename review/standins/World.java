import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.File;
import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/**
 * The platform around the controllers: state service, cloud, workers and users, as PROTOCOL describes them, and the controllers as
 * processes. All state of the stand-ins is guarded by one lock, the world itself.
 */
final class World {
    static final ObjectMapper JSON = new ObjectMapper();

    // The deployment. Times and limits are those of a site file of the kit.
    int controllers = 3;
    double reportS = 3.0;
    double leaseS = 24.0;
    double cancelS = 54.0;
    Double gangWaitS = null;
    double gangPeerS = 5.0;
    List<String> zones = List.of("a", "b", "c");
    final Map<String, Double> guarantees = new LinkedHashMap<>();
    final Map<String, Double> limits = new LinkedHashMap<>();
    String objectives = "[]";
    double rps = 200;
    double writeRps = 25;
    double listLagS = 3.0;
    double bootS = 1.5;
    double fetchS = 0.3;
    Random random = new Random(1);

    final long startNanos = System.nanoTime();
    final ScheduledExecutorService timers = Executors.newScheduledThreadPool(4, work -> {
        Thread thread = new Thread(work, "timer");
        thread.setDaemon(true);
        return thread;
    });
    private final PrintWriter record;
    final Store store = new Store();
    final Cloud cloud = new Cloud();
    final List<Controller> processes = new ArrayList<>();
    final Path directory;
    /** Broken rules, in the order in which they were seen. */
    final List<String> violations = new ArrayList<>();
    final Map<String, JsonNode> specs = new HashMap<>();
    /** Run time of the tasks of a job, in seconds; the guess of the job unless set. */
    final Map<String, Double> runSeconds = new HashMap<>();
    /** Tasks that completed; their results are kept. */
    final LinkedHashSet<String> doneTasks = new LinkedHashSet<>();
    /** When a user was told that a job is cancelled. */
    final Map<String, Double> cancelledAt = new HashMap<>();
    final Map<String, String> finalStates = new HashMap<>();

    World(String recordFile) throws IOException {
        record = new PrintWriter(Files.newBufferedWriter(Path.of(recordFile)), true);
        directory = Files.createTempDirectory("review");
        Runtime.getRuntime().addShutdownHook(new Thread(this::stop));
    }

    double now() {
        return (System.nanoTime() - startNanos) / 1e9;
    }

    void log(String text) {
        synchronized (record) {
            record.println(String.format(Locale.ROOT, "%8.3f %s", now(), text));
        }
    }

    synchronized void violate(String rule, String text) {
        violations.add(rule + ": " + text);
        log("VIOLATION " + rule + ": " + text);
    }

    void after(double seconds, Runnable work) {
        timers.schedule(() -> {
            try {
                work.run();
            } catch (RuntimeException e) {
                log("stand-in failed: " + e);
                e.printStackTrace();
            }
        }, (long) (seconds * 1e6), TimeUnit.MICROSECONDS);
    }

    void team(String name, double guarantee, double limit) {
        guarantees.put(name, guarantee);
        limits.put(name, limit);
    }

    /** The small deployment of the first site file of Fraserlight. */
    World fraserlight() {
        zones = List.of("burnaby-east", "richmond-dock", "surrey-annex");
        team("ingest-crew", 0, 0);
        objectives = "[{\"kind\":\"wait\",\"class\":\"rush-preview\",\"within_s\":2.0,\"share\":0.96}]";
        return this;
    }

    /** The small deployment of the first site file of Koelwacht. */
    World koelwacht() {
        zones = List.of("zwolle-hal");
        for (int i = 0; i < 8; i++) team("koudketen-ops-" + i, 128, 384);
        objectives = "[{\"kind\":\"finished\",\"class\":\"logger-intake\",\"within_s\":250.0,\"share\":0.85},"
            + "{\"kind\":\"wait\",\"class\":\"alarm-triage\",\"within_s\":15.0,\"share\":0.95}]";
        rps = 70;
        leaseS = 36;
        cancelS = 66;
        return this;
    }

    static void sleep(double seconds) {
        try {
            Thread.sleep((long) (seconds * 1000));
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    interface Condition {
        boolean holds();
    }

    /** Waits until the condition holds; returns whether it does. */
    boolean await(double seconds, Condition condition) {
        double until = now() + seconds;
        while (now() < until) {
            synchronized (this) {
                if (condition.holds()) return true;
            }
            sleep(0.05);
        }
        return false;
    }

    static JsonNode parse(String text) {
        try {
            return JSON.readTree(text);
        } catch (IOException e) {
            return JSON.missingNode();
        }
    }

    // --- the state service

    final class Store {
        record Entry(JsonNode value, long stamp, long tether) {
        }

        private record Event(long revision, String key, JsonNode value) {
        }

        private final class Lease {
            final double ttl;
            double until;

            Lease(double ttl) {
                this.ttl = ttl;
                until = now() + ttl;
            }
        }

        final TreeMap<String, Entry> entries = new TreeMap<>();
        private final Map<Long, Lease> leases = new HashMap<>();
        private final List<Event> events = new ArrayList<>();
        long revision;
        private long nextLease = 1;
        private boolean down;
        /** Seconds that every answer takes. */
        volatile double latency;
        /** Members whose requests are answered 503 and whose leases run out. */
        final java.util.Set<String> refused = Collections.synchronizedSet(new LinkedHashSet<>());

        JsonNode value(String key) {
            synchronized (World.this) {
                Entry entry = entries.get(key);
                return entry == null ? null : entry.value;
            }
        }

        void setDown(boolean next) {
            synchronized (World.this) {
                log("state service " + (next ? "down" : "up"));
                down = next;
                if (!next) leases.values().forEach(lease -> lease.until = now() + lease.ttl);
                World.this.notifyAll();
            }
        }

        private void expire() {
            if (down) return;
            for (Long id : new ArrayList<>(leases.keySet())) if (leases.get(id).until < now()) revoke(id);
        }

        private void revoke(long id) {
            if (leases.remove(id) == null) return;
            List<String> keys = new ArrayList<>();
            entries.forEach((key, entry) -> {
                if (entry.tether == id) keys.add(key);
            });
            if (keys.isEmpty()) return;
            revision++;
            for (String key : keys) {
                entries.remove(key);
                events.add(new Event(revision, key, null));
            }
            World.this.notifyAll();
        }

        void start() {
            timers.scheduleAtFixedRate(() -> {
                synchronized (World.this) {
                    expire();
                }
            }, 20, 20, TimeUnit.MILLISECONDS);
        }

        Net.Response handle(String member, String method, String target, String body) throws InterruptedException {
            if (latency > 0) World.sleep(latency);
            String path = target.contains("?") ? target.substring(0, target.indexOf('?')) : target;
            Map<String, String> query = new HashMap<>();
            if (target.contains("?")) {
                for (String pair : target.substring(target.indexOf('?') + 1).split("&")) {
                    int equals = pair.indexOf('=');
                    if (equals > 0) query.put(pair.substring(0, equals), pair.substring(equals + 1));
                }
            }
            synchronized (World.this) {
                expire();
                if (down || refused.contains(member)) return new Net.Response(503, "{}");
                if (method.equals("GET") && path.equals("/store")) return list(query);
                if (method.equals("GET") && path.startsWith("/store/")) return get(path.substring(7));
                if (path.equals("/multi")) return commitOrLose(parse(body));
                if (path.equals("/leases")) {
                    long id = nextLease++;
                    leases.put(id, new Lease(parse(body).path("ttlMs").asLong() / 1000.0));
                    return new Net.Response(200, "{\"tether\":" + id + "}");
                }
                if (path.endsWith("/renew")) {
                    Lease lease = leases.get(Long.parseLong(path.split("/")[2]));
                    if (lease == null) return new Net.Response(404, "{}");
                    lease.until = now() + lease.ttl;
                    return new Net.Response(200, "{}");
                }
                if (method.equals("DELETE")) {
                    revoke(Long.parseLong(path.split("/")[2]));
                    return new Net.Response(200, "{}");
                }
                if (path.equals("/follow")) return follow(member, query);
                return new Net.Response(400, "{}");
            }
        }

        private Net.Response get(String key) {
            Entry entry = entries.get(key);
            if (entry == null) return new Net.Response(404, "{\"ledgerRev\":" + revision + "}");
            return new Net.Response(200, "{\"key\":\"" + key + "\",\"value\":" + entry.value + ",\"stamp\":" + entry.stamp + "}");
        }

        private Net.Response list(Map<String, String> query) {
            String starts = query.getOrDefault("starts", "");
            String from = query.getOrDefault("from", "");
            int limit = Math.min(1000, Integer.parseInt(query.getOrDefault("limit", "1000")));
            StringBuilder page = new StringBuilder();
            int count = 0;
            boolean truncated = false;
            for (Map.Entry<String, Entry> each : entries.tailMap(starts, true).entrySet()) {
                if (!each.getKey().startsWith(starts)) break;
                if (each.getKey().compareTo(from) <= 0) continue;
                if (count == limit || page.length() > 500 * 1024) {
                    truncated = true;
                    break;
                }
                if (count++ > 0) page.append(',');
                page.append("{\"key\":\"").append(each.getKey()).append("\",\"value\":").append(each.getValue().value)
                    .append(",\"stamp\":").append(each.getValue().stamp).append('}');
            }
            return new Net.Response(200, "{\"pairs\":[" + page + "],\"truncated\":" + truncated + ",\"ledgerRev\":" + revision + "}");
        }

        /** Share of transactions that get no answer: applied at once, or 2 to 12 s later. */
        volatile double lostAnswers;
        volatile double lateWrites;

        /** Applies a transaction; null stands for no answer. */
        private Net.Response commitOrLose(JsonNode transaction) {
            double drawn = random.nextDouble();
            if (drawn < lostAnswers) {
                log("answer to transaction lost " + commit(transaction).status());
                return null;
            }
            if (drawn < lostAnswers + lateWrites) {
                after(2 + random.nextDouble() * 10, () -> {
                    synchronized (World.this) {
                        expire();
                        if (!down) log("late transaction " + commit(transaction).status());
                    }
                });
                return null;
            }
            return commit(transaction);
        }

        private Net.Response commit(JsonNode transaction) {
            for (JsonNode op : transaction.path("then")) {
                if (op.hasNonNull("tether") && !leases.containsKey(op.path("tether").asLong())) {
                    return new Net.Response(400, "{\"error\":\"no such lease\"}");
                }
            }
            List<String> failed = new ArrayList<>();
            for (JsonNode each : transaction.path("if")) {
                Entry entry = entries.get(each.path("key").asText());
                if ((entry == null ? 0 : entry.stamp) != each.path("stamp").asLong()) failed.add("\"" + each.path("key").asText() + "\"");
            }
            if (!failed.isEmpty()) {
                return new Net.Response(409, "{\"failed\":[" + String.join(",", failed) + "],\"ledgerRev\":" + revision + "}");
            }
            if (!transaction.path("then").isEmpty()) revision++;
            for (JsonNode op : transaction.path("then")) {
                if (op.has("set")) {
                    String key = op.path("set").asText();
                    entries.put(key, new Entry(op.path("value"), revision, op.path("tether").asLong(0)));
                    events.add(new Event(revision, key, op.path("value")));
                    if (key.equals("leader") || key.equals("term")) log("store " + key + " = " + op.path("value"));
                } else {
                    String key = op.path("remove").asText();
                    if (entries.remove(key) != null) events.add(new Event(revision, key, null));
                }
            }
            World.this.notifyAll();
            return new Net.Response(200, "{\"ledgerRev\":" + revision + "}");
        }

        private Net.Response follow(String member, Map<String, String> query) throws InterruptedException {
            String starts = query.getOrDefault("starts", "");
            long from = Long.parseLong(query.getOrDefault("from", "0"));
            double until = now() + Double.parseDouble(query.getOrDefault("blockMs", "0")) / 1000;
            while (true) {
                List<String> found = new ArrayList<>();
                for (Event event : events) {
                    if (event.revision <= from || !event.key.startsWith(starts)) continue;
                    found.add(event.value == null
                        ? "{\"remove\":\"" + event.key + "\",\"stamp\":" + event.revision + "}"
                        : "{\"set\":\"" + event.key + "\",\"value\":" + event.value + ",\"stamp\":" + event.revision + "}");
                }
                boolean waits = down || refused.contains(member);
                if (!waits && (!found.isEmpty() || now() >= until)) {
                    return new Net.Response(200, "{\"ledgerRev\":" + revision + ",\"events\":[" + String.join(",", found) + "]}");
                }
                World.this.wait(50);
            }
        }
    }

    // --- the cloud

    record MachineType(String name, double cpus, double ramGb, int capacity) {
    }

    final class Cloud {
        final Map<String, MachineType> types = new LinkedHashMap<>();
        final Map<String, Worker> machines = new LinkedHashMap<>();
        private final Map<String, String> answers = new HashMap<>();
        private int next = 1;
        boolean down;

        void type(String name, double cpus, double ramGb, int capacityPerPool) {
            types.put(name, new MachineType(name, cpus, ramGb, capacityPerPool));
        }

        Net.Response handle(String method, String target, String body) throws IOException {
            synchronized (World.this) {
                if (down) return new Net.Response(503, "{\"error\":\"trouble\"}");
                if (target.equals("/catalog")) return new Net.Response(200, catalog());
                if (target.equals("/rentals") && method.equals("POST")) return rent(parse(body));
                if (target.equals("/rentals/return")) {
                    for (JsonNode name : parse(body).path("drovers")) take(name.asText());
                    return new Net.Response(200, "{}");
                }
                if (target.startsWith("/rentals?")) return list(target);
                return new Net.Response(400, "{}");
            }
        }

        private String catalog() {
            ObjectNode root = JSON.createObjectNode();
            ArrayNode breeds = root.putArray("breeds");
            for (MachineType type : types.values()) {
                ObjectNode breed = breeds.addObject();
                breed.put("sku", type.name).put("vcpus", type.cpus).put("gpus", 0.0).put("ramGb", type.ramGb).put("cacheGb", 70.0)
                    .put("pullGbPerS", 1.0).put("price", type.cpus * 0.06).put("spotPrice", type.cpus * 0.02).put("bootS", 30.0);
                ArrayNode yards = breed.putArray("yards");
                zones.forEach(yards::add);
            }
            return root.toString();
        }

        private Net.Response rent(JsonNode request) throws IOException {
            String hire = request.path("hire").asText();
            if (answers.containsKey(hire)) return new Net.Response(200, answers.get(hire));
            MachineType type = types.get(request.path("breed").asText());
            String zone = request.path("yard").asText();
            boolean spot = request.path("loaners").asBoolean();
            long used = machines.values().stream().filter(w -> w.type == type && w.zone.equals(zone) && w.spot == spot).count();
            long count = Math.min(request.path("number").asInt(), type.capacity - used);
            if (count <= 0) return new Net.Response(503, "{\"error\":\"no capacity\"}");
            List<String> names = new ArrayList<>();
            for (int i = 0; i < count; i++) names.add("\"" + add(type, zone, spot).id + "\"");
            String answer = "{\"drovers\":[" + String.join(",", names) + "]}";
            answers.put(hire, answer);
            return new Net.Response(200, answer);
        }

        Worker add(MachineType type, String zone, boolean spot) throws IOException {
            Worker worker = new Worker(String.format("m-%06d", next++), type, zone, spot);
            worker.holdNextRun = holdFirstRun;
            machines.put(worker.id, worker);
            log("rented " + worker.id + " " + type.name + " " + zone);
            after(bootS, worker::boot);
            return worker;
        }

        void take(String id) {
            synchronized (World.this) {
                Worker worker = machines.remove(id);
                if (worker == null) return;
                log("gone " + id);
                worker.end();
            }
        }

        private Net.Response list(String target) {
            String from = "";
            int limit = 500;
            for (String pair : target.substring(9).split("&")) {
                if (pair.startsWith("from=")) from = pair.substring(5);
                if (pair.startsWith("limit=")) limit = Integer.parseInt(pair.substring(6));
            }
            List<String> all = new ArrayList<>();
            for (Worker w : machines.values()) {
                double age = now() - w.rentedAt - listLagS;
                if (age < 0 || w.id.compareTo(from) <= 0) continue;
                all.add(String.format(Locale.ROOT,
                    "{\"id\":\"%s\",\"addr\":\"%s\",\"breed\":\"%s\",\"yard\":\"%s\",\"loaners\":%b,\"standing\":\"%s\",\"ageS\":%.2f}",
                    w.id, w.address(), w.type.name, w.zone, w.spot, age > bootS ? "running" : "starting", age));
            }
            List<String> page = all.subList(0, Math.min(limit, all.size()));
            return new Net.Response(200, "{\"drovers\":[" + String.join(",", page) + "],\"truncated\":" + (all.size() > limit) + "}");
        }
    }

    // --- the workers

    /** Whether the first command that starts a task on each new machine is held up. */
    volatile boolean holdFirstRun;
    /** Share of direct commands that are held up and carried out 2 to 16 s late, unanswered. */
    volatile double lateCommands;
    /** Share of reports of which a copy arrives again later, at any controller. */
    volatile double lateReports;

    static final class Task {
        final String piece;
        final long attempt;
        String standing = "fetching";
        String cause;
        boolean kept;
        double endsAt;

        Task(String piece, long attempt) {
            this.piece = piece;
            this.attempt = attempt;
        }

        boolean exited() {
            return standing.equals("exited");
        }

        boolean onMachine() {
            return !exited() && !standing.equals("fetching");
        }

        String job() {
            return piece.substring(0, piece.indexOf('/'));
        }
    }

    /** The tasks of one attempt of a gang that are on machines, and whether the gang has begun. */
    final class Gang {
        final Map<String, Worker> members = new LinkedHashMap<>();
        final Map<String, Task> tasks = new LinkedHashMap<>();
        boolean begun;
    }

    final Map<String, Gang> gangs = new HashMap<>();

    private Gang gang(Task task) {
        return gangs.computeIfAbsent(task.job() + "@" + task.attempt, key -> new Gang());
    }

    private void gather(Task task, Worker worker) {
        Gang gang = gang(task);
        task.standing = "gathering";
        gang.members.put(task.piece, worker);
        gang.tasks.put(task.piece, task);
        int size = specs.get(task.job()).path("pieces").asInt();
        if (gang.begun || gang.tasks.size() < size) {
            after(gangWaitS, () -> worker.whenAwake(() -> {
                if (task.standing.equals("gathering")) worker.endTask(task, "incomplete");
            }));
            return;
        }
        gang.begun = true;
        for (String piece : gang.tasks.keySet()) {
            gang.tasks.get(piece).standing = "running";
            gang.members.get(piece).changed = true;
        }
        double seconds = runSeconds.getOrDefault(task.job(), specs.get(task.job()).path("guessS").asDouble());
        after(seconds, () -> {
            synchronized (World.this) {
                if (gang.tasks.size() < size || gang.tasks.values().stream().anyMatch(each -> !each.standing.equals("running"))) return;
                for (String piece : new ArrayList<>(gang.tasks.keySet())) {
                    doneTasks.add(piece);
                    Worker on = gang.members.get(piece);
                    Task each = gang.tasks.get(piece);
                    on.endTask(each, "done");
                }
            }
        });
    }

    /** A task of a gang is gone: the others of a gang that has begun notice it. */
    private void left(Task task) {
        if (!specs.get(task.job()).path("shape").asText().equals("ensemble")) return;
        Gang gang = gang(task);
        if (gang.tasks.remove(task.piece) == null) return;
        gang.members.remove(task.piece);
        if (!gang.begun || doneTasks.contains(task.piece)) return;
        for (String piece : gang.tasks.keySet()) {
            Worker on = gang.members.get(piece);
            Task each = gang.tasks.get(piece);
            after(random.nextDouble() * gangPeerS, () -> on.whenAwake(() -> {
                if (!each.exited() && !doneTasks.contains(each.piece)) on.endTask(each, "peers");
            }));
        }
    }

    final class Worker {
        final String id;
        final MachineType type;
        final String zone;
        final boolean spot;
        final double rentedAt = now();
        final Net.Server server;
        final Net.Proxy proxy;
        final Map<String, Task> tasks = new LinkedHashMap<>();
        long stint = 1;
        long tally;
        long baton;
        double answeredSentAt;
        double hungUntil;
        boolean up;
        boolean gone;
        boolean changed;
        private long reportedBaton;
        private double batonReportedAt = -1e9;
        int node;
        /** When the cloud takes the machine back; null without a notice. */
        Double recallAt;
        /** Largest report so far, in bytes, and the number of reports that did not get 200 since the last that did. */
        int largestReport;
        int unanswered;
        int sessionsEnded;
        /** The next command that starts a task is held up, unanswered, and carried out late. */
        volatile boolean holdNextRun;
        /** Reports to controllers fail while this is set. */
        volatile boolean mute;

        Worker(String id, MachineType type, String zone, boolean spot) throws IOException {
            this.id = id;
            this.type = type;
            this.zone = zone;
            this.spot = spot;
            server = new Net.Server((method, target, body) -> handle(target, body));
            server.maxBody = 64 * 1024;
            proxy = new Net.Proxy(server.port);
            node = random.nextInt(controllers);
        }

        String address() {
            return "127.0.0.1:" + proxy.port;
        }

        void boot() {
            synchronized (World.this) {
                if (gone) return;
                up = true;
                answeredSentAt = now();
                log("up " + id);
            }
            Net.daemon("worker-" + id, this::reportLoop);
            Net.daemon("lease-" + id, () -> {
                while (!gone) {
                    World.sleep(0.05);
                    synchronized (World.this) {
                        if (now() >= hungUntil) checkLease();
                    }
                }
            });
        }

        void end() {
            gone = true;
            for (Task task : tasks.values()) leave(task, "machine gone");
            tasks.clear();
            try {
                server.close();
            } catch (IOException e) {
                // Already closed.
            }
        }

        void hang(double seconds) {
            synchronized (World.this) {
                hungUntil = now() + seconds;
                log("hangs " + id + " for " + seconds);
            }
        }

        private void checkLease() {
            if (gone || now() <= answeredSentAt + leaseS) return;
            log("lease expired " + id + " stint " + stint + " tasks " + tasks.size());
            for (Task task : tasks.values()) leave(task, "killed by lease");
            tasks.clear();
            stint++;
            sessionsEnded++;
            answeredSentAt = now();
            changed = true;
        }

        /** Waits while the machine hangs; call without the lock. */
        private void awaitAwake() {
            while (now() < hungUntil) World.sleep(0.02);
        }

        private String report() {
            StringBuilder text = new StringBuilder();
            text.append("{\"drover\":\"").append(id).append("\",\"addr\":\"").append(address()).append("\",\"breed\":\"").append(type.name)
                .append("\",\"yard\":\"").append(zone).append("\",\"loaners\":").append(spot).append(",\"stint\":").append(stint)
                .append(",\"tally\":").append(++tally).append(",\"baton\":").append(baton).append(",\"recallS\":").append(recallAt == null ? "null" : String.format(Locale.ROOT, "%.1f", recallAt - now())).append(",\"pieces\":[");
            boolean first = true;
            for (Task task : tasks.values()) {
                if (!first) text.append(',');
                first = false;
                text.append("{\"piece\":\"").append(task.piece).append("\",\"try\":").append(task.attempt).append(",\"standing\":\"")
                    .append(task.standing).append('"');
                if (task.cause != null) text.append(",\"cause\":\"").append(task.cause).append('"');
                if (task.kept) text.append(",\"kept\":true");
                text.append('}');
            }
            return text.append("]}").toString();
        }

        private void reportLoop() {
            Net.Client client = new Net.Client();
            double nextAt = now();
            while (!gone) {
                awaitAwake();
                boolean due;
                synchronized (World.this) {
                    due = now() >= nextAt || (changed && now() >= lastReportAt + 0.5);
                }
                if (!due) {
                    World.sleep(0.02);
                    continue;
                }
                String body;
                long sentStint;
                double sentAt;
                int to;
                synchronized (World.this) {
                    checkLease();
                    changed = false;
                    body = report();
                    largestReport = Math.max(largestReport, body.length());
                    reportedBaton = baton;
                    sentStint = stint;
                    sentAt = now();
                    lastReportAt = sentAt;
                    to = node;
                }
                Net.Response response = mute ? new Net.Response(0, "")
                    : client.call(processes.get(to).workerPort(), "POST", "/agent/beat", body, 4000);
                if (random.nextDouble() < lateReports) {
                    after(2 + random.nextDouble() * leaseS * 1.5, () -> new Net.Client()
                        .call(processes.get(random.nextInt(controllers)).workerPort(), "POST", "/agent/beat", body, 500));
                }
                awaitAwake();
                synchronized (World.this) {
                    if (gone) return;
                    JsonNode answer = parse(response.body());
                    if (now() - sentAt > 4.0) response = new Net.Response(0, "");
                    if (response.status() == 200) {
                        if (unanswered > 0) log(id + " answered again by drover-" + to);
                        unanswered = 0;
                        if (sentStint == stint && answer.path("baton").asLong(-1) >= baton) {
                            seen(answer.path("baton").asLong());
                            answeredSentAt = sentAt;
                            answer.path("orders").forEach(this::execute);
                        }
                        nextAt = now() + reportS * (0.75 + random.nextDouble() * 0.5);
                    } else {
                        if (response.status() != 421 && unanswered++ < 3) {
                            log(id + " report of " + body.length() + " bytes to drover-" + to + " got " + response.status() + " "
                                + response.body());
                        }
                        int named = -1;
                        if (response.status() == 421) {
                            for (int i = 0; i < controllers; i++) if (answer.path("herder").asText().equals("drover-" + i)) named = i;
                        }
                        if (named >= 0 && named != to) {
                            node = named;
                            nextAt = now() + random.nextDouble() * 0.5;
                        } else {
                            node = (to + 1) % controllers;
                            nextAt = now() + 1.0;
                        }
                        lastReportAt = nextAt - 0.5;
                    }
                }
            }
            client.close();
        }

        private double lastReportAt = -1e9;

        private void seen(long token) {
            if (token <= baton) return;
            baton = token;
            if (now() > batonReportedAt + leaseS / 2) {
                batonReportedAt = now();
                changed = true;
            }
        }

        private Net.Response handle(String target, String body) {
            if (gone || !up) return null;
            awaitAwake();
            boolean chosen = holdNextRun && body.contains("\"run\"");
            if (chosen) {
                holdNextRun = false;
                log("command held up on its way to " + id + ": " + body);
            }
            if (target.equals("/do") && (chosen || random.nextDouble() < lateCommands)) {
                after(chosen ? 8 : 2 + random.nextDouble() * 14, () -> whenAwake(() -> log("late command " + apply(target, body).status() + " " + id)));
                World.sleep(5);
                return null;
            }
            return apply(target, body);
        }

        private Net.Response apply(String target, String body) {
            synchronized (World.this) {
                if (gone || !up) return new Net.Response(0, "");
                checkLease();
                if (target.equals("/inspect")) return new Net.Response(200, report());
                JsonNode command = parse(body);
                if (!command.path("baton").isNumber() || !command.path("stint").isNumber()) return new Net.Response(400, "{}");
                if (command.path("baton").asLong() < baton || command.path("stint").asLong() != stint) {
                    return new Net.Response(409, report());
                }
                seen(command.path("baton").asLong());
                command.path("orders").forEach(this::execute);
                return new Net.Response(200, report());
            }
        }

        private void execute(JsonNode order) {
            String piece = order.path("piece").asText();
            long attempt = order.path("try").asLong();
            String key = piece + "@" + attempt;
            Task task = tasks.get(key);
            switch (order.path("verb").asText()) {
                case "run" -> {
                    if (task == null) run(key, new Task(piece, attempt));
                }
                case "halt" -> {
                    if (task != null && !task.exited()) {
                        leave(task, "halted");
                        exit(task, "stopped");
                    }
                }
                case "reap" -> {
                    if (task != null && task.exited()) tasks.remove(key);
                }
                default -> log("unknown order " + order);
            }
        }

        private void run(String key, Task task) {
            tasks.put(key, task);
            changed = true;
            String job = task.piece.substring(0, task.piece.indexOf('/'));
            JsonNode spec = specs.get(job);
            if (spec == null) {
                exit(task, "unknown");
                return;
            }
            double cpus = 0;
            for (Task other : tasks.values()) {
                if (other.exited()) continue;
                if (other != task && other.piece.equals(task.piece)) {
                    exit(task, "in_use");
                    return;
                }
                cpus += specs.get(other.piece.substring(0, other.piece.indexOf('/'))).path("vcpus").asDouble();
            }
            if (cpus > type.cpus + 1e-6) {
                exit(task, "full");
                return;
            }
            after(fetchS, () -> whenAwake(() -> fetched(key, task, job)));
        }

        void whenAwake(Runnable work) {
            synchronized (World.this) {
                if (gone) return;
                if (now() < hungUntil) {
                    after(hungUntil - now() + 0.01, () -> whenAwake(work));
                } else {
                    checkLease();
                    work.run();
                }
            }
        }

        private void fetched(String key, Task task, String job) {
            if (tasks.get(key) != task || !task.standing.equals("fetching")) return;
            changed = true;
            started(task, this);
            if (specs.get(job).path("shape").asText().equals("ensemble") && !doneTasks.contains(task.piece)) {
                gather(task, this);
                return;
            }
            task.standing = "running";
            double seconds = doneTasks.contains(task.piece) ? 0 : runSeconds.getOrDefault(job, specs.get(job).path("guessS").asDouble());
            after(seconds, () -> whenAwake(() -> {
                if (tasks.get(key) != task || task.exited()) return;
                doneTasks.add(task.piece);
                leave(task, "done");
                exit(task, "done");
            }));
        }

        void endTask(Task task, String cause) {
            if (tasks.get(task.piece + "@" + task.attempt) != task || task.exited()) return;
            leave(task, cause);
            exit(task, cause);
        }

        private void exit(Task task, String cause) {
            task.standing = "exited";
            task.cause = cause;
            changed = true;
            if (!cause.equals("done") && !cause.equals("stopped")) log("exit " + task.piece + "@" + task.attempt + " " + cause + " on " + id);
        }

        private void leave(Task task, String why) {
            if (task.onMachine()) ended(task, this, why);
        }
    }

    // --- what is judged

    final Map<String, Worker> running = new HashMap<>();
    int starts;
    int killed;
    boolean logTasks = true;

    private void started(Task task, Worker worker) {
        starts++;
        if (logTasks) log("task starts " + task.piece + "@" + task.attempt + " on " + worker.id);
        Worker other = running.put(task.piece, worker);
        if (other != null && other != worker) violate("ran_twice", task.piece + " starts on " + worker.id + " while it is on " + other.id);
        String job = task.job();
        checkPlace(task, worker);
        Double told = cancelledAt.get(job);
        if (told != null && now() > told + cancelS) violate("ran_cancelled", task.piece + " starts after its cancellation");
        if (told != null) log("start after a confirmed cancellation: " + task.piece);
    }

    private void checkPlace(Task task, Worker worker) {
        JsonNode spec = specs.get(task.job());
        if (spec.path("yard").isTextual() && !spec.path("yard").asText().equals(worker.zone)) violate("wrong_place", task.piece + " zone");
        if (!spec.path("loaners").asBoolean() && worker.spot) violate("wrong_place", task.piece + " on a spot machine");
        boolean typeAllowed = !spec.path("breeds").isArray();
        for (JsonNode breed : spec.path("breeds")) typeAllowed |= breed.asText().equals(worker.type.name);
        if (!typeAllowed) violate("wrong_place", task.piece + " on a " + worker.type.name);
        int inZone = 0;
        double cpus = 0;
        for (Map.Entry<String, Worker> each : running.entrySet()) {
            String other = each.getKey().substring(0, each.getKey().indexOf('/'));
            if (specs.get(other).path("crew").equals(spec.path("crew"))) cpus += specs.get(other).path("vcpus").asDouble();
            if (!other.equals(task.job())) continue;
            if (each.getValue().zone.equals(worker.zone)) inZone++;
            else if (spec.path("together").asBoolean()) {
                violate("wrong_place", task.piece + " in " + worker.zone + " while " + each.getKey() + " is in " + each.getValue().zone);
            }
        }
        if (spec.path("spread").asBoolean() && inZone > (spec.path("pieces").asInt() + 1) / 2) violate("wrong_place", task.piece + " spread");
        double limit = limits.getOrDefault(spec.path("crew").asText(), 0.0);
        if (limit > 0 && cpus > limit + 1e-6) violate("quota", spec.path("crew").asText() + " uses " + cpus + " of " + limit);
    }

    private void ended(Task task, Worker worker, String why) {
        if (logTasks) log("task ends " + task.piece + "@" + task.attempt + " on " + worker.id + ": " + why);
        if (!why.equals("done") && !why.equals("halted")) killed++;
        if (running.get(task.piece) == worker) running.remove(task.piece);
        left(task);
    }

    /** Reports tasks that are on a machine too long after their cancellation. */
    synchronized void checkCancelled() {
        running.forEach((piece, worker) -> {
            Double told = cancelledAt.get(piece.substring(0, piece.indexOf('/')));
            if (told != null && now() > told + cancelS) violate("ran_cancelled", piece + " is still on " + worker.id);
        });
    }

    // --- users

    ObjectNode job(int number, int pieces, double vcpus, double ramGb, double guessS) {
        ObjectNode spec = JSON.createObjectNode();
        spec.put("id", String.format("j-%06d", number)).put("lane", "sweep").put("crew", limits.keySet().iterator().next()).put("shape", "array")
            .put("urgency", "normal").put("pieces", pieces).put("vcpus", vcpus).put("gpus", 0.0).put("ramGb", ramGb)
            .put("bundle", "img-01").put("pullGb", 0.2).putNull("breeds").putNull("yard").put("together", false).put("spread", false)
            .put("loaners", true).put("guessS", guessS).put("markEveryS", 0.0).put("markCostS", 0.0).putNull("dueS");
        return spec;
    }

    /** One request of a user to one controller; judged against what users were told before it was sent. */
    Net.Response ask(Net.Client client, int node, String method, String path, String body, int timeoutMillis) {
        Map<String, String> toldBefore;
        synchronized (this) {
            toldBefore = new HashMap<>(finalStates);
        }
        Net.Response response = client.call(processes.get(node).userPort(), method, path, body, timeoutMillis);
        String job = path.startsWith("/api/jobs/") ? path.split("/")[3] : parse(body).path("id").asText();
        String standing = parse(response.body()).path("standing").asText("");
        log("user " + method + " " + path + " " + job + " at drover-" + node + " -> " + response.status() + " "
            + response.body().replace('\n', ' '));
        synchronized (this) {
            String told = toldBefore.get(job);
            if (told != null && response.status() == 404) violate("forgotten", job + " was called " + told + ", now 404");
            if (told != null && (response.status() == 400 || response.status() == 422)) violate("forgotten", job + " now " + response.status());
            if (told != null && !told.equals("accepted") && (response.status() == 200 || response.status() == 201) && !standing.equals(told)) {
                violate("went_back", job + " was called " + told + ", now " + standing + " by drover-" + node);
            }
            if (response.status() == 200 || response.status() == 201) {
                if (standing.equals("done") || standing.equals("withdrawn")) {
                    finalStates.put(job, standing);
                    if (standing.equals("withdrawn")) cancelledAt.putIfAbsent(job, now());
                    if (standing.equals("done")) checkDone(job);
                } else {
                    finalStates.putIfAbsent(job, "accepted");
                }
            }
        }
        return response;
    }

    private void checkDone(String job) {
        JsonNode spec = specs.get(job);
        if (spec == null) return;
        for (int i = 0; i < spec.path("pieces").asInt(); i++) {
            if (!doneTasks.contains(job + "/" + i)) {
                violate("not_done", job + " is called done, and " + i + " is not");
                return;
            }
        }
    }

    /** Submits until accepted, for up to 60 s, at changing controllers; returns whether it was accepted. */
    boolean submit(ObjectNode spec) {
        synchronized (this) {
            specs.put(spec.path("id").asText(), spec);
        }
        Net.Client client = new Net.Client();
        double until = now() + 60;
        int node = random.nextInt(controllers);
        while (now() < until) {
            Net.Response response = ask(client, node, "POST", "/api/jobs", spec.toString(), 5000);
            if (response.status() == 200 || response.status() == 201) return true;
            if (response.status() == 400 || response.status() == 422) return false;
            node = (node + 1) % controllers;
            sleep(1.0);
        }
        return false;
    }

    // --- the controllers

    final class Controller {
        final int index;
        final int servePort = Net.freePort();
        final int peerPort = Net.freePort();
        final Net.Server storePort;
        final Net.Proxy toStore;
        final Net.Proxy toCloud;
        final Net.Proxy fromWorkers;
        final Net.Proxy fromUsers;
        /** By the index of the other controller: the way from this one to it. */
        final Map<Integer, Net.Proxy> toPeers = new HashMap<>();
        final List<String> log = Collections.synchronizedList(new ArrayList<>());
        Process process;
        /** Ends of the process that the test did not ask for. */
        int ownEnds;
        boolean mayEnd;

        Controller(int index, int cloudPort) throws IOException {
            this.index = index;
            storePort = new Net.Server((method, target, body) -> store.handle(name(), method, target, body));
            toStore = new Net.Proxy(storePort.port);
            toCloud = new Net.Proxy(cloudPort);
            fromWorkers = new Net.Proxy(servePort);
            fromUsers = new Net.Proxy(servePort);
        }

        String name() {
            return "drover-" + index;
        }

        int workerPort() {
            return fromWorkers.port;
        }

        int userPort() {
            return fromUsers.port;
        }

        private Path settings() throws IOException {
            List<String> others = new ArrayList<>();
            for (Controller other : processes) {
                if (other == this) continue;
                others.add("{\"member\":\"" + other.name() + "\",\"zone\":\"" + zones.get(other.index % zones.size())
                    + "\",\"endpoint\":\"127.0.0.1:" + toPeers.get(other.index).port + "\"}");
            }
            String gang = gangWaitS == null ? "" : ",\"gang_wait_s\":" + gangWaitS + ",\"gang_peer_s\":" + gangPeerS;
            List<String> teams = new ArrayList<>();
            for (String team : limits.keySet()) {
                teams.add("{\"name\":\"" + team + "\",\"cpus\":" + guarantees.get(team) + ",\"cpus_max\":" + limits.get(team)
                    + ",\"gpus\":0.0,\"gpus_max\":0.0}");
            }
            String zoneList = "\"" + String.join("\",\"", zones) + "\"";
            String text = "{\"member\":\"" + name() + "\",\"zone\":\"" + zones.get(index % zones.size()) + "\",\"serve_on\":\"127.0.0.1:"
                + servePort + "\",\"peer_bind\":\"127.0.0.1:" + peerPort + "\",\"others\":[" + String.join(",", others)
                + "],\"services\":{\"cloud\":\"127.0.0.1:" + toCloud.port + "\",\"state\":\"127.0.0.1:" + toStore.port
                + "\"},\"params\":{\"count\":" + controllers + ",\"zones\":[" + zoneList + "],\"teams\":[" + String.join(",", teams) + "],\"objectives\":"
                + objectives + ",\"workers\":{\"report_s\":" + reportS + ",\"lease_s\":" + leaseS + ",\"cancel_s\":" + cancelS + gang
                + "},\"state\":{\"rps\":" + rps + ",\"write_rps\":" + writeRps + ",\"value_kb\":8.0,\"txn_ops\":8},\"cloud\":{\"rps\":8.0,"
                + "\"list_lag_s\":" + listLagS + "},\"limits\":{\"cpu_share\":0.255,\"memory_mb\":268.0,\"max_connections\":2000},"
                + "\"time_bound_ms\":5.0}}";
            Path file = directory.resolve(name() + ".json");
            Files.writeString(file, text);
            return file;
        }

        void start() throws IOException {
            String run = null;
            for (String line : Files.readAllLines(Path.of("deploy/service.toml"))) {
                if (line.startsWith("run = ")) run = line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
            }
            List<String> command = new ArrayList<>(List.of(run.split(" ")));
            command.add(settings().toString());
            ProcessBuilder builder = new ProcessBuilder(command);
            builder.environment().put("LOG_LEVEL", System.getenv().getOrDefault("LOG_LEVEL", "info"));
            builder.redirectOutput(ProcessBuilder.Redirect.DISCARD);
            Process started;
            synchronized (processes) {
                // None is started once the test ends, so that none is left behind.
                if (stopping) return;
                started = builder.start();
                process = started;
            }
            mayEnd = false;
            World.this.log(name() + " started, process " + started.pid());
            Net.daemon("log-" + name(), () -> {
                try (var reader = started.errorReader()) {
                    String line;
                    while ((line = reader.readLine()) != null) {
                        log.add(line);
                        World.this.log(name() + " | " + (line.length() > 300 ? line.substring(0, 300) : line));
                    }
                } catch (IOException e) {
                    // The process has ended.
                }
            });
            Net.daemon("end-" + name(), () -> {
                try {
                    int code = started.waitFor();
                    World.this.log(name() + " ended with " + code);
                    if (!mayEnd && process == started && !stopping) {
                        ownEnds++;
                        World.this.log(name() + " ended by itself");
                    }
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
            });
        }

        void kill() {
            mayEnd = true;
            World.this.log("kill " + name());
            process.destroyForcibly();
            try {
                process.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }

        void signal(String signal) {
            World.this.log(signal + " " + name());
            try {
                new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
            } catch (IOException | InterruptedException e) {
                throw new IllegalStateException(e);
            }
        }
    }

    volatile boolean stopping;

    /** Starts the stand-ins and all controllers, and waits until all are ready. Returns whether they are. */
    boolean start() throws IOException {
        store.start();
        Net.Server cloudServer = new Net.Server((method, target, body) -> cloud.handle(method, target, body));
        for (int i = 0; i < controllers; i++) processes.add(new Controller(i, cloudServer.port));
        for (Controller from : processes) {
            for (Controller to : processes) if (from != to) from.toPeers.put(to.index, new Net.Proxy(to.peerPort));
        }
        for (Controller each : processes) each.start();
        return await(30, () -> processes.stream().allMatch(each -> ready(each)) && leader() != null);
    }

    boolean ready(Controller each) {
        return new Net.Client().call(each.servePort, "GET", "/ready", null, 1000).status() == 200;
    }

    /** The leader according to the state service; null if there is none. */
    Controller leader() {
        JsonNode row = store.value("leader");
        if (row == null) return null;
        return processes.get(Integer.parseInt(row.path("member").asText().substring(7)));
    }

    void stop() {
        synchronized (processes) {
            stopping = true;
            for (Controller each : processes) if (each.process != null) each.process.destroyForcibly();
        }
        try (var files = Files.list(directory)) {
            files.forEach(file -> file.toFile().delete());
        } catch (IOException e) {
            // Nothing to clean up.
        }
        new File(directory.toString()).delete();
    }

    /** Writes the verdict and ends the process: 1 if a rule was broken, 0 if not, 2 if the case could not run. */
    void finish(boolean couldRun) {
        int code = !couldRun ? 2 : violations.isEmpty() ? 0 : 1;
        log("verdict " + code + " " + violations);
        System.out.println((code == 0 ? "held" : code == 1 ? "BROKEN" : "could not run") + " " + violations);
        System.exit(code);
    }
}
