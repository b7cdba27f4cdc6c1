package burlridge.simulation

import burlridge.simulation.SimulatedCluster.CallFault
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** One failure at a time, each at its worst moment. */
internal class FailureTest {
    private val cluster = SimulatedCluster(7)

    /** The first call that [matches] meets [fate]; everything else goes well. */
    private fun once(
        fate: CallFault,
        matches: (String, String) -> Boolean,
    ): () -> Int {
        var met = 0
        cluster.onCall = { _, call ->
            if (met == 0 && matches(call.path, call.body.orEmpty())) {
                met++
                fate
            } else {
                CallFault.NONE
            }
        }
        return { met }
    }

    private fun verdict(vararg jobs: String) {
        assertEquals(emptyList<String>(), cluster.invariants.violations)
        assertEquals(emptyList<String>(), jobs.filterNot { cluster.invariants.finished(it) }, "not over")
    }

    private fun threeTasks(until: Double = 120.0) {
        cluster.clock.after(5.0) { cluster.submit(cluster.job(1, 3)) }
        cluster.run(until)
        verdict("j-000001")
    }

    @Test
    fun `a command is executed and its answer lost, and no task starts twice`() {
        val met = once(CallFault.ANSWER_LOST) { path, body -> path == "/do" && "run" in body }
        threeTasks()
        assertEquals(1, met())
        assertEquals(3, cluster.invariants.starts)
    }

    @Test
    fun `a command held back for long is void when it arrives`() {
        val met = once(CallFault.DELAYED) { path, body -> path == "/do" && "run" in body }
        threeTasks()
        assertEquals(1, met())
        assertEquals(3, cluster.invariants.starts)
    }

    @Test
    fun `a claim whose answer is lost is found to be ours`() {
        val met = once(CallFault.ANSWER_LOST) { path, body -> path == "/multi" && "round/" in body }
        threeTasks()
        assertEquals(1, met())
        assertEquals(3, cluster.invariants.starts)
    }

    @Test
    fun `a claim that is applied late changes nothing`() {
        val met = once(CallFault.DELAYED) { path, body -> path == "/multi" && "round/" in body }
        threeTasks()
        assertEquals(1, met())
        assertEquals(3, cluster.invariants.starts)
    }

    @Test
    fun `a rental executed late brings machines that are used or returned`() {
        val met = once(CallFault.DELAYED) { path, _ -> path == "/rentals" }
        threeTasks(240.0)
        assertEquals(1, met())
    }

    @Test
    fun `a leader that cannot boot any machine keeps to one plan step at a time`() {
        cluster.cloud.bootsFail = true
        cluster.clock.after(5.0) { cluster.submit(cluster.job(1, 3)) }
        cluster.run(25.0)
        assertTrue(
            cluster.cloud.rentalRequests.size <= 2,
            "rented again before a boot could be told from a lagging list: ${cluster.cloud.rentalRequests}",
        )
        cluster.cloud.bootsFail = false
        cluster.run(240.0)
        verdict("j-000001")
    }

    @Test
    fun `a leader cut from the state service gives way, and its workers keep their tasks`() {
        cluster.clock.after(5.0) { cluster.submit(cluster.job(1, 3, runSeconds = 40.0)) }
        cluster.clock.after(30.0) { cluster.leader()?.let { cluster.cut(it, "state", 60.0) } }
        cluster.run(150.0)
        verdict("j-000001")
        assertEquals(3, cluster.invariants.starts)
    }

    /** Guards the zone kept with a claim: a new leader has heard of no machine when it places the rest of the job. */
    @Test
    fun `a spread job stays spread when its leader dies half way`() {
        repeat(6) { i -> cluster.clock.after(5.0 + i) { cluster.submit(cluster.job(i, 10, cpus = 2.0, spread = true, runSeconds = 20.0)) } }
        repeat(6) { i -> cluster.clock.after(20.0 + 7 * i) { cluster.leader()?.let { cluster.crash(it, 2.0) } } }
        cluster.run(300.0)
        verdict("j-000000", "j-000005")
    }

    @Test
    fun `a withdrawal races the start and the end of its job`() {
        repeat(40) { i -> cluster.clock.after(20.0 + i) { cluster.submit(cluster.job(i, 2, runSeconds = 2.0), abortAfter = i * 0.15) } }
        cluster.run(150.0)
        verdict(*Array(40) { "j-%06d".format(it) })
    }

    @Test
    fun `every controller dies at once, and accepted jobs run on`() {
        repeat(5) { i -> cluster.clock.after(5.0 + i) { cluster.submit(cluster.job(i, 4, runSeconds = 30.0)) } }
        cluster.clock.after(30.0) { cluster.members.forEach { cluster.crash(it, 6.0) } }
        cluster.run(200.0)
        verdict("j-000000", "j-000004")
        assertEquals(20, cluster.invariants.starts)
    }

    @Test
    fun `tasks outlive an outage of the state service`() {
        cluster.clock.after(5.0) { cluster.submit(cluster.job(1, 3, runSeconds = 45.0)) }
        cluster.clock.after(28.0) { cluster.state.outage(20.0) }
        cluster.run(150.0)
        verdict("j-000001")
        assertEquals(3, cluster.invariants.starts)
    }

    /** Guards the relay: without it the workers' leases lapse on the way between a leader out of reach and the others. */
    @Test
    fun `workers that cannot reach the leader are relayed to it`() {
        cluster.clock.after(5.0) { cluster.submit(cluster.job(1, 3, runSeconds = 60.0)) }
        cluster.clock.after(30.0) {
            val leader = cluster.leader() ?: return@after
            cluster.cloud.machineIds().forEach { cluster.cut(it, leader, 50.0) }
        }
        cluster.run(200.0)
        verdict("j-000001")
        assertEquals(3, cluster.invariants.starts)
    }

    /** Guards the leader's word that it hears nobody in a zone: each worker would go to it and back before it is relayed. */
    @Test
    fun `a zone apart is relayed as soon as its leader misses it, and goes straight again afterwards`() {
        val many = SimulatedCluster(8, types = mapOf("small" to MachineTypeSpec(4.0, 16.0, 20)), guaranteedCpus = 0.0)
        var passed = 0
        many.clock.after(40.0) {
            val leader = many.leader() ?: return@after
            val apart = many.cloud.machineIds().filter { many.cloud.worker(it)?.zone == "b" }
            apart.forEach { many.cut(it, leader, 30.0) }
            many.onForwardedRequest =
                { path -> if (path == "/agent/beat" && passed++ == 0) many.log += "%8.3f first relayed".format(many.clock.now) }
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
        cluster.clock.after(5.0) { cluster.submit(cluster.job(1, 8, runSeconds = 60.0)) }
        cluster.clock.after(40.0) {
            cluster.cloud
                .machineIds()
                .take(2)
                .forEach { cluster.cloud.worker(it)?.kill() }
        }
        cluster.run(150.0)
        verdict("j-000001")
        val returned =
            cluster.log
                .first { "machine silent and unreachable, returning it" in it }
                .take(8)
                .trim()
                .toDouble()
        assertTrue(returned < 40.0 + cluster.leaseSeconds / 2, "returned at $returned")
    }

    /** Guards the machines that only a dead leader's claims name: no report and no list will ever speak of them again. */
    @Test
    fun `machines that end together with the leader are known to be gone`() {
        cluster.clock.after(5.0) { cluster.submit(cluster.job(1, 8, runSeconds = 60.0)) }
        // The old leader never hears of it: the cloud is out of its reach until it dies.
        cluster.clock.after(40.0) {
            cluster.leader()?.let { cluster.cut(it, "cloud", 60.0) }
            cluster.cloud
                .machineIds()
                .take(3)
                .forEach { cluster.cloud.reclaim(it) }
        }
        cluster.clock.after(48.0) { cluster.leader()?.let { cluster.crash(it, 5.0) } }
        cluster.run(200.0)
        verdict("j-000001")
        val gone =
            cluster.log
                .first { "machine gone" in it && "reason=not_listed" in it }
                .take(8)
                .trim()
                .toDouble()
        assertTrue(gone < 48.0 + cluster.leaseSeconds, "gone at $gone")
    }

    /** Guards the record of who has led: waiting for a member that never led cost the old leader's whole bound and a lease. */
    @Test
    fun `a new leader waits only for those who led before`() {
        cluster.clock.after(5.0) { cluster.submit(cluster.job(1, 8, runSeconds = 60.0, zone = "b")) }
        cluster.clock.after(35.0) {
            val never = cluster.members.first { it != cluster.leader() }
            (cluster.members + "state").forEach { if (it != never) cluster.cut(never, it, 100.0) }
            val apart = cluster.cloud.machineIds().filter { cluster.cloud.worker(it)?.zone == "b" }
            apart.forEach { machine -> cluster.members.forEach { cluster.cut(machine, it, 100.0) } }
        }
        cluster.clock.after(40.0) { cluster.leader()?.let { cluster.crash(it, 3.0) } }
        cluster.run(250.0)
        verdict("j-000001")
        val leaseExpired =
            cluster.log
                .filter { "task lost" in it && "reason=lease_expired" in it }
                .map { it.take(8).trim().toDouble() }
        assertTrue(leaseExpired.isNotEmpty() && leaseExpired.all { it < 45.0 + cluster.leaseSeconds * 1.1 }, "lapsed at $leaseExpired")
    }

    /** Guards rentals by the hundred: one call of fifty a second kept hundreds of lost machines' tasks waiting for the last. */
    @Test
    fun `what is needed by the hundred is rented within a plan or two`() {
        val many = SimulatedCluster(9, types = mapOf("small" to MachineTypeSpec(4.0, 16.0, 150)))
        many.clock.after(20.0) { many.submit(many.job(1, 250, cpus = 4.0, runSeconds = 20.0)) }
        many.run(23.0)
        assertTrue(many.cloud.machineIds().size >= 250, "${many.cloud.machineIds().size} machines after three seconds")
    }

    /** Guards the headroom of a lane: it was paid for long after the lane's last job. */
    @Test
    fun `room is kept while jobs of a lane come, and given back when none do`() {
        repeat(20) { i -> cluster.clock.after(5.0 + 3 * i) { cluster.submit(cluster.job(i, 3, runSeconds = 4.0)) } }
        cluster.run(62.0)
        assertTrue(cluster.cloud.machineIds().isNotEmpty())
        cluster.run(230.0)
        verdict("j-000000", "j-000019")
        assertEquals(emptyList<String>(), cluster.cloud.machineIds())
    }

    /** Guards the comparison of runs: without it the job waits for the slow machines' tasks. */
    @Test
    fun `slow machines are found out by others on the same work, and left`() {
        cluster.clock.after(5.0) { cluster.submit(cluster.job(1, 2, runSeconds = 2.0)) }
        cluster.clock.after(30.0) {
            cluster.cloud
                .machineIds()
                .take(1)
                .forEach { cluster.cloud.worker(it)?.slowness = 20.0 }
        }
        cluster.clock.after(40.0) { cluster.submit(cluster.job(2, 24, runSeconds = 20.0)) }
        cluster.run(150.0)
        verdict("j-000002")
        assertTrue(cluster.log.any { "straggler machine evicted" in it })
    }

    @Test
    fun `rounds and progress leave no rows behind`() {
        repeat(8) { i -> cluster.clock.after(5.0 + i) { cluster.submit(cluster.job(i, 5)) } }
        cluster.run(150.0)
        assertEquals(
            emptyList<String>(),
            cluster.state.keys("round/") + cluster.state.keys("prog/") + cluster.state.keys("live/") + cluster.state.keys("rental/"),
        )
        assertEquals(8, cluster.state.keys("over/").size)
    }
}
