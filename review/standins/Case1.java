import java.io.IOException;
import java.util.Arrays;

/** A user submits a job whose text is malformed; see review/1/claim.txt. */
final class Case1 {
    private static final double RESTART_S = 8.0;
    private static final double USER_TRIES_S = 25.0;

    public static void main(String[] args) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        World world = new World("review/1/record.txt").fraserlight();
        world.cloud.type("heron", 16, 64, 2);
        if (!world.start()) world.finish(false);
        if (!world.submit(world.job(1, 3, 1.0, 1.7, 30.0))) world.finish(false);

        // The platform starts a process again that has ended.
        for (World.Controller each : world.processes) Net.daemon("restart-" + each.name(), () -> restart(world, each));

        String job = world.job(2, 3, 1.0, 1.7, 5.0).toString();
        String sent = trouble ? job.replace("\"lane\":\"sweep\"", "\"lane\":\"sweep\\ud83d\"") : job;
        if (trouble == sent.equals(job)) world.finish(false);
        world.specs.put("j-000002", World.parse(job));
        Net.Client user = new Net.Client();
        int node = 0;
        double until = world.now() + USER_TRIES_S;
        int answered = 0;
        while (world.now() < until && answered == 0) {
            int status = world.ask(user, node, "POST", "/api/jobs", sent, 5000).status();
            if (Arrays.asList(200, 201, 400, 422).contains(status)) answered = status;
            node = (node + 1) % world.controllers;
            World.sleep(1.0);
        }
        world.log("the submission was answered with " + answered);
        World.sleep(3.0);
        for (int i = 0; i < world.controllers; i++) world.ask(new Net.Client(), i, "GET", "/api/jobs/j-000001", null, 2000);
        for (World.Controller each : world.processes) {
            if (each.ownEnds > 0) world.violate("keeps running until it is killed", each.name() + " ended by itself, times: " + each.ownEnds);
        }
        world.finish(true);
    }

    private static void restart(World world, World.Controller each) {
        while (true) {
            World.sleep(0.1);
            if (each.process.isAlive()) continue;
            World.sleep(RESTART_S);
            try {
                each.start();
            } catch (IOException e) {
                world.log(each.name() + " could not be started: " + e);
            }
        }
    }
}
