/** More small tasks fit on one machine than its report may list; see review/2/claim.txt. */
final class Case2 {
    private static final double OBSERVED_S = 108.0;
    private static final int MAX_BODY = 64 * 1024;

    public static void main(String[] args) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        World world = new World("review/2/record.txt").koelwacht();
        world.logTasks = false;
        world.cloud.type("polder", 16, 128, 14);
        world.cloud.type("dijk", 64, 256, 14);
        if (!world.start()) world.finish(false);

        // One task of 50 s, and beside it an array of small tasks of 50 s.
        var single = world.job(1, 1, 1.0, 1.0, 50.0).put("lane", "logger-intake").put("crew", "koudketen-ops-1");
        single.putArray("breeds").add("dijk");
        var swarm = world.job(2, trouble ? 1500 : 600, 0.04, 0.1, 50.0).put("lane", "zwerm-pings").put("urgency", "best_effort");
        swarm.putArray("breeds").add("dijk");
        if (!world.submit(single)) world.finish(false);
        world.await(20, () -> world.starts > 0);
        if (!world.submit(swarm)) world.finish(false);

        Net.Client user = new Net.Client();
        while (world.now() < OBSERVED_S) {
            World.sleep(5.0);
            boolean singleDone = isDone(world, user, "j-000001");
            boolean swarmDone = isDone(world, user, "j-000002");
            synchronized (world) {
                StringBuilder machines = new StringBuilder();
                for (World.Worker each : world.cloud.machines.values()) {
                    machines.append(' ').append(each.id).append(" tasks=").append(each.tasks.size()).append(" largest_report=")
                        .append(each.largestReport).append(" sessions_ended=").append(each.sessionsEnded);
                }
                world.log("starts=" + world.starts + " killed=" + world.killed + " done=" + world.doneTasks.size() + machines);
            }
            if (singleDone && swarmDone) world.finish(true);
        }
        synchronized (world) {
            int largest = 0;
            for (World.Worker each : world.cloud.machines.values()) largest = Math.max(largest, each.largestReport);
            if (largest > MAX_BODY && world.killed > 0) {
                for (String job : new String[] {"j-000001", "j-000002"}) {
                    if ("done".equals(world.finalStates.get(job))) continue;
                    world.violate("an accepted job must run", job + " is not done: its tasks are killed again and again, because the report"
                        + " of their machine needs " + largest + " bytes of at most " + MAX_BODY);
                }
            }
        }
        world.finish(true);
    }

    private static boolean isDone(World world, Net.Client user, String job) {
        return World.parse(world.ask(user, 0, "GET", "/api/jobs/" + job, null, 2000).body()).path("standing").asText().equals("done");
    }
}
