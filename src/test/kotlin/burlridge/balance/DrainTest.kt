package burlridge.balance

import burlridge.settings.BalanceSettings
import burlridge.settings.MovePermission
import burlridge.settings.OperatorSettings
import burlridge.sim.World
import burlridge.sim.job
import burlridge.sim.submit
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNotEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** Drains in the whole service, in virtual time, with controllers that fail. */
internal class DrainTest {
    private fun World.zones() = cloud.names().groupingBy { cloud.worker(it)?.zone }.eachCount()

    @Test
    fun `a drained zone is emptied, nothing is rented there, and the leader's death changes nothing`() {
        for (failover in listOf(false, true)) {
            val world = balancedWorld(1, members = if (failover) 5 else 3, failover = failover)
            val jobs = world.submitAll((0 until 20).map { world.savingJob(it, 3) }, 20.0)
            world.clock.after(40.0) { world.drainZone("a") }
            // At once, while it is emptied, and once it is empty.
            listOf(40.5, 45.0, 100.0).forEach { at -> world.clock.after(at) { world.leader()?.let { world.crash(it, 6.0) } } }
            world.run(180.0)
            world.verdict(jobs)
            assertEquals(setOf("b"), world.zones().keys, world.tail())
            assertEquals("drained", world.stateOf("zone/a"))
            assertTrue(world.history.stops.isNotEmpty(), "nothing was moved")
        }
    }

    /** Guards the reading of the rows by a new leader, and their being more than one leader's memory. */
    @Test
    fun `a drain outlives all members, and ends when it is called off`() {
        val world = balancedWorld(2)
        val jobs = world.submitAll((0 until 12).map { world.savingJob(it, 3, runSeconds = 15.0) }, 60.0, everySeconds = 4.0)
        world.clock.after(20.0) { world.drainZone("a") }
        world.clock.after(30.0) { world.members.forEach { world.crash(it, 3.0) } }
        val bound = world.submitAll(listOf(world.savingJob(90, 3).copy(zone = "a")), 50.0)
        world.clock.after(80.0) { world.undrainZone("a") }
        world.clock.after(81.0) { world.leader()?.let { world.crash(it, 4.0) } }
        world.run(75.0)
        assertEquals(setOf("b"), world.zones().keys)
        world.run(170.0)
        world.verdict(jobs + bound)
        assertEquals(setOf("a", "b"), world.zones().keys, world.tail())
        assertTrue(world.rules.firstStart(bound.first().id) > 80.0, "what may run nowhere else waits for the zone")
    }

    @Test
    fun `asked for twice, also at two members at one moment, it is one drain`() {
        val world = balancedWorld(3)
        var accepted = 0
        world.clock.after(20.0) {
            val others = world.members.filter { it != world.leader() }
            (others + others).forEach { world.drainZone("a", { it }) { accepted++ } }
        }
        world.run(40.0)
        assertEquals(4, accepted)
        assertEquals(1, world.log.count { "drain of zone a: requested" in it }, world.tail())
        assertEquals(listOf("drain/zone/a"), world.state.keys(Drain.PREFIX))
    }

    /** One of the two is refused for the moment and asked again; in the end all members say the same. */
    @Test
    fun `a drain and its cancellation at one moment leave one state that all members tell alike`() {
        for (seed in 1..10) {
            val world = balancedWorld(seed)
            world.clock.after(20.0) {
                val (one, other) = world.members.filter { it != world.leader() }
                world.drainZone("a", { one })
                world.clock.after(0.002 * seed) { world.undrainZone("a", { other }) }
            }
            world.clock.after(20.1) { world.leader()?.let { world.crash(it, 3.0) } }
            world.run(60.0)
            val states = world.members.map { world.answerOf(it, "GET", MachineRequests.STATUS).second.path("drains") }
            assertEquals(1, states.map { it.toString() }.toSet().size, states.toString())
            val told =
                states
                    .first()
                    .first()
                    .path("state")
                    .asText()
            assertEquals(world.stateOf("zone/a"), told)
            assertTrue(told in setOf("cancelled", "drained", "draining"), told)
        }
    }

    @Test
    fun `a member that cannot reach the leader says so, or passes the drain on once`() {
        val world = balancedWorld(4)
        val jobs = world.submitAll((0 until 8).map { world.savingJob(it, 3) }, 15.0)
        world.run(30.0)
        val leader = world.leader() ?: error("no leader")
        val cut = world.members.first { it != leader }
        // The message is lost where the links between members are cut; the member hears nobody.
        world.peersCut(cut, 20.0)
        val (status, answer) = world.answerOf(cut, "POST", MachineRequests.DRAIN, """{"zone":"a"}""")
        assertEquals(503, status)
        assertTrue("does not answer" in answer.path("error").asText(), answer.toString())
        assertEquals(null, world.stateOf("zone/a"))
        world.drainZone("a", { cut })
        world.run(150.0)
        world.verdict(jobs)
        assertEquals(1, world.log.count { "drain of zone a: requested" in it }, world.tail())
    }

    @Test
    fun `the last machine that can hold a task is kept unless forced, and the reason names the job`() {
        val world = World(5, operator = balanced())
        val guaranteed = world.job(1, 1, runSeconds = 60.0, team = "crew-x", zone = "a")
        val elsewhere = world.job(2, 1, runSeconds = 60.0, zone = "b")
        world.clock.after(12.0) { listOf(guaranteed, elsewhere).forEach { world.submit(it) } }
        world.run(45.0)
        val (status, answer) = world.answerOf(world.anyMember(), "POST", MachineRequests.DRAIN, """{"zone":"a"}""")
        assertEquals(409, status, answer.toString())
        assertTrue("j-000001" in answer.path("error").asText(), answer.toString())
        assertEquals(200, world.answerOf(world.anyMember(), "POST", MachineRequests.DRAIN, """{"zone":"a","force":true}""").first)
        world.run(50.0)
        assertEquals("draining", world.stateOf("zone/a"), "what does not save runs to its end")
        assertEquals(
            "does not save and may not be repeated",
            world
                .report()
                .path("drains")
                .first()
                .path("waits_for")
                .fieldNames()
                .next(),
        )
        world.run(120.0)
        world.verdict(listOf(guaranteed, elsewhere))
        assertEquals("drained", world.stateOf("zone/a"), world.tail())
    }

    /** Guards the row of a slow machine: without it the next leader places there again until it has measured anew. */
    @Test
    fun `a machine left for being slow is not forgotten with its leader`() {
        val world = balancedWorld(6, members = 5)
        val jobs = world.submitAll((0 until 30).map { world.job(it, 10, runSeconds = 12.0) }, 15.0, everySeconds = 1.0)
        world.run(20.0)
        val slow =
            world.history.starts
                .first()
                .machine
        world.cloud.worker(slow)?.slowness = 6.0
        while (world.clock.now < 100 && world.log.none { "$slow is slow" in it }) world.run(world.clock.now + 0.1)
        val foundAt = world.clock.now
        assertTrue(foundAt < 60.0, world.tail())
        world.run(foundAt + 0.2)
        world.crash(world.leader() ?: error("no leader"), 3.0)
        world.run(150.0)
        world.verdict(jobs)
        assertEquals(
            emptyList<String>(),
            world.history.starts
                .filter { it.machine == slow && it.at > foundAt + 2.5 }
                .map { "$it" },
        )
        assertEquals(1, world.log.count { "$slow is slow" in it }, world.tail())
    }

    /** Guards the row's own stamp: the fence lets every copy of the same leader through. */
    @Test
    fun `copies of a drain's writes that come after its cancellation change nothing`() {
        val world = balancedWorld(9)
        world.lateSeconds = 12.0
        world.meddle = { _, call -> if ("\"set\":\"drain/" in call.body.orEmpty()) World.Fate.REPEATED else World.Fate.FINE }
        world.clock.after(20.0) { world.drainZone("a") }
        world.clock.after(28.0) { world.undrainZone("a") }
        for (at in 29..60) {
            world.run(at.toDouble())
            assertEquals("cancelled", world.stateOf("zone/a"), "at $at s")
        }
    }

    /** Guards the age of a request: it waits in a member that stands still, and whoever asked has given it up. */
    @Test
    fun `a drain that is carried on only after its cancellation changes nothing`() {
        val world = balancedWorld(10)
        world.clock.after(20.0) { world.drainZone("a") }
        world.clock.after(30.0) {
            val slow = world.members.first { it != world.leader() }
            world.freeze(slow, 12.0)
            world.ask(slow, "POST", MachineRequests.DRAIN, """{"zone":"a","force":true,"asked_ms":30000}""") { _, _ -> }
        }
        world.clock.after(33.0) { world.undrainZone("a", { world.leader() ?: world.anyMember() }) }
        world.run(60.0)
        assertEquals("cancelled", world.stateOf("zone/a"), world.tail())
    }

    /** Guards the wait for the cloud's list and the reports: a new leader knows of few machines at first, and not where they are. */
    @Test
    fun `a new leader does not call a zone drained while tasks run there`() {
        for (seed in 1..8) {
            val world = balancedWorld(seed, BalanceSettings(moves = MovePermission.NEVER), members = 5)
            val jobs = world.submitAll((0 until 10).map { world.savingJob(it, 4, runSeconds = 50.0) }, 20.0)
            world.clock.after(35.0) { world.drainZone("a") }
            for (turn in 0 until 6) world.clock.after(36.0 + turn * 5.5) { world.leader()?.let { world.crash(it, 4.0) } }
            while (world.clock.now < 200.0 && world.stateOf("zone/a") != "drained") world.run(world.clock.now + 0.1)
            assertEquals(null, world.zones()["a"], "seed $seed: drained at ${world.clock.now}\n${world.tail()}")
            world.run(220.0)
            world.verdict(jobs)
        }
    }

    @Test
    fun `a drain by network covers machines that join later, and is not outrun by renting`() {
        val world = balancedWorld(7)
        val jobs = world.submitAll((0 until 20).map { world.savingJob(it, 2, runSeconds = 10.0) }, 30.0, everySeconds = 3.0)
        world.run(25.0)
        val covered = { machine: String -> machine.removePrefix("m-").toInt() in 16..31 }
        val (status, answer) = world.answerOf("drover-1", "POST", MachineRequests.DRAIN, """{"network":"10.1.0.18/28"}""")
        assertEquals(200 to "10.1.0.16/28", status to answer.path("network").asText())
        val before = world.cloud.requests.size
        world.clock.after(10.0) { world.leader()?.let { world.crash(it, 3.0) } }
        world.run(140.0)
        world.verdict(jobs)
        assertTrue(world.cloud.names().none(covered), world.cloud.names().toString())
        assertTrue(world.cloud.requests.size - before < 60, "rentals: ${world.cloud.requests.size - before}")
    }

    /** What the page says: while the version before, or one with balance off, leads, drains are not honoured, and not lost. */
    @Test
    fun `members with and without balance serve together`() {
        val world = balancedWorld(8) { if (it == "drover-0") OperatorSettings() else balanced() }
        val jobs = world.submitAll((0 until 30).map { world.savingJob(it, 3, runSeconds = 20.0) }, 15.0, everySeconds = 3.0)
        world.clock.after(30.0) { world.drainZone("a", { "drover-1" }) }
        for (turn in 0 until 6) world.clock.after(45.0 + turn * 15) { world.leader()?.let { world.crash(it, 6.0) } }
        world.run(40.0)
        val leaders = HashSet<String>()
        world.onLeader = { leaders += it }
        world.history.drained.clear()
        world.run(220.0)
        world.verdict(jobs)
        assertTrue("drover-0" in leaders && leaders.size > 1, leaders.toString())
        assertNotEquals(null, world.stateOf("zone/a"))
        if (world.leader() !=
            "drover-0"
        ) {
            assertTrue(
                "a" !in world.zones().keys || world
                    .report()
                    .path("drains")
                    .first()
                    .path("machines_left")
                    .asInt() > 0,
            )
        }
    }
}
