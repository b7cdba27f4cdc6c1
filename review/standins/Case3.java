import com.fasterxml.jackson.databind.JsonNode;

/** A command is held up, its job is cancelled, and the leader crashes; see review/3/claim.txt. */
final class Case3 {
    private static final String TEAM = "koudketen-ops-0";
    private static final double LIMIT_CPUS = 384.0;
    private static final double CPUS = 32.0;
    private static final double RAM_GB = 72.0;
    private static final int JOBS = 12;
    private static final double MAX_WAIT_S = 90.0;
    private static final double END_S = 118.0;

    public static void main(String[] args) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        World world = new World("review/3/record.txt").koelwacht();
        world.cloud.type("polder", 16, 128, 1);
        world.cloud.type("dijk", 64, 256, 8);
        world.holdFirstRun = trouble;
        if (!world.start()) world.finish(false);

        // Two small jobs, one on each type of machine.
        String[] types = {"polder", "dijk"};
        for (int i = 0; i < types.length; i++) {
            var small = world.job(i + 1, 1, 2.0, 7.1, 40.0).put("lane", "logger-intake").put("urgency", "high").put("crew", TEAM);
            small.putArray("breeds").add(types[i]);
            if (!world.submit(small)) world.finish(false);
        }
        if (!world.await(25, () -> world.starts >= types.length)) world.finish(false);
        Net.Client user = new Net.Client();
        World.Controller leader = world.leader();
        for (int i = 0; i < types.length; i++) {
            String path = "/api/jobs/" + String.format("j-%06d", i + 1) + "/abort";
            if (world.ask(user, leader.index, "POST", path, "", 5000).status() != 200) world.finish(false);
        }
        world.holdFirstRun = false;
        synchronized (world) {
            world.cloud.machines.values().forEach(each -> each.holdNextRun = false);
        }
        if (trouble) {
            leader.kill();
            world.after(3.0, () -> {
                try {
                    leader.start();
                } catch (java.io.IOException e) {
                    world.log("not started again: " + e);
                }
            });
        }

        // Jobs of the same team, together exactly as much as its limit.
        int startsBefore = world.starts;
        for (int i = 0; i < JOBS; i++) {
            var job = world.job(10 + i, 1, CPUS, RAM_GB, 140.0).put("lane", "logger-intake").put("crew", TEAM);
            if (!world.submit(job)) world.finish(false);
        }
        if (!world.await(20, () -> world.leader() != null && world.processes.stream().allMatch(each -> world.ready(each)))) world.finish(false);
        world.log("all troubles are over");

        double waitingSince = world.now();
        String reported = "";
        while (world.now() < END_S) {
            World.sleep(0.25);
            synchronized (world) {
                if (world.starts >= startsBefore + JOBS) world.finish(true);
                String waiting = waitingWithRoom(world);
                if (!waiting.equals(reported)) world.log("waiting although there is room and the team is under its limit: " + waiting);
                if (waiting.isEmpty() || !waiting.equals(reported)) waitingSince = world.now();
                reported = waiting;
                if (!waiting.isEmpty() && world.now() > waitingSince + MAX_WAIT_S) {
                    world.violate("no job is left waiting for 90 s while a machine that fits has room and its team is under its limit", waiting);
                    world.finish(true);
                }
            }
        }
        world.finish(true);
    }

    /** The jobs that have not started, if a machine has room for one of them and their team is under its limit; otherwise empty. */
    private static String waitingWithRoom(World world) {
        double used = 0;
        for (String piece : world.running.keySet()) {
            JsonNode spec = world.specs.get(piece.substring(0, piece.indexOf('/')));
            if (spec.path("crew").asText().equals(TEAM)) used += spec.path("vcpus").asDouble();
        }
        boolean room = false;
        String where = "";
        for (World.Worker each : world.cloud.machines.values()) {
            double cpus = each.type.cpus();
            double ramGb = each.type.ramGb();
            for (World.Task task : each.tasks.values()) {
                if (task.exited()) continue;
                cpus -= world.specs.get(task.job()).path("vcpus").asDouble();
                ramGb -= world.specs.get(task.job()).path("ramGb").asDouble();
            }
            if (each.up && each.baton > 0 && cpus >= CPUS && ramGb >= RAM_GB) {
                room = true;
                where = each.id;
            }
        }
        if (!room || used + CPUS > LIMIT_CPUS) return "";
        StringBuilder waiting = new StringBuilder();
        for (int i = 0; i < JOBS; i++) {
            String job = String.format("j-%06d", 10 + i);
            if (!world.running.containsKey(job + "/0") && !world.doneTasks.contains(job + "/0")) waiting.append(job).append(' ');
        }
        return waiting.isEmpty() ? "" : waiting + "(the team uses " + used + " of " + LIMIT_CPUS + " CPUs, there is room)";
    }
}
