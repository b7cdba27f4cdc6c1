package burlridge.sim

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNotEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** What the operators added to the protocol, each with the trouble that it guards against. */
internal class AdditionsTest {
    private val world = World(11)

    private fun verdict(vararg jobs: String) {
        assertEquals(emptyList<String>(), world.rules.broken)
        assertEquals(emptyList<String>(), jobs.filterNot { world.rules.finished(it) }, "not over")
    }

    /** Guards the wait for a machine's echo: its reports alone would have task after task placed where none can start. */
    @Test
    fun `a machine that is heard but does not hear gets no more tasks`() {
        world.clock.after(5.0) { world.submit(world.job(1, 4, runSeconds = 3.0)) }
        world.clock.after(30.0) { world.cloud.names().forEach { if (it != world.cloud.names().last()) world.deafen(it, 300.0) } }
        repeat(10) { i -> world.clock.after(31.0 + 3 * i) { world.submit(world.job(10 + i, 2, runSeconds = 3.0)) } }
        world.run(150.0)
        verdict(*Array(10) { "j-%06d".format(10 + it) })
        // The first try finds out; only one try a machine may be in vain.
        val tries = world.log.filter { "cannot be reached" in it }.groupBy({ it.substringAfter("lost on ").take(8) }, { it.take(8) })
        assertTrue(tries.isNotEmpty())
        assertEquals(emptyMap<String, Int>(), tries.mapValues { it.value.distinct().size }.filter { it.value > 1 })
    }

    /** Guards the same wait in a new leader, and the order of session and tally in all of them. */
    @Test
    fun `late copies of reports are neither absence nor a sign of life`() {
        world.copyAfter = { listOf(2.0, 9.0, 31.0, 70.0).random(world.random) }
        repeat(12) { i -> world.clock.after(5.0 + 6 * i) { world.submit(world.job(i, 3, runSeconds = 12.0)) } }
        repeat(3) { i -> world.clock.after(25.0 + 25 * i) { world.leader()?.let { world.crash(it, 1.0) } } }
        world.clock.after(40.0) {
            world.cloud
                .names()
                .take(3)
                .forEach { world.cloud.take(it) }
        }
        world.run(240.0)
        verdict(*Array(12) { "j-%06d".format(it) })
    }

    /** A leader with its workers alone stops answering within its bound, and what it kept alive is gone or known before it runs again. */
    @Test
    fun `a leader left with nothing but its workers gives way`() {
        var answeredLate = 0
        world.clock.after(5.0) { world.submit(world.job(1, 3, runSeconds = 40.0)) }
        world.clock.after(30.0) {
            val leader = world.leader() ?: return@after
            world.cut(leader, "state", 60.0)
            world.members.filter { it != leader }.forEach { world.cut(leader, it, 60.0) }
            world.clock.after(6.0) {
                val report = """{"drover":"m-000001","addr":"10.1.0.1:9000","stint":1,"tally":0,"baton":0,"pieces":[]}"""
                world.request("m-000001", leader, "POST", "/agent/beat", report, 4.0) { status, _ -> answeredLate = status }
            }
        }
        world.clock.after(34.0) { world.submit(world.job(2, 2, runSeconds = 5.0)) }
        world.run(160.0)
        verdict("j-000001", "j-000002")
        assertEquals(5, world.rules.starts, "tasks were lost on the way from one leader to the next")
        assertNotEquals(200, answeredLate, "it keeps its workers from whoever follows")
    }

    /** Guards the wait before a reap: to a worker that has forgotten a task, a repeat of its start is a new one. */
    @Test
    fun `a start that is repeated after its task was cancelled and forgotten is void`() {
        world.lateSeconds = 70.0
        world.meddle = { _, call -> if (call.path == "/do" && "run" in call.body.orEmpty()) World.Fate.REPEATED else World.Fate.FINE }
        world.clock.after(5.0) { world.submit(world.job(1, 8, runSeconds = 200.0), abortAfter = 30.0) }
        world.run(200.0)
        verdict("j-000001")
        assertEquals(8, world.rules.starts)
    }

    /** Guards the way of commands through the member that passes on a worker's reports. */
    @Test
    fun `machines that cannot reach the leader get their starts through another member`() {
        world.clock.after(30.0) {
            val leader = world.leader() ?: return@after
            world.cloud.names().forEach { world.cut(it, leader, 60.0) }
        }
        world.clock.after(5.0) { world.submit(world.job(1, 3, runSeconds = 5.0)) }
        world.clock.after(52.0) { world.submit(world.job(2, 3, runSeconds = 5.0)) }
        world.run(130.0)
        verdict("j-000001", "j-000002")
        assertTrue(world.rules.firstStart("j-000002") < 75.0, "began at ${world.rules.firstStart("j-000002")}")
    }

    @Test
    fun `a machine back at once has lost its tasks, and they run again`() {
        world.clock.after(5.0) { world.submit(world.job(1, 6, runSeconds = 30.0)) }
        world.clock.after(30.0) { world.cloud.names().forEach { world.cloud.worker(it)?.restart() } }
        world.run(150.0)
        verdict("j-000001")
    }

    @Test
    fun `members back within a fraction of a second, over and over, mid-election too`() {
        repeat(10) { i -> world.clock.after(5.0 + 4 * i) { world.submit(world.job(i, 3, runSeconds = 8.0)) } }
        repeat(40) { i -> world.clock.after(15.0 + 1.3 * i) { world.crash(world.members.random(world.random), 0.2) } }
        world.run(200.0)
        verdict(*Array(10) { "j-%06d".format(it) })
    }

    /** Guards the claim that waiting raises: by the least work first alone the largest would never begin. */
    @Test
    fun `under overload the largest jobs begin within four minutes, and the late ones are not forgotten`() {
        val large = (0 until 3).map { world.job(it, 40, cpus = 4.0, runSeconds = 30.0, jobClass = "bulk", spot = false) }
        large.forEach { world.clock.after(20.0) { world.submit(it) } }
        repeat(260) { i -> world.clock.after(10.0 + 2 * i) { world.submit(world.job(100 + i, 8, cpus = 4.0, runSeconds = 25.0)) } }
        world.run(300.0)
        assertEquals(emptyList<String>(), world.rules.broken)
        large.forEach { assertTrue(world.rules.firstStart(it.id) in 0.0..260.0, "${it.id} began at ${world.rules.firstStart(it.id)}") }
    }

    private val troubles: Map<String, World.() -> Unit> =
        mapOf(
            "outage" to { clock.after(50.0) { state.outage(15.0) } },
            "crash of all" to { clock.after(60.0) { members.forEach { crash(it, 3.0) } } },
            "cut from the state service" to { clock.after(75.0) { leader()?.let { cut(it, "state", 20.0) } } },
            "members apart" to { clock.after(75.0) { members.forEach { a -> members.forEach { b -> if (a != b) cut(a, b, 20.0) } } } },
        )

    @Test
    fun `no job is forgotten by any member after any one trouble`() {
        for ((name, trouble) in troubles) {
            val other = World(12)
            other.trouble()
            assertEquals(emptyList<String>(), other.unansweredOf(300), name)
        }
    }

    /** After all troubles together, every member answers for every job. */
    @Test
    fun `no job of thousands is forgotten by any member after all troubles together`() {
        troubles.values.forEach { world.it() }
        assertEquals(emptyList<String>(), world.unansweredOf(JOBS))
    }

    /** Troubles end at 100 s; what no member has answered 75 s after the first question is forgotten. */
    private fun World.unansweredOf(jobs: Int): List<String> {
        repeat(jobs) { i -> clock.after(5.0 + i * 40.0 / jobs) { submit(job(i, 1, runSeconds = 2.0)) } }
        run(110.0)
        val unknown = HashSet<String>()
        for (member in members) {
            repeat(jobs) { i ->
                val id = "j-%06d".format(i)
                unknown += "$id at $member"
                ask(member, id, unknown, 110.0 + i * 30.0 / jobs)
            }
        }
        run(185.0)
        return rules.broken + unknown
    }

    private fun World.ask(
        member: String,
        id: String,
        unknown: MutableSet<String>,
        at: Double,
    ) {
        clock.after(at - clock.now) {
            request("user", member, "GET", "/api/jobs/$id", "", 2.0) { status, _ ->
                if (status == 200) unknown -= "$id at $member" else ask(member, id, unknown, clock.now + 5.0)
            }
        }
    }

    private companion object {
        const val JOBS = 2000
    }
}
