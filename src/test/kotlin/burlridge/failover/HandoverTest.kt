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
    /** The longest time without a leader from [from] on, in seconds. */
    private fun SimulatedCluster.watchGaps(from: Double): () -> Double {
        var longest = 0.0
        var since = from

        fun sample() {
            if (leader() != null) {
                longest = maxOf(longest, clock.now - since)
                since = clock.now
            }
            clock.after(0.02) { sample() }
        }
        clock.after(from) { sample() }
        return { longest }
    }

    @Test
    fun `a drained leader hands over within a fraction of a second and nothing is lost`() {
        val cluster = failoverCluster(1)
        val jobs = cluster.submitJobs()
        val gap = cluster.watchGaps(10.0)
        var drained: String? = null
        cluster.clock.after(20.0) {
            drained = cluster.leader()
            cluster.leader()?.let(cluster::drain)
        }
        cluster.run(120.0)
        cluster.assertCorrect(jobs)
        assertNotEquals(drained, cluster.leader())
        assertTrue(gap() < 0.5, "without a leader for ${gap()} s\n${cluster.tail()}")
        assertEquals(1, cluster.logged("handed over by"))
        assertEquals(0, cluster.logged("task lost"), "a task was lost")
    }

    @Test
    fun `six handovers one after the other, each old leader stopped and back`() {
        val cluster = failoverCluster(3)
        val jobs = cluster.submitJobs(30)
        val leaders = ArrayList<String>()
        cluster.onLeader = { leaders += it }
        for (turn in 0 until 6) {
            cluster.clock.after(15.0 + turn * 12.0) {
                val leader = cluster.leader() ?: return@after
                cluster.drain(leader)
                // Stopped and started anew once it is out, as in a rolling restart.
                cluster.clock.after(4.0) { if (cluster.leader() != leader) cluster.crash(leader, 1.0) }
            }
        }
        cluster.run(180.0)
        cluster.assertCorrect(jobs)
        assertEquals(7, leaders.size, leaders.toString())
        assertEquals(leaders.size - 1, leaders.zipWithNext().count { (one, next) -> one != next }, leaders.toString())
        assertEquals(0, cluster.logged("task lost"), "a task was lost")
    }

    @Test
    fun `a drain with nobody to take over is refused, and asked for twice it is one drain`() {
        val cluster = failoverCluster(4)
        cluster.clock.after(10.0) { cluster.members.filter { it != cluster.leader() }.forEach { cluster.crash(it, 1000.0) } }
        cluster.clock.after(20.0) { cluster.drain(cluster.leader()!!) }
        cluster.run(30.0)
        assertEquals(1, cluster.logged("drain refused reason=\"no other member is alive to take over\""))
        assertTrue(cluster.leader() != null)
        val other = failoverCluster(5)
        other.clock.after(10.0) { repeat(3) { other.drain(other.leader() ?: "drover-0") } }
        other.run(30.0)
        assertEquals(1, other.handoversStarted("it is draining"))
    }

    /** Guards the check where effects leave: without it what was decided before the pause goes out after a minute. */
    @Test
    fun `a leader that pauses for a minute between decision and departure sends nothing of it when it wakes`() {
        for (seed in 1..6) {
            val cluster = failoverCluster(seed)
            val jobs =
                (0 until 60).map { i ->
                    cluster.job(i, 4, runSeconds = 8.0).also { job -> cluster.clock.after(5.0 + i * 0.4) { cluster.submit(job) } }
                }
            cluster.clock.after(20.0 + seed * 0.13) { cluster.leader()?.let { cluster.pauseMidStep(it, 60.0) } }
            cluster.run(180.0)
            cluster.assertCorrect(jobs)
            assertEquals(1, cluster.caughtMidStep, "seed $seed")
            assertEquals(emptyList<String>(), cluster.lateDepartures, "seed $seed")
        }
    }

    /** Guards the age of the successor's lease: named in the rows and asleep for longer than that, it must not begin to lead. */
    @Test
    fun `a successor that sleeps through its lease follows whoever was elected`() {
        for (seed in 1..5) {
            val cluster = failoverCluster(20 + seed)
            val jobs = cluster.submitJobs(30)
            var asleep: String? = null
            cluster.onCall = { _, call ->
                val named = Json.parseOrNull(call.body)?.path("then")?.firstOrNull { it.path("set").asText() == "leader" }
                if (cluster.clock.now > 19.9 && asleep == null && named != null) {
                    // The transfer is on its way; whom it names stands still before it can hear of it.
                    asleep =
                        named
                            .path("value")
                            .path("member")
                            .asText()
                            .also { cluster.freeze(it, 3.0 + seed) }
                }
                SimulatedCluster.CallFate.FINE
            }
            cluster.clock.after(20.0) { cluster.leader()?.let(cluster::drain) }
            cluster.run(160.0)
            assertNotEquals(null, asleep)
            cluster.assertCorrect(jobs)
            assertTrue(cluster.log.any { "leader elected" in it && "term=3 " in it }, cluster.tail())
        }
    }

    @Test
    fun `a slow leader hands over by itself, a steady one does not`() {
        val cluster = failoverCluster(8, OperatorSettings(failover = FailoverSettings(slowStalls = 3)))
        val jobs = cluster.submitJobs()
        var slow: String? = null
        cluster.clock.after(15.0) {
            slow = cluster.leader()
            repeat(4) { i -> cluster.clock.after(i * 1.2) { slow?.let { if (cluster.leader() == it) cluster.freeze(it, 0.9) } } }
        }
        cluster.run(120.0)
        cluster.assertCorrect(jobs)
        assertTrue(cluster.handoversStarted("it stood still") >= 1, cluster.tail())
        assertNotEquals(slow, cluster.leader())
    }

    /** Old and new together: the leader's row is the same, so a member without failover follows a handover. */
    @Test
    fun `members without failover follow one that hands over`() {
        val cluster = SimulatedCluster(9, operatorOf = { if (it == "drover-2") OperatorSettings() else withFailover })
        val jobs = cluster.submitJobs()
        cluster.clock.after(20.0) { cluster.leader()?.let(cluster::drain) }
        cluster.run(140.0)
        cluster.assertCorrect(jobs)
    }

    @Test
    fun `switched off it counts nothing, sends nothing and keeps nothing`() {
        val cluster = SimulatedCluster(10)
        val jobs = cluster.submitJobs(5)
        cluster.clock.after(10.0) { cluster.leader()?.let(cluster::drain) }
        cluster.run(60.0)
        cluster.assertCorrect(jobs)
        assertEquals(
            emptySet<String>(),
            cluster.members
                .flatMap { cluster.work(it).keys }
                .filter { it.startsWith("failover") }
                .toSet(),
        )
        assertEquals(0, cluster.logged("draining"))
    }
}
