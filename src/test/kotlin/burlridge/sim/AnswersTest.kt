package burlridge.sim

import burlridge.sim.World.Fate
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** No member tells a user anything older than what another has told, whoever asks what at which moment. */
internal class AnswersTest {
    private val world = World(17)

    private fun verdict(vararg jobs: String) {
        assertEquals(emptyList<String>(), world.rules.broken, world.log.takeLast(30).joinToString("\n"))
        assertEquals(emptyList<String>(), jobs.filterNot { world.rules.finished(it) }, "not over")
    }

    /** The transaction that ends a job is carried out, and its answer does not come for [seconds]; other members read the rows. */
    private fun endsUnheard(
        standing: String,
        seconds: Double,
    ) {
        world.meddle = { _, call ->
            val end = call.path == "/multi" && "\"over/" in call.body.orEmpty() && "\"$standing\"" in call.body.orEmpty()
            if (!end || met > 0) {
                Fate.FINE
            } else {
                met++
                val leader = world.leader()
                world.members.forEach { if (it != leader && leader != null) world.cut(it, leader, seconds) }
                // Each member in turn, again and again: those cut off go by the rows, the leader by its own picture.
                repeat(40) { i -> world.members.forEach { m -> world.clock.after(0.05 * i) { world.look(job, m) } } }
                repeat(5) { i -> world.members.forEach { m -> world.clock.after(0.3 * i) { world.submitOnce(job, m) } } }
                Fate.ANSWER_LOST
            }
        }
    }

    private var met = 0
    private val job = world.job(1, 2, runSeconds = 20.0)

    /** Guards the doubt about an end whose transaction is under way: its leader said `running` of a job that others called over. */
    @Test
    fun `a cancellation of which only the answer is lost is not called running by its leader`() {
        endsUnheard("withdrawn", 4.0)
        world.clock.after(5.0) { world.submit(job) }
        world.clock.after(25.0) { world.abort(job) }
        world.run(90.0)
        assertEquals(1, met)
        verdict(job.id)
    }

    @Test
    fun `an end of which only the answer is lost is not called running by its leader`() {
        endsUnheard("done", 4.0)
        world.clock.after(5.0) { world.submit(job) }
        world.run(90.0)
        assertEquals(1, met)
        verdict(job.id)
    }

    private fun load(
        every: Double,
        count: Int,
    ): List<String> =
        (0 until count).map { i ->
            val spec = world.job(100 + i, 1 + i % 2, runSeconds = 2.0 + i % 5)
            val abortAfter = if (i % 3 == 0) 0.02 + (i % 11) * 0.9 else null
            world.clock.after(20.0 + every * i) { world.submit(spec, abortAfter) }
            spec.id
        }

    @Test
    fun `close looks at all members while answers of the state service are lost and leaders change`() {
        world.closeLooks = true
        world.meddle = { _, call -> if (call.path == "/multi" && world.random.nextInt(4) == 0) Fate.ANSWER_LOST else Fate.FINE }
        val jobs = load(1.0, 70)
        repeat(6) { i -> world.clock.after(30.0 + 10 * i) { world.leader()?.let { world.crash(it, 0.3) } } }
        world.clock.after(110.0) { world.meddle = { _, _ -> Fate.FINE } }
        world.run(200.0)
        verdict(*jobs.toTypedArray())
    }

    /** Guards the stamp under which progress is written, and every other row: what comes late must meet a row that is newer. */
    @Test
    fun `close looks at all members while transactions are carried out late, after newer ones`() {
        world.closeLooks = true
        world.lateSeconds = 12.0
        world.meddle = { _, call -> if (call.path == "/multi" && world.random.nextInt(5) == 0) Fate.LATE else Fate.FINE }
        val jobs = load(1.0, 60)
        repeat(3) { i -> world.clock.after(35.0 + 17 * i) { world.leader()?.let { world.crash(it, 1.0) } } }
        world.clock.after(110.0) { world.meddle = { _, _ -> Fate.FINE } }
        world.run(220.0)
        verdict(*jobs.toTypedArray())
    }

    @Test
    fun `a cancellation, a question and a repeated submission meet the end of the last task`() {
        world.closeLooks = true
        val jobs =
            (0 until 40).map { i ->
                val spec = world.job(i, 1, runSeconds = 3.0)
                world.clock.after(20.0 + i) { world.submit(spec, abortAfter = 3.0 + i * 0.06) }
                spec.id
            }
        world.run(120.0)
        verdict(*jobs.toTypedArray())
    }

    @Test
    fun `a job is cancelled at another member the moment it was accepted, and its submission repeated`() {
        world.closeLooks = true
        val jobs =
            (0 until 30).map { i ->
                val spec = world.job(i, 2, runSeconds = 10.0)
                world.clock.after(20.0 + i * 0.7) { world.submit(spec) }
                world.clock.after(20.0 + i * 0.7 + 0.012) { world.abort(spec, world.members[i % 3]) }
                spec.id
            }
        world.run(120.0)
        verdict(*jobs.toTypedArray())
    }

    /** Guards the numbers of questions between members: a reply to a member's former self named another job. */
    @Test
    fun `a member back at once takes no reply that its former self had asked for`() {
        world.peerSeconds = { if (world.random.nextInt(3) == 0) 0.4 else 0.001 }
        val jobs = load(0.5, 80)
        repeat(150) { i ->
            world.clock.after(22.0 + 0.31 * i) {
                val member = world.members.first { it != world.leader() }
                world.crash(member, 0.05)
                jobs.forEach { id -> world.clock.after(0.1) { world.lookAt(id, member) } }
            }
        }
        world.run(150.0)
        assertTrue(world.rules.starts > 0)
        verdict(*jobs.toTypedArray())
    }

    /** Guards the members' memory of what was accepted: a repeat was tried as a write, and writes are what all share least of. */
    @Test
    fun `a submission repeated at every member costs no write`() {
        world.clock.after(5.0) { world.submit(job) }
        world.clock.after(15.0) {
            val before = world.state.writes
            repeat(20) { i -> world.members.forEach { world.clock.after(0.05 * i) { world.submitOnce(job, it) } } }
            world.clock.after(2.0) { assertTrue(world.state.writes - before < 10, "${world.state.writes - before} writes") }
        }
        world.run(80.0)
        verdict(job.id)
    }
}
