package burlridge.failover

import burlridge.json.Json
import burlridge.settings.FailoverSettings
import burlridge.settings.OperatorSettings
import burlridge.simulation.SimulatedCluster
import burlridge.simulation.job
import burlridge.simulation.submit
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNotEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** Planned handovers and drains in the whole service, in virtual time. */
internal class HandoverTest {
    /** Begins to measure at second [from]; the returned function gives the longest time without a leader since then, in seconds. */
    private fun SimulatedCluster.measureLeaderlessTime(from: Double): () -> Double {
        var longest = 0.0
        var lastLeaderAt = from

        fun sample() {
            if (leader() != null) {
                longest = maxOf(longest, clock.now - lastLeaderAt)
                lastLeaderAt = clock.now
            }
            clock.after(0.02) { sample() }
        }
        clock.after(from) { sample() }
        return { longest }
    }

    @Test
    fun `a drained leader hands over within a fraction of a second and no task is lost`() {
        val cluster = failoverCluster(1)
        val jobs = cluster.submitJobs()
        val longestGap = cluster.measureLeaderlessTime(10.0)
        var drained: String? = null
        cluster.clock.after(20.0) {
            drained = cluster.leader()
            cluster.leader()?.let(cluster::drain)
        }
        cluster.run(120.0)
        cluster.assertNoViolations(jobs)
        assertNotEquals(drained, cluster.leader())
        assertTrue(longestGap() < 0.5, "without a leader for ${longestGap()} s\n${cluster.logTail()}")
        assertEquals(1, cluster.logLineCount("handed over by"))
        assertEquals(0, cluster.logLineCount("task lost"), "a task was lost")
    }

    @Test
    fun `six handovers in a row succeed while each former leader is restarted`() {
        val cluster = failoverCluster(3)
        val jobs = cluster.submitJobs(30)
        val leaders = ArrayList<String>()
        cluster.onLeaderChange = { leaders += it }
        for (round in 0 until 6) {
            cluster.clock.after(15.0 + round * 12.0) {
                val leader = cluster.leader() ?: return@after
                cluster.drain(leader)
                // Restart the former leader once it no longer leads, as in a rolling restart.
                cluster.clock.after(4.0) { if (cluster.leader() != leader) cluster.crash(leader, 1.0) }
            }
        }
        cluster.run(180.0)
        cluster.assertNoViolations(jobs)
        assertEquals(7, leaders.size, leaders.toString())
        assertEquals(leaders.size - 1, leaders.zipWithNext().count { (one, next) -> one != next }, leaders.toString())
        assertEquals(0, cluster.logLineCount("task lost"), "a task was lost")
    }

    @Test
    fun `a drain without a possible successor is refused, and repeated requests start one handover`() {
        val cluster = failoverCluster(4)
        cluster.clock.after(10.0) { cluster.members.filter { it != cluster.leader() }.forEach { cluster.crash(it, 1000.0) } }
        cluster.clock.after(20.0) { cluster.drain(cluster.leader()!!) }
        cluster.run(30.0)
        assertEquals(1, cluster.logLineCount("drain refused reason=\"no other member is alive to take over\""))
        assertTrue(cluster.leader() != null)
        val repeatedlyDrained = failoverCluster(5)
        repeatedlyDrained.clock.after(10.0) { repeat(3) { repeatedlyDrained.drain(repeatedlyDrained.leader() ?: "drover-0") } }
        repeatedlyDrained.run(30.0)
        assertEquals(1, repeatedlyDrained.handoversStarted("it is draining"))
    }

    /** Guards the check of deadlines when effects are sent: without it, effects decided before the pause are sent a minute later. */
    @Test
    fun `a leader paused for a minute between deciding on effects and sending them does not send them on resuming`() {
        for (seed in 1..6) {
            val cluster = failoverCluster(seed)
            val jobs =
                (0 until 60).map { i ->
                    cluster.job(i, 4, runSeconds = 8.0).also { job -> cluster.clock.after(5.0 + i * 0.4) { cluster.submit(job) } }
                }
            cluster.clock.after(20.0 + seed * 0.13) { cluster.leader()?.let { cluster.pauseMidStep(it, 60.0) } }
            cluster.run(180.0)
            cluster.assertNoViolations(jobs)
            assertEquals(1, cluster.midStepPauses, "seed $seed")
            assertEquals(emptyList<String>(), cluster.lateSends, "seed $seed")
        }
    }

    /**
     * Guards the check of the age of the successor's lease: a successor that the rows name, but that was paused for longer than its lease,
     * must not begin to lead.
     */
    @Test
    fun `a successor paused for longer than its lease follows the elected leader`() {
        for (seed in 1..5) {
            val cluster = failoverCluster(20 + seed)
            val jobs = cluster.submitJobs(30)
            var frozenSuccessor: String? = null
            cluster.onCall = { _, call ->
                val leaderRowUpdate = Json.parseOrNull(call.body)?.path("then")?.firstOrNull { it.path("set").asText() == "leader" }
                if (cluster.clock.now > 19.9 && frozenSuccessor == null && leaderRowUpdate != null) {
                    // The transfer has been sent; freeze the successor that it names before it can learn of it.
                    frozenSuccessor =
                        leaderRowUpdate
                            .path("value")
                            .path("member")
                            .asText()
                            .also { cluster.freeze(it, 3.0 + seed) }
                }
                SimulatedCluster.CallFault.NONE
            }
            cluster.clock.after(20.0) { cluster.leader()?.let(cluster::drain) }
            cluster.run(160.0)
            assertNotEquals(null, frozenSuccessor)
            cluster.assertNoViolations(jobs)
            assertTrue(cluster.log.any { "leader elected" in it && "term=3 " in it }, cluster.logTail())
        }
    }

    @Test
    fun `a leader that stalls repeatedly hands over by itself`() {
        val cluster = failoverCluster(8, OperatorSettings(failover = FailoverSettings(slowStalls = 3)))
        val jobs = cluster.submitJobs()
        var slowLeader: String? = null
        cluster.clock.after(15.0) {
            slowLeader = cluster.leader()
            repeat(4) { i -> cluster.clock.after(i * 1.2) { slowLeader?.let { if (cluster.leader() == it) cluster.freeze(it, 0.9) } } }
        }
        cluster.run(120.0)
        cluster.assertNoViolations(jobs)
        assertTrue(cluster.handoversStarted("it stood still") >= 1, cluster.logTail())
        assertNotEquals(slowLeader, cluster.leader())
    }

    @Test
    fun `a steady leader does not hand over`() {
        val cluster = failoverCluster(11, OperatorSettings(failover = FailoverSettings(slowStalls = 3)))
        val jobs = cluster.submitJobs()
        cluster.run(20.0)
        val leader = cluster.leader()
        cluster.run(120.0)
        cluster.assertNoViolations(jobs)
        assertEquals(leader, cluster.leader())
        assertEquals(0, cluster.logLineCount("handover started"))
        assertEquals(1, cluster.logLineCount("leader elected"))
    }

    /** Members with and without failover in one cluster: the leader row is the same, so a member without failover follows a handover. */
    @Test
    fun `a member without failover follows a handover`() {
        val cluster = SimulatedCluster(9, operatorOf = { if (it == "drover-2") OperatorSettings() else withFailover })
        val jobs = cluster.submitJobs()
        cluster.clock.after(20.0) { cluster.leader()?.let(cluster::drain) }
        cluster.run(140.0)
        cluster.assertNoViolations(jobs)
    }

    @Test
    fun `failover that is switched off records no counters and drains no member`() {
        val cluster = SimulatedCluster(10)
        val jobs = cluster.submitJobs(5)
        cluster.clock.after(10.0) { cluster.leader()?.let(cluster::drain) }
        cluster.run(60.0)
        cluster.assertNoViolations(jobs)
        assertEquals(
            emptySet<String>(),
            cluster.members
                .flatMap { cluster.counters(it).keys }
                .filter { it.startsWith("failover") }
                .toSet(),
        )
        assertEquals(0, cluster.logLineCount("draining"))
    }
}
