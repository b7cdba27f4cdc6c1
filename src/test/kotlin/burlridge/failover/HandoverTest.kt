package burlridge.failover

import burlridge.job.JobSpec
import burlridge.json.Json
import burlridge.settings.FailoverSettings
import burlridge.settings.OperatorSettings
import burlridge.sim.World
import burlridge.sim.abort
import burlridge.sim.job
import burlridge.sim.look
import burlridge.sim.submit
import com.fasterxml.jackson.databind.node.ArrayNode
import com.fasterxml.jackson.databind.node.ObjectNode
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNotEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** Planned handovers, woken leaders and standby replicas in the whole service, in virtual time. */
internal class HandoverTest {
    private val on = OperatorSettings(failover = FailoverSettings())

    private fun world(
        seed: Int,
        operator: OperatorSettings = on,
        members: List<String> = listOf("drover-0", "drover-1", "drover-2"),
    ) = World(seed, operator = operator, members = members)

    private fun World.load(jobs: Int = 20): List<JobSpec> =
        (0 until jobs).map { i -> job(i, 3, runSeconds = 6.0 + i % 5).also { clock.after(5.0 + i * 1.5) { submit(it) } } }

    private fun World.verdict(jobs: List<JobSpec>) {
        assertEquals(emptyList<String>(), rules.broken, tail())
        assertEquals(emptyList<String>(), rivals, tail())
        assertEquals(emptyList<String>(), history.breaches(jobs.map { it.id }), tail())
    }

    private fun World.tail() = log.takeLast(40).joinToString("\n")

    private fun World.logged(text: String) = log.count { text in it }

    /** The longest time without a leader from [from] on, in seconds. */
    private fun World.watchGaps(from: Double): () -> Double {
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
        val world = world(1)
        val jobs = world.load()
        val gap = world.watchGaps(10.0)
        var drained: String? = null
        world.clock.after(20.0) {
            drained = world.leader()
            world.leader()?.let(world::drain)
        }
        world.run(120.0)
        world.verdict(jobs)
        assertNotEquals(drained, world.leader())
        assertTrue(gap() < 0.5, "without a leader for ${gap()} s\n${world.tail()}")
        assertEquals(1, world.logged("handed over by"))
        assertEquals(0, world.logged("lost on"), "a task was lost")
    }

    /** Guards the proof by revision: what the successor did not read in full it must have by the change feed. */
    @Test
    fun `a successor reads from its replica, and a leader that dies leaves one as well`() {
        val world = world(2)
        val jobs = world.load()
        world.clock.after(20.0) { world.leader()?.let(world::drain) }
        world.clock.after(40.0) { world.leader()?.let { world.crash(it, 5.0) } }
        world.run(140.0)
        world.verdict(jobs)
        val fromReplica = world.members.sumOf { world.work(it)["failover.rows_from_replica"] ?: 0L }
        assertTrue(fromReplica > 0, world.work("drover-0").toString())
    }

    @Test
    fun `six handovers one after the other, each old leader stopped and back`() {
        val world = world(3)
        val jobs = world.load(30)
        val leaders = ArrayList<String>()
        world.onLeader = { leaders += it }
        for (turn in 0 until 6) {
            world.clock.after(15.0 + turn * 12.0) {
                val leader = world.leader() ?: return@after
                world.drain(leader)
                // Stopped and started anew once it is out, as in a rolling restart.
                world.clock.after(4.0) { if (world.leader() != leader) world.crash(leader, 1.0) }
            }
        }
        world.run(180.0)
        world.verdict(jobs)
        assertEquals(7, leaders.size, leaders.toString())
        assertEquals(leaders.size - 1, leaders.zipWithNext().count { (one, next) -> one != next }, leaders.toString())
        assertEquals(0, world.logged("lost on"), "a task was lost")
    }

    @Test
    fun `a drain with nobody to take over is refused, and asked for twice it is one drain`() {
        val world = world(4)
        world.clock.after(10.0) { world.members.filter { it != world.leader() }.forEach { world.crash(it, 1000.0) } }
        world.clock.after(20.0) { world.drain(world.leader()!!) }
        world.run(30.0)
        assertEquals(1, world.logged("not drained: no other member is alive"))
        assertTrue(world.leader() != null)
        val other = world(5)
        other.clock.after(10.0) { repeat(3) { other.drain(other.leader() ?: "drover-0") } }
        other.run(30.0)
        assertEquals(1, other.logged("is draining: ") + other.logged("begins: it is draining") - other.logged("is draining: "))
    }

    /** Guards the check where effects leave: without it what was decided before the pause goes out after a minute. */
    @Test
    fun `a leader that pauses for a minute between decision and departure sends nothing of it when it wakes`() {
        for (seed in 1..6) {
            val world = world(seed)
            val jobs =
                (0 until 60).map { i ->
                    world.job(i, 4, runSeconds = 8.0).also { job -> world.clock.after(5.0 + i * 0.4) { world.submit(job) } }
                }
            world.clock.after(20.0 + seed * 0.13) { world.leader()?.let { world.pauseMidStep(it, 60.0) } }
            world.run(180.0)
            world.verdict(jobs)
            assertEquals(1, world.caughtMidStep, "seed $seed")
            assertEquals(emptyList<String>(), world.lateDepartures, "seed $seed")
        }
    }

    /** Guards the stop of renewals while a transfer is under way: only the answer of the transfer is lost, and it was carried out. */
    @Test
    fun `a transfer of which only the answer is lost makes one leader`() {
        val world = world(6)
        val jobs = world.load(30)
        var lost = 0
        world.meddle = { _, call ->
            val transfer = call.path == "/multi" && call.body.orEmpty().contains("\"set\":\"leader\"") && world.clock.now > 19.0
            if (transfer && lost++ == 0) World.Fate.ANSWER_LOST else World.Fate.FINE
        }
        world.clock.after(20.0) { world.leader()?.let(world::drain) }
        world.run(150.0)
        world.verdict(jobs)
        assertTrue(lost > 0)
        assertEquals(1, world.logged("handed over by"), world.tail())
    }

    /**
     * Guards the silence of a leader whose transfer is in doubt: it was carried out, no answer of the state service to its writes
     * arrives, no member tells it, and the next leader ends jobs that it would still call running.
     */
    @Test
    fun `a leader whose transfer is in doubt answers nothing of its own`() {
        for (seed in 30..33) {
            val world = world(seed)
            val jobs =
                (0 until 60).map { i ->
                    world.job(i, 2, runSeconds = 3.0).also { job -> world.clock.after(5.0 + i * 0.4) { world.submit(job) } }
                }
            world.closeLooks = true
            var inDoubt: String? = null
            world.meddle = { from, call ->
                val transfer = inDoubt == null && world.clock.now > 19.9 && call.body.orEmpty().contains("\"set\":\"leader\"")
                if (transfer) {
                    inDoubt = from
                    world.members.filter { it != from }.forEach { world.cut(from, it, 15.0) }
                }
                if (from == inDoubt && call.path == "/multi" && world.clock.now < 35.0) World.Fate.ANSWER_LOST else World.Fate.FINE
            }
            world.clock.after(20.0) { world.leader()?.let(world::drain) }
            world.run(150.0)
            assertNotEquals(null, inDoubt)
            world.verdict(jobs)
        }
    }

    /**
     * Guards the stop of renewals during a transfer, by itself: the old leader's lease could be renewed for ever, it hears a member that
     * knows no better, and workers that reach only it run tasks that the next leader has cancelled.
     */
    @Test
    fun `a leader whose transfer is in doubt keeps no cancelled task alive`() {
        val world = world(34)
        val jobs = (0 until 6).map { world.job(it, 2, runSeconds = 300.0) }
        jobs.forEach { world.clock.after(5.0) { world.submit(it) } }
        var inDoubt: String? = null
        var confirmed = 0
        world.onCancelled = { confirmed++ }
        world.meddle = { from, call ->
            val named = Json.parseOrNull(call.body)?.path("then")?.firstOrNull { it.path("set").asText() == "leader" }
            if (inDoubt == null && world.clock.now > 59.9 && named != null) {
                inDoubt = from
                val next = named.path("value").path("member").asText()
                val third = world.members.first { it != from && it != next }
                world.refuse(third, 200.0)
                listOf(from, third).forEach { world.cut(it, next, 200.0) }
                world.cloud.names().forEach { world.cut(it, next, 200.0) }
                jobs.forEach { job -> world.clock.after(1.0) { world.abort(job, next) } }
            }
            if (from == inDoubt && call.path == "/multi") World.Fate.ANSWER_LOST else World.Fate.FINE
        }
        world.clock.after(60.0) { world.leader()?.let(world::drain) }
        world.run(60.0 + world.cancelSeconds * 2 + 30.0)
        assertEquals(jobs.size, confirmed, "not confirmed by the next leader\n${world.tail()}")
        assertEquals(emptyList<String>(), world.rules.broken, world.tail())
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
            val world = world(seed, longLease)
            val jobs = world.load(30)
            world.lateSeconds = 8.0
            var first = true
            world.meddle = { _, call ->
                val transfer = world.clock.now in 19.9..30.0 && call.body.orEmpty().contains("\"set\":\"leader\"")
                if (transfer) copies++
                when {
                    !transfer -> World.Fate.FINE
                    first -> World.Fate.LATE.also { first = false }
                    else -> World.Fate.REFUSED
                }
            }
            world.clock.after(20.0) { world.leader()?.let(world::drain) }
            world.run(150.0)
            world.verdict(jobs)
        }
        assertTrue(copies > 6, "$copies copies, of which six are the first ones")
    }

    /** Guards the decision to lead on, which is taken only in the answer to a copy: a copy in the queue would transfer all the same. */
    @Test
    fun `a transfer that the state service refuses is given up and the leader leads on`() {
        val world = world(7)
        val jobs = world.load(30)
        var leader: String? = null
        world.meddle = { _, call ->
            val transfer = call.path == "/multi" && call.body.orEmpty().contains("\"set\":\"leader\"") && world.clock.now > 19.0
            if (transfer && world.clock.now < 24.0) World.Fate.REFUSED else World.Fate.FINE
        }
        world.clock.after(20.0) {
            leader = world.leader()
            world.leader()?.let(world::drain)
        }
        world.run(23.0)
        assertEquals(leader, world.leader(), world.tail())
        assertTrue(world.logged("abandoned: the state service refuses it") > 0, world.tail())
        world.run(150.0)
        world.verdict(jobs)
        assertNotEquals(leader, world.leader())
    }

    /** Guards the audit: a feed that leaves a change out looks whole by its revisions. */
    @Test
    fun `a change that the feed left out is found, and the replica read anew`() {
        val world = world(11)
        val jobs = world.load(40)
        var left = 0
        world.state.tamperWithChanges = { prefix, answer ->
            val removed = answer.path("events").indexOfFirst { it.has("remove") }
            if (prefix == "live/" && world.clock.now > 20.0 && left < 5 && removed >= 0) {
                (answer.path("events") as ArrayNode).remove(removed)
                left++
            }
        }
        world.run(90.0)
        assertTrue(left > 0)
        assertTrue(world.logged("standby replica is read anew: audit of live/") > 0, world.tail())
        world.run(160.0)
        world.verdict(jobs)
    }

    /** Guards the proof by revision: without it a new leader takes what was known some seconds ago for all there is. */
    @Test
    fun `a replica that is not shown to be as far as the fence is not used`() {
        val world = world(12)
        val jobs = world.load(30)
        var stale = false
        val revisions = HashMap<String, Long>()
        world.state.tamperWithChanges = { prefix, answer ->
            if (stale) {
                (answer as ObjectNode).put("ledgerRev", revisions.getValue(prefix)).putArray("events")
            } else {
                revisions[prefix] = answer.path("ledgerRev").asLong()
            }
        }
        world.clock.after(25.0) { stale = true }
        world.clock.after(32.0) { world.leader()?.let { world.crash(it, 3.0) } }
        world.clock.after(45.0) { stale = false }
        world.run(150.0)
        assertTrue(world.logged("standby replica is not used") > 0, world.tail())
        world.verdict(jobs)
    }

    /** Guards the age of the successor's lease: named in the rows and asleep for longer than that, it must not begin to lead. */
    @Test
    fun `a successor that sleeps through its lease follows whoever was elected`() {
        for (seed in 1..5) {
            val world = world(20 + seed)
            val jobs = world.load(30)
            var asleep: String? = null
            world.meddle = { _, call ->
                val named = Json.parseOrNull(call.body)?.path("then")?.firstOrNull { it.path("set").asText() == "leader" }
                if (world.clock.now > 19.9 && asleep == null && named != null) {
                    // The transfer is on its way; whom it names stands still before it can hear of it.
                    asleep =
                        named
                            .path("value")
                            .path("member")
                            .asText()
                            .also { world.freeze(it, 3.0 + seed) }
                }
                World.Fate.FINE
            }
            world.clock.after(20.0) { world.leader()?.let(world::drain) }
            world.run(160.0)
            assertNotEquals(null, asleep)
            world.verdict(jobs)
            assertTrue(world.logged("leads term 3") > 0, world.tail())
        }
    }

    @Test
    fun `a slow leader hands over by itself, a steady one does not`() {
        val world = world(8, OperatorSettings(failover = FailoverSettings(slowStalls = 3)))
        val jobs = world.load()
        var slow: String? = null
        world.clock.after(15.0) {
            slow = world.leader()
            repeat(4) { i -> world.clock.after(i * 1.2) { slow?.let { if (world.leader() == it) world.freeze(it, 0.9) } } }
        }
        world.run(120.0)
        world.verdict(jobs)
        assertTrue(world.logged("begins: it stood still") >= 1, world.tail())
        assertNotEquals(slow, world.leader())
    }

    /** Old and new together: the leader's row is the same, so a member without failover follows a handover. */
    @Test
    fun `members without failover follow one that hands over`() {
        val world = World(9, operatorOf = { if (it == "drover-2") OperatorSettings() else on })
        val jobs = world.load()
        world.clock.after(20.0) { world.leader()?.let(world::drain) }
        world.run(140.0)
        world.verdict(jobs)
    }

    @Test
    fun `switched off it counts nothing, sends nothing and keeps nothing`() {
        val world = World(10)
        val jobs = world.load(5)
        world.clock.after(10.0) { world.leader()?.let(world::drain) }
        world.run(60.0)
        world.verdict(jobs)
        assertEquals(
            emptySet<String>(),
            world.members
                .flatMap { world.work(it).keys }
                .filter { it.startsWith("failover") }
                .toSet(),
        )
        assertEquals(0, world.logged("draining"))
    }
}
