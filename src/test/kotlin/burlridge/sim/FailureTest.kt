package burlridge.sim

import burlridge.sim.World.Fate
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** One failure at a time, each at its worst moment. */
internal class FailureTest {
    private val world = World(7)

    /** The first call that [matches] meets [fate]; everything else goes well. */
    private fun once(
        fate: Fate,
        matches: (String, String) -> Boolean,
    ): () -> Int {
        var met = 0
        world.meddle = { _, call ->
            if (met == 0 && matches(call.path, call.body.orEmpty())) {
                met++
                fate
            } else {
                Fate.FINE
            }
        }
        return { met }
    }

    private fun verdict(vararg jobs: String) {
        assertEquals(emptyList<String>(), world.rules.broken)
        assertEquals(emptyList<String>(), jobs.filterNot { world.rules.finished(it) }, "not over")
    }

    private fun threeTasks(until: Double = 120.0) {
        world.clock.after(5.0) { world.submit(world.job(1, 3)) }
        world.run(until)
        verdict("j-000001")
    }

    @Test
    fun `a command is executed and its answer lost, and no task starts twice`() {
        val met = once(Fate.ANSWER_LOST) { path, body -> path == "/do" && "run" in body }
        threeTasks()
        assertEquals(1, met())
        assertEquals(3, world.rules.starts)
    }

    @Test
    fun `a command held back for long is void when it arrives`() {
        val met = once(Fate.LATE) { path, body -> path == "/do" && "run" in body }
        threeTasks()
        assertEquals(1, met())
        assertEquals(3, world.rules.starts)
    }

    @Test
    fun `a claim whose answer is lost is found to be ours`() {
        val met = once(Fate.ANSWER_LOST) { path, body -> path == "/multi" && "round/" in body }
        threeTasks()
        assertEquals(1, met())
        assertEquals(3, world.rules.starts)
    }

    @Test
    fun `a claim that is applied late changes nothing`() {
        val met = once(Fate.LATE) { path, body -> path == "/multi" && "round/" in body }
        threeTasks()
        assertEquals(1, met())
        assertEquals(3, world.rules.starts)
    }

    @Test
    fun `a rental executed late brings machines that are used or returned`() {
        val met = once(Fate.LATE) { path, _ -> path == "/rentals" }
        threeTasks(240.0)
        assertEquals(1, met())
    }

    @Test
    fun `a leader that cannot boot any machine keeps to one plan step at a time`() {
        world.cloud.silentBoots = true
        world.clock.after(5.0) { world.submit(world.job(1, 3)) }
        world.run(25.0)
        assertTrue(world.cloud.requests.size <= 2, "rented again before a boot could be told from a lagging list: ${world.cloud.requests}")
        world.cloud.silentBoots = false
        world.run(240.0)
        verdict("j-000001")
    }

    @Test
    fun `a leader cut from the state service gives way, and its workers keep their tasks`() {
        world.clock.after(5.0) { world.submit(world.job(1, 3, runSeconds = 40.0)) }
        world.clock.after(30.0) { world.leader()?.let { world.cut(it, "state", 60.0) } }
        world.run(150.0)
        verdict("j-000001")
        assertEquals(3, world.rules.starts)
    }

    /** Guards the zone kept with a claim: a new leader has heard of no machine when it places the rest of the job. */
    @Test
    fun `a spread job stays spread when its leader dies half way`() {
        repeat(6) { i -> world.clock.after(5.0 + i) { world.submit(world.job(i, 10, cpus = 2.0, spread = true, runSeconds = 20.0)) } }
        repeat(6) { i -> world.clock.after(20.0 + 7 * i) { world.leader()?.let { world.crash(it, 2.0) } } }
        world.run(300.0)
        verdict("j-000000", "j-000005")
    }

    @Test
    fun `a withdrawal races the start and the end of its job`() {
        repeat(40) { i -> world.clock.after(20.0 + i) { world.submit(world.job(i, 2, runSeconds = 2.0), abortAfter = i * 0.15) } }
        world.run(150.0)
        verdict(*Array(40) { "j-%06d".format(it) })
    }

    @Test
    fun `every controller dies at once, and accepted jobs run on`() {
        repeat(5) { i -> world.clock.after(5.0 + i) { world.submit(world.job(i, 4, runSeconds = 30.0)) } }
        world.clock.after(30.0) { world.members.forEach { world.crash(it, 6.0) } }
        world.run(200.0)
        verdict("j-000000", "j-000004")
        assertEquals(20, world.rules.starts)
    }

    @Test
    fun `tasks outlive an outage of the state service`() {
        world.clock.after(5.0) { world.submit(world.job(1, 3, runSeconds = 45.0)) }
        world.clock.after(28.0) { world.state.outage(20.0) }
        world.run(150.0)
        verdict("j-000001")
        assertEquals(3, world.rules.starts)
    }

    /** Guards the relay: without it the workers' leases lapse on the way between a leader out of reach and the others. */
    @Test
    fun `workers that cannot reach the leader are relayed to it`() {
        world.clock.after(5.0) { world.submit(world.job(1, 3, runSeconds = 60.0)) }
        world.clock.after(30.0) {
            val leader = world.leader() ?: return@after
            world.cloud.names().forEach { world.cut(it, leader, 50.0) }
        }
        world.run(200.0)
        verdict("j-000001")
        assertEquals(3, world.rules.starts)
    }

    /** Guards the leader's word that it hears nobody in a zone: each worker would go to it and back before it is relayed. */
    @Test
    fun `a zone apart is relayed as soon as its leader misses it, and goes straight again afterwards`() {
        val many = World(8, types = mapOf("small" to TypeSpec(4.0, 16.0, 20)), guaranteed = 0.0)
        var passed = 0
        many.clock.after(40.0) {
            val leader = many.leader() ?: return@after
            val apart = many.cloud.names().filter { many.cloud.worker(it)?.zone == "b" }
            apart.forEach { many.cut(it, leader, 30.0) }
            many.onAsk = { path -> if (path == "/agent/beat" && passed++ == 0) many.log += "%8.3f first relayed".format(many.clock.now) }
        }
        many.run(100.0)
        val first =
            many.log
                .first { "first relayed" in it }
                .take(8)
                .trim()
                .toDouble()
        // A report that no answer came to takes four seconds and one more.
        assertTrue(first < 40.0 + 5.0 + many.reportSeconds, "first relayed at $first")
        val passedByThen = passed
        many.run(120.0)
        assertTrue(passedByThen > 0 && passed - passedByThen < 20, "still relayed: ${passed - passedByThen}")
    }

    /** Guards the question to a machine that is overdue: by its lease alone its tasks stood still three times as long. */
    @Test
    fun `a dead machine is asked, returned and its tasks run elsewhere`() {
        world.clock.after(5.0) { world.submit(world.job(1, 8, runSeconds = 60.0)) }
        world.clock.after(40.0) {
            world.cloud
                .names()
                .take(2)
                .forEach { world.cloud.worker(it)?.kill() }
        }
        world.run(150.0)
        verdict("j-000001")
        val returned =
            world.log
                .first { "cannot be reached; returning" in it }
                .take(8)
                .trim()
                .toDouble()
        assertTrue(returned < 40.0 + world.leaseSeconds / 2, "returned at $returned")
    }

    /** Guards the machines that only a dead leader's claims name: no report and no list will ever speak of them again. */
    @Test
    fun `machines that end together with the leader are known to be gone`() {
        world.clock.after(5.0) { world.submit(world.job(1, 8, runSeconds = 60.0)) }
        // The old leader never hears of it: the cloud is out of its reach until it dies.
        world.clock.after(40.0) {
            world.leader()?.let { world.cut(it, "cloud", 60.0) }
            world.cloud
                .names()
                .take(3)
                .forEach { world.cloud.take(it) }
        }
        world.clock.after(48.0) { world.leader()?.let { world.crash(it, 5.0) } }
        world.run(200.0)
        verdict("j-000001")
        val gone =
            world.log
                .first { "the cloud no longer lists it" in it }
                .take(8)
                .trim()
                .toDouble()
        assertTrue(gone < 48.0 + world.leaseSeconds, "gone at $gone")
    }

    /** Guards the record of who has led: waiting for a member that never led cost the old leader's whole bound and a lease. */
    @Test
    fun `a new leader waits only for those who led before`() {
        world.clock.after(5.0) { world.submit(world.job(1, 8, runSeconds = 60.0, zone = "b")) }
        world.clock.after(35.0) {
            val never = world.members.first { it != world.leader() }
            (world.members + "state").forEach { if (it != never) world.cut(never, it, 100.0) }
            val apart = world.cloud.names().filter { world.cloud.worker(it)?.zone == "b" }
            apart.forEach { machine -> world.members.forEach { world.cut(machine, it, 100.0) } }
        }
        world.clock.after(40.0) { world.leader()?.let { world.crash(it, 3.0) } }
        world.run(250.0)
        verdict("j-000001")
        val leaseExpired =
            world.log
                .filter { "lease has lapsed" in it }
                .map { it.take(8).trim().toDouble() }
        assertTrue(leaseExpired.isNotEmpty() && leaseExpired.all { it < 45.0 + world.leaseSeconds * 1.1 }, "lapsed at $leaseExpired")
    }

    /** Guards rentals by the hundred: one call of fifty a second kept hundreds of lost machines' tasks waiting for the last. */
    @Test
    fun `what is needed by the hundred is rented within a plan or two`() {
        val many = World(9, types = mapOf("small" to TypeSpec(4.0, 16.0, 150)))
        many.clock.after(20.0) { many.submit(many.job(1, 250, cpus = 4.0, runSeconds = 20.0)) }
        many.run(23.0)
        assertTrue(many.cloud.names().size >= 250, "${many.cloud.names().size} machines after three seconds")
    }

    /** Guards the headroom of a lane: it was paid for long after the lane's last job. */
    @Test
    fun `room is kept while jobs of a lane come, and given back when none do`() {
        repeat(20) { i -> world.clock.after(5.0 + 3 * i) { world.submit(world.job(i, 3, runSeconds = 4.0)) } }
        world.run(62.0)
        assertTrue(world.cloud.names().isNotEmpty())
        world.run(230.0)
        verdict("j-000000", "j-000019")
        assertEquals(emptyList<String>(), world.cloud.names())
    }

    /** Guards the comparison of runs: without it the job waits for the slow machines' tasks. */
    @Test
    fun `slow machines are found out by others on the same work, and left`() {
        world.clock.after(5.0) { world.submit(world.job(1, 2, runSeconds = 2.0)) }
        world.clock.after(30.0) {
            world.cloud
                .names()
                .take(1)
                .forEach { world.cloud.worker(it)?.slowness = 20.0 }
        }
        world.clock.after(40.0) { world.submit(world.job(2, 24, runSeconds = 20.0)) }
        world.run(150.0)
        verdict("j-000002")
        assertTrue(world.log.any { "is slow" in it })
    }

    @Test
    fun `rounds and progress leave no rows behind`() {
        repeat(8) { i -> world.clock.after(5.0 + i) { world.submit(world.job(i, 5)) } }
        world.run(150.0)
        assertEquals(
            emptyList<String>(),
            world.state.keys("round/") + world.state.keys("prog/") + world.state.keys("live/") + world.state.keys("rental/"),
        )
        assertEquals(8, world.state.keys("over/").size)
    }
}
