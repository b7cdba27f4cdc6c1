import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;

/**
 * Looks for broken rules: a stream of jobs and cancellations, and overlapping disruptions drawn from a seed, on real processes. It is no
 * case. The times of the workers are half of those of a site, so that more happens in a run. Usage: Search RECORD SEED SECONDS
 */
final class Search {
    private final World world;
    private final Random random;
    private final List<String> accepted = Collections.synchronizedList(new ArrayList<>());
    private volatile boolean submits = true;

    private Search(World world, long seed) {
        this.world = world;
        random = new Random(seed);
    }

    public static void main(String[] args) throws Exception {
        long seed = Long.parseLong(args[1]);
        World world = new World(args[0]);
        world.random = new Random(seed * 7 + 1);
        new Search(world, seed).run(Double.parseDouble(args[2]));
    }

    private void run(double troubleSeconds) throws Exception {
        boolean guarantee = random.nextBoolean();
        world.team("crew", guarantee ? 16 : 0, random.nextInt(3) > 0 ? 20 : 0);
        world.team("guest", 0, 12);
        world.gangWaitS = 20.0;
        world.reportS = 1.5;
        world.leaseS = 12;
        world.cancelS = 27;
        world.cloud.type("polder", 8, 64, 3);
        world.cloud.type("dijk", 16, 128, 1);
        if (!world.start()) world.finish(false);
        Net.daemon("submissions", this::submitJobs);
        Net.daemon("polls", this::poll);
        Net.daemon("cancellations", () -> {
            while (true) {
                World.sleep(1);
                world.checkCancelled();
            }
        });
        World.sleep(3);
        double end = world.now() + troubleSeconds;
        while (world.now() < end) {
            World.sleep(0.5 + random.nextDouble() * 5);
            disrupt();
        }
        submits = false;
        World.sleep(30);
        world.log("all troubles are over");
        Net.Client user = new Net.Client();
        double until = world.now() + 100;
        while (world.now() < until && !unfinished().isEmpty()) {
            for (String job : unfinished()) world.ask(user, random.nextInt(world.controllers), "GET", "/api/jobs/" + job, null, 2000);
            World.sleep(3);
        }
        for (String job : unfinished()) world.violate("an accepted job must run", job + " is not over");
        for (World.Controller each : world.processes) if (each.ownEnds > 0) world.violate("keeps running", each.name());
        world.log("jobs " + accepted.size());
        world.finish(true);
    }

    private List<String> unfinished() {
        synchronized (world) {
            List<String> open = new ArrayList<>(accepted);
            open.removeIf(job -> "done".equals(world.finalStates.get(job)) || "withdrawn".equals(world.finalStates.get(job)));
            return open;
        }
    }

    private void submitJobs() {
        Random draws = world.random;
        for (int number = 1; submits; number++) {
            ObjectNode spec = world.job(number, 1 + draws.nextInt(5), 1, 1, 1 + draws.nextInt(25));
            if (draws.nextInt(4) == 0) spec.put("shape", "ensemble");
            if (draws.nextInt(3) == 0) spec.put("crew", "guest");
            if (draws.nextInt(5) == 0) spec.put("together", true);
            else if (draws.nextInt(6) == 0 && spec.path("pieces").asInt() < 3) spec.put("spread", true);
            Net.daemon("user", () -> {
                if (!world.submit(spec)) return;
                String job = spec.path("id").asText();
                accepted.add(job);
                if (draws.nextInt(3) == 0) cancel(job);
            });
            World.sleep(0.5 + draws.nextDouble() * 1.5);
        }
    }

    private void cancel(String job) {
        World.sleep(world.random.nextDouble() * 20);
        Net.Client user = new Net.Client();
        int node = world.random.nextInt(world.controllers);
        for (int i = 0; i < 60; i++) {
            if (world.ask(user, node, "POST", "/api/jobs/" + job + "/abort", "", 5000).status() == 200) return;
            node = (node + 1) % world.controllers;
            World.sleep(1);
        }
    }

    private void poll() {
        Net.Client user = new Net.Client();
        while (true) {
            World.sleep(0.3);
            List<String> jobs = new ArrayList<>(accepted);
            if (jobs.isEmpty()) continue;
            String job = jobs.get(world.random.nextInt(jobs.size()));
            world.ask(user, world.random.nextInt(world.controllers), "GET", "/api/jobs/" + job, null, 2000);
        }
    }

    private void disrupt() {
        World.Controller leader = world.leader();
        boolean atLeader = leader != null && random.nextInt(3) > 0;
        World.Controller node = atLeader ? leader : world.processes.get(random.nextInt(world.controllers));
        double seconds = 0.3 + random.nextDouble() * random.nextDouble() * 30;
        int kind = random.nextInt(17);
        world.log("disruption " + kind + " at " + node.name() + " for " + seconds);
        switch (kind) {
            case 0 -> restart(node, random.nextBoolean() ? 0.3 : 4);
            case 1 -> {
                node.signal("STOP");
                world.after(seconds, () -> node.signal("CONT"));
            }
            case 2 -> during(node.toStore, random.nextBoolean() ? Net.Proxy.Mode.HOLD : Net.Proxy.Mode.HOLD_ANSWERS, seconds);
            case 3 -> {
                node.toPeers.values().forEach(each -> during(each, Net.Proxy.Mode.HOLD, seconds));
                for (World.Controller other : world.processes) {
                    if (other != node) during(other.toPeers.get(node.index), Net.Proxy.Mode.HOLD, seconds);
                }
            }
            case 4 -> during(node.fromWorkers, Net.Proxy.Mode.HOLD, seconds);
            case 5 -> {
                world.store.refused.add(node.name());
                world.after(seconds, () -> world.store.refused.remove(node.name()));
            }
            case 6 -> {
                world.store.setDown(true);
                world.after(seconds, () -> world.store.setDown(false));
            }
            case 7 -> {
                node.toStore.reset();
                node.fromWorkers.reset();
                node.toPeers.values().forEach(Net.Proxy::reset);
                machines(1).forEach(each -> each.proxy.reset());
            }
            case 8 -> machines(2).forEach(each ->
                during(each.proxy, random.nextBoolean() ? Net.Proxy.Mode.HOLD : Net.Proxy.Mode.REFUSE, seconds));
            case 9 -> machines(2).forEach(each -> {
                each.mute = true;
                world.after(seconds, () -> each.mute = false);
            });
            case 10 -> machines(3).forEach(each -> each.hang(seconds * 0.5));
            case 11 -> {
                double share = 0.1 + random.nextDouble() * 0.3;
                if (random.nextBoolean()) world.store.lostAnswers = share;
                else world.store.lateWrites = share;
                world.after(seconds, () -> {
                    world.store.lostAnswers = 0;
                    world.store.lateWrites = 0;
                });
            }
            case 12 -> {
                world.lateCommands = 0.3;
                world.lateReports = 0.3;
                world.after(seconds, () -> {
                    world.lateCommands = 0;
                    world.lateReports = 0;
                });
            }
            case 13 -> machines(3).forEach(each -> world.cloud.take(each.id));
            case 14 -> {
                world.cloud.down = true;
                world.after(seconds, () -> world.cloud.down = false);
            }
            case 15 -> world.processes.forEach(each -> restart(each, random.nextDouble() * 5));
            default -> machines(3).forEach(each -> {
                double noticeS = 5 + random.nextDouble() * 8;
                each.recallAt = world.now() + noticeS;
                each.changed = true;
                world.after(noticeS, () -> world.cloud.take(each.id));
            });
        }
    }

    private void restart(World.Controller node, double afterSeconds) {
        if (!node.process.isAlive()) return;
        node.kill();
        world.after(afterSeconds, () -> {
            try {
                node.start();
            } catch (IOException e) {
                world.log("not started again: " + e);
            }
        });
    }

    private void during(Net.Proxy proxy, Net.Proxy.Mode mode, double seconds) {
        proxy.set(mode);
        world.after(seconds, () -> proxy.set(Net.Proxy.Mode.PASS));
    }

    /** About one in so many machines. */
    private List<World.Worker> machines(int oneIn) {
        synchronized (world) {
            List<World.Worker> drawn = new ArrayList<>(world.cloud.machines.values());
            drawn.removeIf(each -> random.nextInt(oneIn) != 0);
            return drawn;
        }
    }
}
