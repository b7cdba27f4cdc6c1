package review2;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.File;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Controllers as processes of their own, started with the command of the deploy file, and the platform around them. */
final class Cluster implements AutoCloseable {
  static final class Member {
    final String name;
    final String zone;
    final int servePort;
    final int peerPort;
    final int statePort;
    File settings;
    Process process;

    /** The state service answers this controller alone with 503. */
    volatile boolean refusedByState;

    Member(String name, String zone, int servePort, int peerPort, int statePort) {
      this.name = name;
      this.statePort = statePort;
      this.zone = zone;
      this.servePort = servePort;
      this.peerPort = peerPort;
    }
  }

  private static final ObjectMapper JSON = new ObjectMapper();
  private static final int MEMBERS = 3;
  final List<Member> members = new ArrayList<>();
  final Platform platform;
  final State state;
  final PeerLinks links = new PeerLinks();
  private final Site site;
  private final Path directory = Files.createTempDirectory("review-2");
  private final List<Http.Server> servers = new ArrayList<>();
  private final int cloudPort = Http.freePort();

  Cluster(Site site) throws IOException {
    this.site = site;
    platform = new Platform(site.offers, site.zones, site.reportSeconds, site.leaseSeconds, site.listLagSeconds);
    state = new State(site.rps, site.writeRps, site.valueKb, site.txnOps);
    platform.cluster(this);
    for (int i = 0; i < MEMBERS; i++) {
      members.add(new Member("drover-" + i, site.zones.get(i % site.zones.size()), Http.freePort(), Http.freePort(), Http.freePort()));
    }
    Runtime.getRuntime().addShutdownHook(new Thread(this::killAll));
    for (Member member : members) {
      servers.add(
          new Http.Server(
              member.statePort,
              200,
              (method, target, body) ->
                  member.refusedByState
                      ? new Http.Reply(503, "{\"error\":\"refused\"}")
                      : stateFault.handle(member, method, target, body, state)));
    }
    servers.add(new Http.Server(cloudPort, 200, platform));
    for (Member member : members) {
      member.settings = directory.resolve(member.name + ".json").toFile();
      Files.writeString(member.settings.toPath(), settings(member).toPrettyString());
    }
    for (Member member : members) start(member);
  }

  private ObjectNode settings(Member member) throws IOException {
    ObjectNode all = JSON.createObjectNode();
    all.put("member", member.name).put("zone", member.zone);
    all.put("serve_on", Http.HOST + ":" + member.servePort).put("peer_bind", Http.HOST + ":" + member.peerPort);
    ArrayNode others = all.putArray("others");
    for (Member other : members) {
      if (other == member) continue;
      int link = links.open(member.name, other.name, other.peerPort);
      others.addObject().put("member", other.name).put("zone", other.zone).put("endpoint", Http.HOST + ":" + link);
    }
    all.putObject("services").put("cloud", Http.HOST + ":" + cloudPort).put("state", Http.HOST + ":" + member.statePort);
    ObjectNode params = all.putObject("params").put("count", MEMBERS);
    ArrayNode zones = params.putArray("zones");
    site.zones.forEach(zones::add);
    params.set("teams", JSON.readTree(site.teams));
    params.set("objectives", JSON.readTree(site.objectives));
    params.putObject("workers").put("report_s", site.reportSeconds).put("lease_s", site.leaseSeconds)
        .put("gang_wait_s", site.gangWaitSeconds).put("gang_peer_s", site.gangPeerSeconds).put("cancel_s", site.cancelSeconds);
    params.putObject("state").put("rps", site.rps).put("write_rps", site.writeRps).put("value_kb", site.valueKb).put("txn_ops", site.txnOps);
    params.putObject("cloud").put("rps", 8.0).put("list_lag_s", site.listLagSeconds);
    params.putObject("limits").put("cpu_share", site.cpuShare).put("memory_mb", 268.0).put("max_connections", 2000);
    params.put("time_bound_ms", site.clockOffMillis);
    return all;
  }

  /** Starts a controller with the command of the deploy file, from the root of the repository. */
  void start(Member member) throws IOException {
    Matcher run = Pattern.compile("(?m)^run = \"(.*)\"$").matcher(Files.readString(Path.of("deploy/service.toml")));
    if (!run.find()) throw new IOException("the deploy file has no run command");
    List<String> command = new ArrayList<>(Arrays.asList(run.group(1).split(" ")));
    command.add(member.settings.getPath());
    ProcessBuilder builder = new ProcessBuilder(command).redirectOutput(ProcessBuilder.Redirect.DISCARD);
    builder.redirectError(ProcessBuilder.Redirect.appendTo(directory.resolve(member.name + ".log").toFile()));
    builder.environment().put("LOG_LEVEL", "info");
    synchronized (this) {
      member.process = builder.start();
    }
    Record.line("start " + member.name + " process " + member.process.pid());
  }

  void kill(Member member) throws IOException {
    try {
      member.process.destroyForcibly().waitFor(10, TimeUnit.SECONDS);
    } catch (InterruptedException e) {
      throw new IOException(e);
    }
    Record.line("kill " + member.name);
  }

  void signal(Member member, String name) throws IOException {
    try {
      new ProcessBuilder("kill", "-" + name, Long.toString(member.process.pid())).start().waitFor();
    } catch (InterruptedException e) {
      throw new IOException(e);
    }
    Record.line("signal " + name + " to " + member.name);
  }

  boolean isReady(Member member) {
    Http.Reply reply = Http.once(member.servePort, "GET", "/ready", "", 1000);
    return reply != null && reply.status() == 200;
  }

  /** Waits until all controllers are ready and a leader is elected. */
  void awaitReady() {
    await("controllers not ready", 30, () -> leader() != null && members.stream().allMatch(this::isReady));
    Record.line("leader " + leader().name);
  }

  Member leader() {
    var row = state.value("leader");
    if (row == null) return null;
    return members.stream().filter(m -> m.name.equals(row.path("member").asText())).findFirst().orElse(null);
  }

  /** What happens to a request to the state service on its way; at first nothing. */
  interface StateFault {
    Http.Reply handle(Member member, String method, String target, String body, Http.Handler state) throws Exception;
  }

  volatile StateFault stateFault = (member, method, target, body, state) -> state.handle(method, target, body);

  interface Condition {
    boolean holds();
  }

  static boolean within(double seconds, Condition condition) {
    double until = Threads.now() + seconds;
    while (Threads.now() < until) {
      if (condition.holds()) return true;
      Threads.sleep(0.1);
    }
    return condition.holds();
  }

  /** Waits for what the case needs before its disruption; the case cannot run without it. */
  static void await(String failure, double seconds, Condition condition) {
    if (!within(seconds, condition)) throw new IllegalStateException(failure);
  }

  String log(Member member) throws IOException {
    return Files.readString(directory.resolve(member.name + ".log"));
  }

  /** Copies the lines of the controllers' logs that contain one of the phrases into the record. */
  void recordLogs(String... phrases) throws IOException {
    for (Member member : members) {
      for (String line : log(member).split("\n")) {
        if (Arrays.stream(phrases).anyMatch(line::contains)) Record.line("log of " + member.name + ": " + line);
      }
    }
  }

  private synchronized void killAll() {
    for (Member member : members) if (member.process != null) member.process.destroyForcibly();
    for (Member member : members) {
      try {
        if (member.process != null) member.process.waitFor(5, TimeUnit.SECONDS);
      } catch (InterruptedException e) {
        return;
      }
    }
  }

  @Override
  public void close() throws IOException {
    killAll();
    links.close();
    for (Http.Server server : servers) server.close();
    if (System.getenv("KEEP_LOGS") != null) {
      System.out.println("logs: " + directory);
      return;
    }
    try (var files = Files.walk(directory)) {
      files.sorted(Comparator.reverseOrder()).map(Path::toFile).forEach(File::delete);
    }
  }
}
