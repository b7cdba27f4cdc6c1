package burlridge.simulation

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/**
 * The state service refuses the leader alone, another member is elected and confirms cancellations, and then it is down for all, for
 * longer than a cancellation has, while workers go on reporting to the old leader.
 */
internal class RefusalThenOutageTest {
    private class Outcome(
        val broken: List<String>,
        val confirmedByNext: Int,
        val log: List<String>,
    )

    /** [distanceSeconds] lie between the refusal and the outage. The old leader and the next one do not hear each other. */
    private fun gap(
        seed: Int,
        times: WorkerTimes,
        distanceSeconds: Double,
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
            cluster.refuseStateRequests(leader, distanceSeconds + 14.0)
            // Only what a third member says tells the old leader of the next one.
            cluster.onLeaderChange = { next -> if (next != leader) cluster.cut(leader, next, 200.0) }
            cluster.onCancellationConfirmed = { if (cluster.leader() != leader && cluster.leader() != null) confirmed++ }
        }
        repeat(60) { i ->
            val job = jobs[i % jobs.size]
            cluster.clock.after(start + i * 0.12) {
                val member = cluster.members.first { it != old }
                cluster.abort(job, member)
            }
        }
        cluster.clock.after(start + distanceSeconds) { cluster.state.outage(times.cancelSeconds + 12.0) }
        cluster.run(start + distanceSeconds + times.cancelSeconds * 2 + 40.0)
        return Outcome(cluster.invariants.violations, confirmed, cluster.log)
    }

    private fun sweep(times: WorkerTimes) {
        var confirmed = 0
        var distance = 0.5
        while (distance <= 6.0) {
            val outcome = gap((distance * 100).toInt(), times, distance)
            assertEquals(emptyList<String>(), outcome.broken, "$distance s apart\n${outcome.log.takeLast(40).joinToString("\n")}")
            confirmed += outcome.confirmedByNext
            distance += 0.25
        }
        assertTrue(confirmed > 0, "no cancellation was confirmed by the next leader")
    }

    /** Guards the bound on a leader's answers after its last good renewal: with it and a lease a task is gone in time. */
    @Test
    fun `what was cancelled through the next leader is gone in time, with a lease of 24 s`() = sweep(WorkerTimes(3.0, 24.0, 54.0))

    @Test
    fun `what was cancelled through the next leader is gone in time, with a lease of 36 s`() = sweep(WorkerTimes(6.0, 36.0, 66.0))

    /**
     * Guards the bound by itself: the old leader hears a member that knows no better, and the next one reaches neither of them nor
     * any machine, so that nothing but the old leader's own clock ends what it keeps alive.
     */
    private fun keptAlone(times: WorkerTimes) {
        val cluster = SimulatedCluster(9, times = times)
        val jobs = (0 until 6).map { cluster.job(it, 2, runSeconds = 300.0) }
        jobs.forEach { cluster.clock.after(5.0) { cluster.submit(it) } }
        var confirmed = 0
        cluster.clock.after(60.0) {
            val old = cluster.leader() ?: return@after
            val (next, third) = cluster.members.filter { it != old }
            listOf(old, third).forEach {
                cluster.refuseStateRequests(it, 200.0)
                cluster.cut(it, next, 200.0)
            }
            cluster.cloud.machineIds().forEach { cluster.cut(it, next, 200.0) }
            cluster.onCancellationConfirmed = { confirmed++ }
            cluster.clock.after(times.reportSeconds + 1.0) { jobs.forEach { cluster.abort(it, next) } }
            cluster.clock.after(times.reportSeconds + 3.0) { cluster.state.outage(times.cancelSeconds + 20.0) }
        }
        cluster.run(60.0 + times.cancelSeconds * 2 + 30.0)
        assertEquals(jobs.size, confirmed, "not confirmed by the next leader")
        assertEquals(emptyList<String>(), cluster.invariants.violations, cluster.log.takeLast(30).joinToString("\n"))
    }

    @Test
    fun `what an old leader keeps alive by itself is gone in time, with a lease of 24 s`() = keptAlone(WorkerTimes(3.0, 24.0, 54.0))

    @Test
    fun `what an old leader keeps alive by itself is gone in time, with a lease of 36 s`() = keptAlone(WorkerTimes(6.0, 36.0, 66.0))

    /**
     * Guards the silence of a leader that has not read the rows: its answers, without a halt, kept alive what the leader before it had
     * cancelled, for as long as the state service renewed its lease and showed no rows.
     */
    @Test
    fun `a leader that cannot read the rows keeps no cancelled task alive`() {
        val cluster = SimulatedCluster(5)
        val jobs = (0 until 6).map { cluster.job(it, 2, runSeconds = 250.0) }
        jobs.forEach { cluster.clock.after(5.0) { cluster.submit(it) } }
        cluster.clock.after(60.0) {
            cluster.cloud.machineIds().forEach { machine -> cluster.members.forEach { cluster.cut(machine, it, 16.0) } }
            jobs.forEach { cluster.abort(it) }
        }
        cluster.clock.after(70.0) {
            cluster.leader()?.let { cluster.crash(it, 2.0) }
            cluster.onCall = { _, call ->
                val unread = call.path.startsWith("/store?") && cluster.clock.now < 140.0
                if (unread) SimulatedCluster.CallFault.ANSWER_LOST else SimulatedCluster.CallFault.NONE
            }
        }
        cluster.run(200.0)
        assertEquals(emptyList<String>(), cluster.invariants.violations)
        assertTrue(jobs.all { cluster.invariants.finished(it.id) }, "nothing was cancelled")
    }

    /** Guards the stops that an answering leader still sends: a machine that reaches nobody hears of a cancellation only so. */
    @Test
    fun `a cancelled task on a mute machine is stopped by command though the state service is down`() {
        val cluster = SimulatedCluster(6)
        val job = cluster.job(1, 4, runSeconds = 250.0)
        cluster.clock.after(5.0) { cluster.submit(job) }
        cluster.clock.after(60.0) {
            cluster.cloud.machineIds().forEach {
                cluster.blockTrafficFrom(it, 40.0)
                // So that the first stops are lost, and the leader holds its row no more when they can be repeated.
                cluster.blockTrafficTo(it, 6.0)
            }
            cluster.abort(job)
            cluster.clock.after(0.006) { cluster.state.outage(30.0) }
        }
        cluster.run(72.0)
        assertTrue(cluster.invariants.finished(job.id), "not cancelled")
        val left =
            cluster.cloud.machineIds().filter { name ->
                (0 until 4).any {
                    cluster.cloud.worker(name)?.hasTask("${job.id}/$it") ==
                        true
                }
            }
        assertEquals(emptyList<String>(), left)
    }

    /** Leaves [old] and [third] without the state service and out of [next]'s hearing, which is elected. */
    private fun SimulatedCluster.leaveBehind(
        old: String,
        third: String,
        next: String,
    ) {
        listOf(old, third).forEach {
            refuseStateRequests(it, 200.0)
            cut(it, next, 200.0)
        }
    }

    /**
     * Guards the wait for the answers of earlier leaders: machines that only the old leader hears are kept alive by it beyond a lease
     * after the election, and what runs on them is not gone yet.
     */
    @Test
    fun `what an old leader may still keep alive is not started elsewhere`() {
        for (seed in 1..3) {
            // All machines are kept, so that there is room elsewhere.
            val cluster = SimulatedCluster(seed, guaranteedCpus = 0.0)
            val jobs = (0 until 4).map { cluster.job(it, 2, runSeconds = 300.0) }
            jobs.forEach { cluster.clock.after(5.0) { cluster.submit(it) } }
            var next: String? = null
            cluster.clock.after(60.0) {
                val old = cluster.leader() ?: return@after
                val (successor, third) = cluster.members.filter { it != old }
                next = successor
                cluster.leaveBehind(old, third, successor)
                val busy =
                    cluster.cloud.machineIds().filter { name ->
                        jobs.any { job -> (0 until 2).any { cluster.cloud.worker(name)!!.hasTask("${job.id}/$it") } }
                    }
                assertTrue(busy.isNotEmpty(), "nothing runs")
                busy.forEach { cluster.cut(it, successor, 200.0) }
                // A return would settle at once what runs there.
                cluster.cloud.down = true
            }
            cluster.run(160.0)
            assertEquals(next, cluster.leader())
            assertEquals(emptyList<String>(), cluster.invariants.violations, "seed $seed\n" + cluster.log.takeLast(30).joinToString("\n"))
        }
    }

    /** Guards the news of a later term from a third member: the old leader hears neither the next one nor the state service. */
    @Test
    fun `a leader that hears of the next one from a third member gives way at once`() {
        val cluster = SimulatedCluster(4)
        val job = cluster.job(1, 4, runSeconds = 200.0)
        cluster.clock.after(5.0) { cluster.submit(job) }
        cluster.clock.after(60.0) {
            val old = cluster.leader() ?: return@after
            val next = cluster.members.first { it != old }
            cluster.refuseStateRequests(old, 200.0)
            cluster.cut(old, next, 200.0)
            // A worker that hears the next one would tell as well.
            cluster.cloud.machineIds().forEach { cluster.cut(it, next, 200.0) }
            // So that it is this one that is elected.
            cluster.refuseStateRequests(cluster.members.first { it != old && it != next }, 5.0)
        }
        cluster.run(78.0)
        assertTrue(cluster.leader() != null)
        val behind = cluster.cloud.machineIds().filter { cluster.cloud.worker(it)!!.term == 1L }
        assertEquals(emptyList<String>(), behind, cluster.log.takeLast(20).joinToString("\n"))
        assertEquals(emptyList<String>(), cluster.invariants.violations)
    }
}
