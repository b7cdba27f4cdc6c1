package burlridge.simulation

import burlridge.simulation.SimulatedCluster.CallFault
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** Tests one failure at a time, each at the worst moment for it. */
internal class FailureTest {
    private val cluster = SimulatedCluster(7)

    /**
     * Applies [fault] to the first call that [matches]; all others succeed. Returns a function that returns the number of calls affected, 0
     * or 1.
     */
    private fun applyOnce(
        fault: CallFault,
        matches: (String, String) -> Boolean,
    ): () -> Int {
        var affectedCalls = 0
        cluster.onCall = { _, call ->
            if (affectedCalls == 0 && matches(call.path, call.body.orEmpty())) {
                affectedCalls++
                fault
            } else {
                CallFault.NONE
            }
        }
        return { affectedCalls }
    }

    private fun assertFinishedWithoutViolations(vararg jobIds: String) {
        assertEquals(emptyList<String>(), cluster.invariants.violations)
        assertEquals(emptyList<String>(), jobIds.filterNot { cluster.invariants.finished(it) }, "not finished")
    }

    private fun runThreeTasks(until: Double = 120.0) {
        cluster.clock.after(5.0) { cluster.submit(cluster.job(1, 3)) }
        cluster.run(until)
        assertFinishedWithoutViolations("j-000001")
    }

    @Test
    fun `no task starts twice when a start command is executed but its response is lost`() {
        val affectedCalls = applyOnce(CallFault.RESPONSE_LOST) { path, body -> path == "/do" && "run" in body }
        runThreeTasks()
        assertEquals(1, affectedCalls())
        assertEquals(3, cluster.invariants.starts)
    }

    @Test
    fun `a start command that arrives late is not executed`() {
        val affectedCalls = applyOnce(CallFault.DELAYED) { path, body -> path == "/do" && "run" in body }
        runThreeTasks()
        assertEquals(1, affectedCalls())
        assertEquals(3, cluster.invariants.starts)
    }

    @Test
    fun `an allocation batch whose response is lost is recognized as the leader's own`() {
        val affectedCalls = applyOnce(CallFault.RESPONSE_LOST) { path, body -> path == "/multi" && "round/" in body }
        runThreeTasks()
        assertEquals(1, affectedCalls())
        assertEquals(3, cluster.invariants.starts)
    }

    @Test
    fun `an allocation batch that is applied late changes nothing`() {
        val affectedCalls = applyOnce(CallFault.DELAYED) { path, body -> path == "/multi" && "round/" in body }
        runThreeTasks()
        assertEquals(1, affectedCalls())
        assertEquals(3, cluster.invariants.starts)
    }

    @Test
    fun `machines of a rental that is executed late are used or returned`() {
        val affectedCalls = applyOnce(CallFault.DELAYED) { path, _ -> path == "/rentals" }
        runThreeTasks(240.0)
        assertEquals(1, affectedCalls())
    }

    @Test
    fun `a leader whose machines do not boot does not rent again before they are overdue`() {
        cluster.cloud.bootsFail = true
        cluster.clock.after(5.0) { cluster.submit(cluster.job(1, 3)) }
        cluster.run(25.0)
        assertTrue(
            cluster.cloud.rentalRequests.size <= 2,
            "rented again before a failed boot could be distinguished from a lagging list: ${cluster.cloud.rentalRequests}",
        )
        cluster.cloud.bootsFail = false
        cluster.run(240.0)
        assertFinishedWithoutViolations("j-000001")
    }

    @Test
    fun `workers keep their tasks when a leader that is partitioned from the state service steps down`() {
        cluster.clock.after(5.0) { cluster.submit(cluster.job(1, 3, runSeconds = 40.0)) }
        cluster.clock.after(30.0) { cluster.leader()?.let { cluster.partition(it, "state", 60.0) } }
        cluster.run(150.0)
        assertFinishedWithoutViolations("j-000001")
        assertEquals(3, cluster.invariants.starts)
    }

    /**
     * Guards the zone stored with an allocation: a new leader has received no heartbeat of any machine yet when it places the rest of the
     * job.
     */
    @Test
    fun `a spread job stays spread when its leader crashes after it has placed some of the tasks`() {
        repeat(6) { i -> cluster.clock.after(5.0 + i) { cluster.submit(cluster.job(i, 10, cpus = 2.0, spread = true, runSeconds = 20.0)) } }
        repeat(6) { i -> cluster.clock.after(20.0 + 7 * i) { cluster.leader()?.let { cluster.crash(it, 2.0) } } }
        cluster.run(300.0)
        assertFinishedWithoutViolations("j-000000", "j-000005")
    }

    @Test
    fun `jobs that are cancelled at any moment from submission to completion reach a final state`() {
        repeat(40) { i -> cluster.clock.after(20.0 + i) { cluster.submit(cluster.job(i, 2, runSeconds = 2.0), abortAfter = i * 0.15) } }
        cluster.run(150.0)
        assertFinishedWithoutViolations(*Array(40) { "j-%06d".format(it) })
    }

    @Test
    fun `accepted jobs keep running when all controllers crash at once`() {
        repeat(5) { i -> cluster.clock.after(5.0 + i) { cluster.submit(cluster.job(i, 4, runSeconds = 30.0)) } }
        cluster.clock.after(30.0) { cluster.members.forEach { cluster.crash(it, 6.0) } }
        cluster.run(200.0)
        assertFinishedWithoutViolations("j-000000", "j-000004")
        assertEquals(20, cluster.invariants.starts)
    }

    @Test
    fun `tasks keep running during an outage of the state service`() {
        cluster.clock.after(5.0) { cluster.submit(cluster.job(1, 3, runSeconds = 45.0)) }
        cluster.clock.after(28.0) { cluster.state.outage(20.0) }
        cluster.run(150.0)
        assertFinishedWithoutViolations("j-000001")
        assertEquals(3, cluster.invariants.starts)
    }

    /**
     * Guards the relay: without it the leases of workers that cannot reach the leader expire while they alternate between it and the other
     * members.
     */
    @Test
    fun `heartbeats of workers that cannot reach the leader are relayed to it`() {
        cluster.clock.after(5.0) { cluster.submit(cluster.job(1, 3, runSeconds = 60.0)) }
        cluster.clock.after(30.0) {
            val leader = cluster.leader() ?: return@after
            cluster.cloud.machineIds().forEach { cluster.partition(it, leader, 50.0) }
        }
        cluster.run(200.0)
        assertFinishedWithoutViolations("j-000001")
        assertEquals(3, cluster.invariants.starts)
    }

    /**
     * Guards the leader's report that it receives no heartbeats from a zone: without it each worker would be redirected to the leader and
     * come back before it is relayed.
     */
    @Test
    fun `workers of a partitioned zone are relayed once the leader misses them, and reach it directly afterwards`() {
        val largeCluster = SimulatedCluster(8, types = mapOf("small" to MachineTypeSpec(4.0, 16.0, 20)), guaranteedCpus = 0.0)
        var relayed = 0
        largeCluster.clock.after(40.0) {
            val leader = largeCluster.leader() ?: return@after
            val partitionedMachines = largeCluster.cloud.machineIds().filter { largeCluster.cloud.worker(it)?.zone == "b" }
            partitionedMachines.forEach { largeCluster.partition(it, leader, 30.0) }
            largeCluster.onForwardedRequest = { path ->
                if (path == "/agent/beat" && relayed++ == 0) largeCluster.log += "%8.3f first relayed".format(largeCluster.clock.now)
            }
        }
        largeCluster.run(100.0)
        val firstRelayedAt =
            largeCluster.log
                .first { "first relayed" in it }
                .take(8)
                .trim()
                .toDouble()
        // An unanswered heartbeat times out after four seconds, and the next one is sent one second later.
        assertTrue(firstRelayedAt < 40.0 + 5.0 + largeCluster.reportSeconds, "first relayed at $firstRelayedAt")
        val relayedByThen = relayed
        largeCluster.run(120.0)
        assertTrue(relayedByThen > 0 && relayed - relayedByThen < 20, "still relayed: ${relayed - relayedByThen}")
    }

    /**
     * Guards the query to a machine whose heartbeat is overdue: by waiting for its lease alone, its tasks stood still three times as long.
     */
    @Test
    fun `a dead machine is queried and returned, and its tasks run elsewhere`() {
        cluster.clock.after(5.0) { cluster.submit(cluster.job(1, 8, runSeconds = 60.0)) }
        cluster.clock.after(40.0) {
            cluster.cloud
                .machineIds()
                .take(2)
                .forEach { cluster.cloud.worker(it)?.kill() }
        }
        cluster.run(150.0)
        assertFinishedWithoutViolations("j-000001")
        val returnedAt =
            cluster.log
                .first { "machine silent and unreachable, returning it" in it }
                .take(8)
                .trim()
                .toDouble()
        assertTrue(returnedAt < 40.0 + cluster.leaseSeconds / 2, "returned at $returnedAt")
    }

    /**
     * Guards the removal of machines that are known only from the allocations of a crashed leader: no heartbeat and no list will ever
     * contain them again.
     */
    @Test
    fun `machines that end together with the leader are removed by the next leader`() {
        cluster.clock.after(5.0) { cluster.submit(cluster.job(1, 8, runSeconds = 60.0)) }
        // The old leader does not learn of it: it cannot reach the cloud until it crashes.
        cluster.clock.after(40.0) {
            cluster.leader()?.let { cluster.partition(it, "cloud", 60.0) }
            cluster.cloud
                .machineIds()
                .take(3)
                .forEach { cluster.cloud.reclaim(it) }
        }
        cluster.clock.after(48.0) { cluster.leader()?.let { cluster.crash(it, 5.0) } }
        cluster.run(200.0)
        assertFinishedWithoutViolations("j-000001")
        val removedAt =
            cluster.log
                .first { "machine gone" in it && "reason=not_listed" in it }
                .take(8)
                .trim()
                .toDouble()
        assertTrue(removedAt < 48.0 + cluster.leaseSeconds, "removed at $removedAt")
    }

    /**
     * Guards the record of former leaders: waiting for a member that never led took the whole answer window of an old leader and a lease.
     */
    @Test
    fun `a new leader waits only for members that led before`() {
        cluster.clock.after(5.0) { cluster.submit(cluster.job(1, 8, runSeconds = 60.0, zone = "b")) }
        cluster.clock.after(35.0) {
            val neverLeader = cluster.members.first { it != cluster.leader() }
            (cluster.members + "state").forEach { if (it != neverLeader) cluster.partition(neverLeader, it, 100.0) }
            val partitionedMachines = cluster.cloud.machineIds().filter { cluster.cloud.worker(it)?.zone == "b" }
            partitionedMachines.forEach { machine -> cluster.members.forEach { cluster.partition(machine, it, 100.0) } }
        }
        cluster.clock.after(40.0) { cluster.leader()?.let { cluster.crash(it, 3.0) } }
        cluster.run(250.0)
        assertFinishedWithoutViolations("j-000001")
        val leaseExpired =
            cluster.log
                .filter { "task lost" in it && "reason=lease_expired" in it }
                .map { it.take(8).trim().toDouble() }
        assertTrue(leaseExpired.isNotEmpty() && leaseExpired.all { it < 45.0 + cluster.leaseSeconds * 1.1 }, "expired at $leaseExpired")
    }

    /**
     * Guards concurrent rental calls: with one call of fifty machines a second, the tasks of hundreds of lost machines waited for the last
     * call.
     */
    @Test
    fun `hundreds of machines are rented within three seconds`() {
        val largeCluster = SimulatedCluster(9, types = mapOf("small" to MachineTypeSpec(4.0, 16.0, 150)))
        largeCluster.clock.after(20.0) { largeCluster.submit(largeCluster.job(1, 250, cpus = 4.0, runSeconds = 20.0)) }
        largeCluster.run(23.0)
        assertTrue(largeCluster.cloud.machineIds().size >= 250, "${largeCluster.cloud.machineIds().size} machines after three seconds")
    }

    /** Guards the headroom of a job class: it was paid for long after the last job of the class. */
    @Test
    fun `headroom is kept while jobs of a class arrive, and returned when they stop`() {
        repeat(20) { i -> cluster.clock.after(5.0 + 3 * i) { cluster.submit(cluster.job(i, 3, runSeconds = 4.0)) } }
        cluster.run(62.0)
        assertTrue(cluster.cloud.machineIds().isNotEmpty())
        cluster.run(230.0)
        assertFinishedWithoutViolations("j-000000", "j-000019")
        assertEquals(emptyList<String>(), cluster.cloud.machineIds())
    }

    /** Guards the comparison of run times: without it the job waits for the tasks on slow machines. */
    @Test
    fun `a machine that is slower than others with tasks of the same job is detected and evicted`() {
        cluster.clock.after(5.0) { cluster.submit(cluster.job(1, 2, runSeconds = 2.0)) }
        cluster.clock.after(30.0) {
            cluster.cloud
                .machineIds()
                .take(1)
                .forEach { cluster.cloud.worker(it)?.slowness = 20.0 }
        }
        cluster.clock.after(40.0) { cluster.submit(cluster.job(2, 24, runSeconds = 20.0)) }
        cluster.run(150.0)
        assertFinishedWithoutViolations("j-000002")
        assertTrue(cluster.log.any { "straggler machine evicted" in it })
    }

    @Test
    fun `finished jobs leave no allocation, progress, job or rental rows behind`() {
        repeat(8) { i -> cluster.clock.after(5.0 + i) { cluster.submit(cluster.job(i, 5)) } }
        cluster.run(150.0)
        assertEquals(
            emptyList<String>(),
            cluster.state.keys("round/") + cluster.state.keys("prog/") + cluster.state.keys("live/") + cluster.state.keys("rental/"),
        )
        assertEquals(8, cluster.state.keys("over/").size)
    }
}
