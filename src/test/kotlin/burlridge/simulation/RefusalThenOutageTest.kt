package burlridge.simulation

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/**
 * Tests the time limit of cancellations when the state service refuses only the leader, so that another member is elected and confirms
 * cancellations, and is then down for all members, for longer than that limit, while workers still send heartbeats to the old leader.
 */
internal class RefusalThenOutageTest {
    private class Outcome(
        val violations: List<String>,
        val confirmedByNextLeader: Int,
        val log: List<String>,
    )

    /** Starts the outage [delaySeconds] after the refusal. The old leader and the next one cannot reach each other. */
    private fun runRefusalThenOutage(
        seed: Int,
        times: WorkerTimes,
        delaySeconds: Double,
    ): Outcome {
        val cluster = SimulatedCluster(seed, times = times)
        val jobs = (0 until 12).map { cluster.job(it, 2, runSeconds = 200.0) }
        jobs.forEach { cluster.clock.after(5.0) { cluster.submit(it) } }
        val start = 60.0
        var old: String? = null
        var confirmed = 0
        cluster.clock.after(start) {
            val leader = cluster.leader() ?: return@after
            old = leader
            cluster.refuseStateRequests(leader, delaySeconds + 14.0)
            // The old leader can learn of the next one only from the third member.
            cluster.onLeaderChange = { next -> if (next != leader) cluster.partition(leader, next, 200.0) }
            cluster.onCancellationConfirmed = { if (cluster.leader() != leader && cluster.leader() != null) confirmed++ }
        }
        repeat(60) { i ->
            val job = jobs[i % jobs.size]
            cluster.clock.after(start + i * 0.12) {
                val member = cluster.members.first { it != old }
                cluster.abort(job, member)
            }
        }
        cluster.clock.after(start + delaySeconds) { cluster.state.outage(times.cancelSeconds + 12.0) }
        cluster.run(start + delaySeconds + times.cancelSeconds * 2 + 40.0)
        return Outcome(cluster.invariants.violations, confirmed, cluster.log)
    }

    private fun assertTasksEndInTimeForAllDelays(times: WorkerTimes) {
        var confirmed = 0
        var delaySeconds = 0.5
        while (delaySeconds <= 6.0) {
            val outcome = runRefusalThenOutage((delaySeconds * 100).toInt(), times, delaySeconds)
            assertEquals(emptyList<String>(), outcome.violations, "$delaySeconds s apart\n${outcome.log.takeLast(40).joinToString("\n")}")
            confirmed += outcome.confirmedByNextLeader
            delaySeconds += 0.25
        }
        assertTrue(confirmed > 0, "no cancellation was confirmed by the next leader")
    }

    /**
     * Guards the limit on how long a leader answers workers after its last successful renewal: together with a lease it ends a cancelled
     * task in time.
     */
    @Test
    fun `tasks cancelled through the next leader end in time with a lease of 24 s`() =
        assertTasksEndInTimeForAllDelays(WorkerTimes(3.0, 24.0, 54.0))

    @Test
    fun `tasks cancelled through the next leader end in time with a lease of 36 s`() =
        assertTasksEndInTimeForAllDelays(WorkerTimes(6.0, 36.0, 66.0))

    /**
     * Guards the same limit by itself: the third member, which the old leader reaches, has not learned of the next leader either, and the
     * next leader reaches neither of them nor any machine, so only the old leader's own time limit ends the tasks that it keeps alive.
     */
    private fun assertOldLeaderStopsAnsweringInTime(times: WorkerTimes) {
        val cluster = SimulatedCluster(9, times = times)
        val jobs = (0 until 6).map { cluster.job(it, 2, runSeconds = 300.0) }
        jobs.forEach { cluster.clock.after(5.0) { cluster.submit(it) } }
        var confirmed = 0
        cluster.clock.after(60.0) {
            val old = cluster.leader() ?: return@after
            val (next, third) = cluster.members.filter { it != old }
            listOf(old, third).forEach {
                cluster.refuseStateRequests(it, 200.0)
                cluster.partition(it, next, 200.0)
            }
            cluster.cloud.machineIds().forEach { cluster.partition(it, next, 200.0) }
            cluster.onCancellationConfirmed = { confirmed++ }
            cluster.clock.after(times.reportSeconds + 1.0) { jobs.forEach { cluster.abort(it, next) } }
            cluster.clock.after(times.reportSeconds + 3.0) { cluster.state.outage(times.cancelSeconds + 20.0) }
        }
        cluster.run(60.0 + times.cancelSeconds * 2 + 30.0)
        assertEquals(jobs.size, confirmed, "not confirmed by the next leader")
        assertEquals(emptyList<String>(), cluster.invariants.violations, cluster.log.takeLast(30).joinToString("\n"))
    }

    @Test
    fun `tasks that only an old leader keeps alive end in time with a lease of 24 s`() =
        assertOldLeaderStopsAnsweringInTime(WorkerTimes(3.0, 24.0, 54.0))

    @Test
    fun `tasks that only an old leader keeps alive end in time with a lease of 36 s`() =
        assertOldLeaderStopsAnsweringInTime(WorkerTimes(6.0, 36.0, 66.0))

    /**
     * Guards the rule that a leader does not answer workers before it has read the rows: its answers, which contained no stop commands,
     * kept alive tasks that the previous leader had cancelled, for as long as the state service renewed its lease but returned no rows.
     */
    @Test
    fun `a leader that cannot read the rows keeps no cancelled task alive`() {
        val cluster = SimulatedCluster(5)
        val jobs = (0 until 6).map { cluster.job(it, 2, runSeconds = 250.0) }
        jobs.forEach { cluster.clock.after(5.0) { cluster.submit(it) } }
        cluster.clock.after(60.0) {
            cluster.cloud.machineIds().forEach { machine -> cluster.members.forEach { cluster.partition(machine, it, 16.0) } }
            jobs.forEach { cluster.abort(it) }
        }
        cluster.clock.after(70.0) {
            cluster.leader()?.let { cluster.crash(it, 2.0) }
            cluster.onCall = { _, call ->
                val isRowListing = call.path.startsWith("/store?") && cluster.clock.now < 140.0
                if (isRowListing) SimulatedCluster.CallFault.RESPONSE_LOST else SimulatedCluster.CallFault.NONE
            }
        }
        cluster.run(200.0)
        assertEquals(emptyList<String>(), cluster.invariants.violations)
        assertTrue(jobs.all { cluster.invariants.finished(it.id) }, "nothing was cancelled")
    }

    /**
     * Guards the stop commands that a leader sends while it may still answer workers: a machine that reaches no member learns of a
     * cancellation only from them.
     */
    @Test
    fun `a cancelled task on a machine that reaches no member is stopped by command during an outage`() {
        val cluster = SimulatedCluster(6)
        val job = cluster.job(1, 4, runSeconds = 250.0)
        cluster.clock.after(5.0) { cluster.submit(job) }
        cluster.clock.after(60.0) {
            cluster.cloud.machineIds().forEach {
                cluster.blockTrafficFrom(it, 40.0)
                // So that the first stops are lost, and the leader no longer certainly holds its lease when they can be repeated.
                cluster.blockTrafficTo(it, 6.0)
            }
            cluster.abort(job)
            cluster.clock.after(0.006) { cluster.state.outage(30.0) }
        }
        cluster.run(72.0)
        assertTrue(cluster.invariants.finished(job.id), "not cancelled")
        val busy =
            cluster.cloud.machineIds().filter { name ->
                (0 until 4).any {
                    cluster.cloud.worker(name)?.hasTask("${job.id}/$it") ==
                        true
                }
            }
        assertEquals(emptyList<String>(), busy)
    }

    /** Partitions [old] and [third] from [next] and lets the state service refuse both, so that [next] is elected. */
    private fun SimulatedCluster.isolateFromNextLeader(
        old: String,
        third: String,
        next: String,
    ) {
        listOf(old, third).forEach {
            refuseStateRequests(it, 200.0)
            partition(it, next, 200.0)
        }
    }

    /**
     * Guards the wait until no former leader can be answering workers: machines that reach only the old leader are kept alive by it for
     * longer than a lease after the election, so their tasks have not ended by then.
     */
    @Test
    fun `tasks that an old leader may still keep alive are not started elsewhere`() {
        for (seed in 1..3) {
            // Without a guaranteed quota all machines are kept, so that there is capacity elsewhere.
            val cluster = SimulatedCluster(seed, guaranteedCpus = 0.0)
            val jobs = (0 until 4).map { cluster.job(it, 2, runSeconds = 300.0) }
            jobs.forEach { cluster.clock.after(5.0) { cluster.submit(it) } }
            var next: String? = null
            cluster.clock.after(60.0) {
                val old = cluster.leader() ?: return@after
                val (successor, third) = cluster.members.filter { it != old }
                next = successor
                cluster.isolateFromNextLeader(old, third, successor)
                val busyMachines =
                    cluster.cloud.machineIds().filter { name ->
                        jobs.any { job -> (0 until 2).any { cluster.cloud.worker(name)!!.hasTask("${job.id}/$it") } }
                    }
                assertTrue(busyMachines.isNotEmpty(), "nothing runs")
                busyMachines.forEach { cluster.partition(it, successor, 200.0) }
                // Returning a machine would prove at once that its tasks have ended.
                cluster.cloud.down = true
            }
            cluster.run(160.0)
            assertEquals(next, cluster.leader())
            assertEquals(emptyList<String>(), cluster.invariants.violations, "seed $seed\n" + cluster.log.takeLast(30).joinToString("\n"))
        }
    }

    /**
     * Guards the third member's status, which announces a later term: the old leader reaches neither the next one nor the state service.
     */
    @Test
    fun `a leader that learns of the next one from a third member steps down at once`() {
        val cluster = SimulatedCluster(4)
        val job = cluster.job(1, 4, runSeconds = 200.0)
        cluster.clock.after(5.0) { cluster.submit(job) }
        cluster.clock.after(60.0) {
            val old = cluster.leader() ?: return@after
            val next = cluster.members.first { it != old }
            cluster.refuseStateRequests(old, 200.0)
            cluster.partition(old, next, 200.0)
            // A worker that reaches the next one would reveal its term as well.
            cluster.cloud.machineIds().forEach { cluster.partition(it, next, 200.0) }
            // Ensures that `next` is elected.
            cluster.refuseStateRequests(cluster.members.first { it != old && it != next }, 5.0)
        }
        cluster.run(78.0)
        assertTrue(cluster.leader() != null)
        val machinesInFirstTerm = cluster.cloud.machineIds().filter { cluster.cloud.worker(it)!!.term == 1L }
        assertEquals(emptyList<String>(), machinesInFirstTerm, cluster.log.takeLast(20).joinToString("\n"))
        assertEquals(emptyList<String>(), cluster.invariants.violations)
    }
}
