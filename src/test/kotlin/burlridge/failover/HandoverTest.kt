package burlridge.failover

import burlridge.job.JobSpec
import burlridge.json.Json
import burlridge.settings.FailoverSettings
import burlridge.settings.OperatorSettings
import burlridge.simulation.SimulatedCluster
import burlridge.simulation.abort
import burlridge.simulation.job
import burlridge.simulation.look
import burlridge.simulation.submit
import com.fasterxml.jackson.databind.node.ArrayNode
import com.fasterxml.jackson.databind.node.ObjectNode
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNotEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** Planned handovers, woken leaders and standby replicas in the whole service, in virtual time. */
internal class HandoverTest {
    private val on = OperatorSettings(failover = FailoverSettings())

    private fun cluster(
        seed: Int,
        operator: OperatorSettings = on,
        members: List<String> = listOf("drover-0", "drover-1", "drover-2"),
    ) = SimulatedCluster(seed, operator = operator, members = members)

    private fun SimulatedCluster.load(jobs: Int = 20): List<JobSpec> =
        (0 until jobs).map { i -> job(i, 3, runSeconds = 6.0 + i % 5).also { clock.after(5.0 + i * 1.5) { submit(it) } } }

    private fun SimulatedCluster.verdict(jobs: List<JobSpec>) {
        assertEquals(emptyList<String>(), invariants.broken, tail())
        assertEquals(emptyList<String>(), simultaneousLeaders, tail())
        assertEquals(emptyList<String>(), history.breaches(jobs.map { it.id }), tail())
    }

    private fun SimulatedCluster.tail() = log.takeLast(40).joinToString("\n")

    private fun SimulatedCluster.logged(text: String) = log.count { text in it }

    private fun SimulatedCluster.handoversStarted(reason: String) = log.count { "handover started" in it && "reason=\"$reason" in it }

    /** The longest time without a leader from [from] on, in seconds. */
    private fun SimulatedCluster.watchGaps(from: Double): () -> Double {
        var longest = 0.0
        var since = from

        fun look() {
            if (leader() != null) {
                longest = maxOf(longest, clock.now - since)
                since = clock.now
            }
            clock.after(0.02) { look() }
        }
        clock.after(from) { look() }
        return { longest }
    }

    @Test
    fun `a drained leader hands over within a fraction of a second and nothing is lost`() {
        val cluster = cluster(1)
        val jobs = cluster.load()
        val gap = cluster.watchGaps(10.0)
        var drained: String? = null
        cluster.clock.after(20.0) {
            drained = cluster.leader()
            cluster.leader()?.let(cluster::drain)
        }
        cluster.run(120.0)
        cluster.verdict(jobs)
        assertNotEquals(drained, cluster.leader())
        assertTrue(gap() < 0.5, "without a leader for ${gap()} s\n${cluster.tail()}")
        assertEquals(1, cluster.logged("handed over by"))
        assertEquals(0, cluster.logged("task lost"), "a task was lost")
    }

    /** Guards the proof by revision: what the successor did not read in full it must have by the change feed. */
    @Test
    fun `a successor reads from its replica, and a leader that dies leaves one as well`() {
        val cluster = cluster(2)
        val jobs = cluster.load()
        cluster.clock.after(20.0) { cluster.leader()?.let(cluster::drain) }
        cluster.clock.after(40.0) { cluster.leader()?.let { cluster.crash(it, 5.0) } }
        cluster.run(140.0)
        cluster.verdict(jobs)
        val fromReplica = cluster.members.sumOf { cluster.work(it)["failover.rows_from_replica"] ?: 0L }
        assertTrue(fromReplica > 0, cluster.work("drover-0").toString())
    }

    @Test
    fun `six handovers one after the other, each old leader stopped and back`() {
        val cluster = cluster(3)
        val jobs = cluster.load(30)
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
        cluster.verdict(jobs)
        assertEquals(7, leaders.size, leaders.toString())
        assertEquals(leaders.size - 1, leaders.zipWithNext().count { (one, next) -> one != next }, leaders.toString())
        assertEquals(0, cluster.logged("task lost"), "a task was lost")
    }

    @Test
    fun `a drain with nobody to take over is refused, and asked for twice it is one drain`() {
        val cluster = cluster(4)
        cluster.clock.after(10.0) { cluster.members.filter { it != cluster.leader() }.forEach { cluster.crash(it, 1000.0) } }
        cluster.clock.after(20.0) { cluster.drain(cluster.leader()!!) }
        cluster.run(30.0)
        assertEquals(1, cluster.logged("drain refused reason=\"no other member is alive to take over\""))
        assertTrue(cluster.leader() != null)
        val other = cluster(5)
        other.clock.after(10.0) { repeat(3) { other.drain(other.leader() ?: "drover-0") } }
        other.run(30.0)
        assertEquals(1, other.handoversStarted("it is draining"))
    }

    /** Guards the check where effects leave: without it what was decided before the pause goes out after a minute. */
    @Test
    fun `a leader that pauses for a minute between decision and departure sends nothing of it when it wakes`() {
        for (seed in 1..6) {
            val cluster = cluster(seed)
            val jobs =
                (0 until 60).map { i ->
                    cluster.job(i, 4, runSeconds = 8.0).also { job -> cluster.clock.after(5.0 + i * 0.4) { cluster.submit(job) } }
                }
            cluster.clock.after(20.0 + seed * 0.13) { cluster.leader()?.let { cluster.pauseMidStep(it, 60.0) } }
            cluster.run(180.0)
            cluster.verdict(jobs)
            assertEquals(1, cluster.caughtMidStep, "seed $seed")
            assertEquals(emptyList<String>(), cluster.lateDepartures, "seed $seed")
        }
    }

    /** Guards the stop of renewals while a transfer is under way: only the answer of the transfer is lost, and it was carried out. */
    @Test
    fun `a transfer of which only the answer is lost makes one leader`() {
        val cluster = cluster(6)
        val jobs = cluster.load(30)
        var lost = 0
        cluster.onCall = { _, call ->
            val transfer = call.path == "/multi" && call.body.orEmpty().contains("\"set\":\"leader\"") && cluster.clock.now > 19.0
            if (transfer && lost++ == 0) SimulatedCluster.CallFate.ANSWER_LOST else SimulatedCluster.CallFate.FINE
        }
        cluster.clock.after(20.0) { cluster.leader()?.let(cluster::drain) }
        cluster.run(150.0)
        cluster.verdict(jobs)
        assertTrue(lost > 0)
        assertEquals(1, cluster.logged("handed over by"), cluster.tail())
    }

    /**
     * Guards the silence of a leader whose transfer is in doubt: it was carried out, no answer of the state service to its writes
     * arrives, no member tells it, and the next leader ends jobs that it would still call running.
     */
    @Test
    fun `a leader whose transfer is in doubt answers nothing of its own`() {
        for (seed in 30..33) {
            val cluster = cluster(seed)
            val jobs =
                (0 until 60).map { i ->
                    cluster.job(i, 2, runSeconds = 3.0).also { job -> cluster.clock.after(5.0 + i * 0.4) { cluster.submit(job) } }
                }
            cluster.closeLooks = true
            var inDoubt: String? = null
            cluster.onCall = { from, call ->
                val transfer = inDoubt == null && cluster.clock.now > 19.9 && call.body.orEmpty().contains("\"set\":\"leader\"")
                if (transfer) {
                    inDoubt = from
                    cluster.members.filter { it != from }.forEach { cluster.cut(from, it, 15.0) }
                }
                if (from == inDoubt && call.path == "/multi" &&
                    cluster.clock.now < 35.0
                ) {
                    SimulatedCluster.CallFate.ANSWER_LOST
                } else {
                    SimulatedCluster.CallFate.FINE
                }
            }
            cluster.clock.after(20.0) { cluster.leader()?.let(cluster::drain) }
            cluster.run(150.0)
            assertNotEquals(null, inDoubt)
            cluster.verdict(jobs)
        }
    }

    /**
     * Guards the stop of renewals during a transfer, by itself: the old leader's lease could be renewed for ever, it hears a member that
     * knows no better, and workers that reach only it run tasks that the next leader has cancelled.
     */
    @Test
    fun `a leader whose transfer is in doubt keeps no cancelled task alive`() {
        val cluster = cluster(34)
        val jobs = (0 until 6).map { cluster.job(it, 2, runSeconds = 300.0) }
        jobs.forEach { cluster.clock.after(5.0) { cluster.submit(it) } }
        var inDoubt: String? = null
        var confirmed = 0
        cluster.onCancelled = { confirmed++ }
        cluster.onCall = { from, call ->
            val named = Json.parseOrNull(call.body)?.path("then")?.firstOrNull { it.path("set").asText() == "leader" }
            if (inDoubt == null && cluster.clock.now > 59.9 && named != null) {
                inDoubt = from
                val next = named.path("value").path("member").asText()
                val third = cluster.members.first { it != from && it != next }
                cluster.refuse(third, 200.0)
                listOf(from, third).forEach { cluster.cut(it, next, 200.0) }
                cluster.cloud.names().forEach { cluster.cut(it, next, 200.0) }
                jobs.forEach { job -> cluster.clock.after(1.0) { cluster.abort(job, next) } }
            }
            if (from == inDoubt && call.path == "/multi") SimulatedCluster.CallFate.ANSWER_LOST else SimulatedCluster.CallFate.FINE
        }
        cluster.clock.after(60.0) { cluster.leader()?.let(cluster::drain) }
        cluster.run(60.0 + cluster.cancelSeconds * 2 + 30.0)
        assertEquals(jobs.size, confirmed, "not confirmed by the next leader\n${cluster.tail()}")
        assertEquals(emptyList<String>(), cluster.invariants.broken, cluster.tail())
    }

    /**
     * Guards the doubt: the first copy is carried out late, all others are refused, and a leader that gave up meanwhile would have a
     * rival.
     */
    @Test
    fun `a transfer that is carried out late finds its leader still waiting`() {
        // A long lease, so that it outlasts the wait for the first answer.
        val longLease = OperatorSettings(failover = FailoverSettings(), leaseReports = 3.0)
        var copies = 0
        for (seed in 40..45) {
            val cluster = cluster(seed, longLease)
            val jobs = cluster.load(30)
            cluster.lateSeconds = 8.0
            var first = true
            cluster.onCall = { _, call ->
                val transfer = cluster.clock.now in 19.9..30.0 && call.body.orEmpty().contains("\"set\":\"leader\"")
                if (transfer) copies++
                when {
                    !transfer -> SimulatedCluster.CallFate.FINE
                    first -> SimulatedCluster.CallFate.LATE.also { first = false }
                    else -> SimulatedCluster.CallFate.REFUSED
                }
            }
            cluster.clock.after(20.0) { cluster.leader()?.let(cluster::drain) }
            cluster.run(150.0)
            cluster.verdict(jobs)
        }
        assertTrue(copies > 6, "$copies copies, of which six are the first ones")
    }

    /** Guards the decision to lead on, which is taken only in the answer to a copy: a copy in the queue would transfer all the same. */
    @Test
    fun `a transfer that the state service refuses is given up and the leader leads on`() {
        val cluster = cluster(7)
        val jobs = cluster.load(30)
        var leader: String? = null
        cluster.onCall = { _, call ->
            val transfer = call.path == "/multi" && call.body.orEmpty().contains("\"set\":\"leader\"") && cluster.clock.now > 19.0
            if (transfer && cluster.clock.now < 24.0) SimulatedCluster.CallFate.REFUSED else SimulatedCluster.CallFate.FINE
        }
        cluster.clock.after(20.0) {
            leader = cluster.leader()
            cluster.leader()?.let(cluster::drain)
        }
        cluster.run(23.0)
        assertEquals(leader, cluster.leader(), cluster.tail())
        assertTrue(cluster.logged("outcome=abandoned reason=\"the state service refuses it\"") > 0, cluster.tail())
        cluster.run(150.0)
        cluster.verdict(jobs)
        assertNotEquals(leader, cluster.leader())
    }

    /** Guards the audit: a feed that leaves a change out looks whole by its revisions. */
    @Test
    fun `a change that the feed left out is found, and the replica read anew`() {
        val cluster = cluster(11)
        val jobs = cluster.load(40)
        var left = 0
        cluster.state.tamperWithChanges = { prefix, answer ->
            val removed = answer.path("events").indexOfFirst { it.has("remove") }
            if (prefix == "live/" && cluster.clock.now > 20.0 && left < 5 && removed >= 0) {
                (answer.path("events") as ArrayNode).remove(removed)
                left++
            }
        }
        cluster.run(90.0)
        assertTrue(left > 0)
        assertTrue(cluster.logged("standby replica discarded reason=\"audit of live/") > 0, cluster.tail())
        cluster.run(160.0)
        cluster.verdict(jobs)
    }

    /** Guards the proof by revision: without it a new leader takes what was known some seconds ago for all there is. */
    @Test
    fun `a replica that is not shown to be as far as the fence is not used`() {
        val cluster = cluster(12)
        val jobs = cluster.load(30)
        var stale = false
        val revisions = HashMap<String, Long>()
        cluster.state.tamperWithChanges = { prefix, answer ->
            if (stale) {
                (answer as ObjectNode).put("ledgerRev", revisions.getValue(prefix)).putArray("events")
            } else {
                revisions[prefix] = answer.path("ledgerRev").asLong()
            }
        }
        cluster.clock.after(25.0) { stale = true }
        cluster.clock.after(32.0) { cluster.leader()?.let { cluster.crash(it, 3.0) } }
        cluster.clock.after(45.0) { stale = false }
        cluster.run(150.0)
        assertTrue(cluster.logged("standby replica not used") > 0, cluster.tail())
        cluster.verdict(jobs)
    }

    /** Guards the age of the successor's lease: named in the rows and asleep for longer than that, it must not begin to lead. */
    @Test
    fun `a successor that sleeps through its lease follows whoever was elected`() {
        for (seed in 1..5) {
            val cluster = cluster(20 + seed)
            val jobs = cluster.load(30)
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
            cluster.verdict(jobs)
            assertTrue(cluster.log.any { "leader elected" in it && "term=3 " in it }, cluster.tail())
        }
    }

    @Test
    fun `a slow leader hands over by itself, a steady one does not`() {
        val cluster = cluster(8, OperatorSettings(failover = FailoverSettings(slowStalls = 3)))
        val jobs = cluster.load()
        var slow: String? = null
        cluster.clock.after(15.0) {
            slow = cluster.leader()
            repeat(4) { i -> cluster.clock.after(i * 1.2) { slow?.let { if (cluster.leader() == it) cluster.freeze(it, 0.9) } } }
        }
        cluster.run(120.0)
        cluster.verdict(jobs)
        assertTrue(cluster.handoversStarted("it stood still") >= 1, cluster.tail())
        assertNotEquals(slow, cluster.leader())
    }

    /** Old and new together: the leader's row is the same, so a member without failover follows a handover. */
    @Test
    fun `members without failover follow one that hands over`() {
        val cluster = SimulatedCluster(9, operatorOf = { if (it == "drover-2") OperatorSettings() else on })
        val jobs = cluster.load()
        cluster.clock.after(20.0) { cluster.leader()?.let(cluster::drain) }
        cluster.run(140.0)
        cluster.verdict(jobs)
    }

    @Test
    fun `switched off it counts nothing, sends nothing and keeps nothing`() {
        val cluster = SimulatedCluster(10)
        val jobs = cluster.load(5)
        cluster.clock.after(10.0) { cluster.leader()?.let(cluster::drain) }
        cluster.run(60.0)
        cluster.verdict(jobs)
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
