package burlridge.simulation

import burlridge.simulation.SimulatedCluster.CallFault
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** No member tells a user anything older than what another has told, whoever asks what at which moment. */
internal class AnswersTest {
    private val cluster = SimulatedCluster(17)

    private fun verdict(vararg jobs: String) {
        assertEquals(emptyList<String>(), cluster.invariants.violations, cluster.log.takeLast(30).joinToString("\n"))
        assertEquals(emptyList<String>(), jobs.filterNot { cluster.invariants.finished(it) }, "not over")
    }

    /** The transaction that ends a job is carried out, and its answer does not come for [seconds]; other members read the rows. */
    private fun endsUnheard(
        standing: String,
        seconds: Double,
    ) {
        cluster.onCall = { _, call ->
            val end = call.path == "/multi" && "\"over/" in call.body.orEmpty() && "\"$standing\"" in call.body.orEmpty()
            if (!end || met > 0) {
                CallFault.NONE
            } else {
                met++
                val leader = cluster.leader()
                cluster.members.forEach { if (it != leader && leader != null) cluster.cut(it, leader, seconds) }
                // Each member in turn, again and again: those cut off go by the rows, the leader by its own picture.
                repeat(40) { i -> cluster.members.forEach { m -> cluster.clock.after(0.05 * i) { cluster.queryJob(job, m) } } }
                repeat(5) { i -> cluster.members.forEach { m -> cluster.clock.after(0.3 * i) { cluster.submitOnce(job, m) } } }
                CallFault.ANSWER_LOST
            }
        }
    }

    private var met = 0
    private val job = cluster.job(1, 2, runSeconds = 20.0)

    /** Guards the doubt about an end whose transaction is under way: its leader said `running` of a job that others called over. */
    @Test
    fun `a cancellation of which only the answer is lost is not called running by its leader`() {
        endsUnheard("withdrawn", 4.0)
        cluster.clock.after(5.0) { cluster.submit(job) }
        cluster.clock.after(25.0) { cluster.abort(job) }
        cluster.run(90.0)
        assertEquals(1, met)
        verdict(job.id)
    }

    @Test
    fun `an end of which only the answer is lost is not called running by its leader`() {
        endsUnheard("done", 4.0)
        cluster.clock.after(5.0) { cluster.submit(job) }
        cluster.run(90.0)
        assertEquals(1, met)
        verdict(job.id)
    }

    private fun load(
        every: Double,
        count: Int,
    ): List<String> =
        (0 until count).map { i ->
            val spec = cluster.job(100 + i, 1 + i % 2, runSeconds = 2.0 + i % 5)
            val abortAfter = if (i % 3 == 0) 0.02 + (i % 11) * 0.9 else null
            cluster.clock.after(20.0 + every * i) { cluster.submit(spec, abortAfter) }
            spec.id
        }

    @Test
    fun `close looks at all members while answers of the state service are lost and leaders change`() {
        cluster.queryAllMembersOnChange = true
        cluster.onCall =
            { _, call -> if (call.path == "/multi" && cluster.random.nextInt(4) == 0) CallFault.ANSWER_LOST else CallFault.NONE }
        val jobs = load(1.0, 70)
        repeat(6) { i -> cluster.clock.after(30.0 + 10 * i) { cluster.leader()?.let { cluster.crash(it, 0.3) } } }
        cluster.clock.after(110.0) { cluster.onCall = { _, _ -> CallFault.NONE } }
        cluster.run(200.0)
        verdict(*jobs.toTypedArray())
    }

    /** Guards the stamp under which progress is written, and every other row: what comes late must meet a row that is newer. */
    @Test
    fun `close looks at all members while transactions are carried out late, after newer ones`() {
        cluster.queryAllMembersOnChange = true
        cluster.lateSeconds = 12.0
        cluster.onCall = { _, call -> if (call.path == "/multi" && cluster.random.nextInt(5) == 0) CallFault.DELAYED else CallFault.NONE }
        val jobs = load(1.0, 60)
        repeat(3) { i -> cluster.clock.after(35.0 + 17 * i) { cluster.leader()?.let { cluster.crash(it, 1.0) } } }
        cluster.clock.after(110.0) { cluster.onCall = { _, _ -> CallFault.NONE } }
        cluster.run(220.0)
        verdict(*jobs.toTypedArray())
    }

    @Test
    fun `a cancellation, a question and a repeated submission meet the end of the last task`() {
        cluster.queryAllMembersOnChange = true
        val jobs =
            (0 until 40).map { i ->
                val spec = cluster.job(i, 1, runSeconds = 3.0)
                cluster.clock.after(20.0 + i) { cluster.submit(spec, abortAfter = 3.0 + i * 0.06) }
                spec.id
            }
        cluster.run(120.0)
        verdict(*jobs.toTypedArray())
    }

    @Test
    fun `a job is cancelled at another member the moment it was accepted, and its submission repeated`() {
        cluster.queryAllMembersOnChange = true
        val jobs =
            (0 until 30).map { i ->
                val spec = cluster.job(i, 2, runSeconds = 10.0)
                cluster.clock.after(20.0 + i * 0.7) { cluster.submit(spec) }
                cluster.clock.after(20.0 + i * 0.7 + 0.012) { cluster.abort(spec, cluster.members[i % 3]) }
                spec.id
            }
        cluster.run(120.0)
        verdict(*jobs.toTypedArray())
    }

    /** Guards the numbers of questions between members: a reply to a member's former self named another job. */
    @Test
    fun `a member back at once takes no reply that its former self had asked for`() {
        cluster.peerDelaySeconds = { if (cluster.random.nextInt(3) == 0) 0.4 else 0.001 }
        val jobs = load(0.5, 80)
        repeat(150) { i ->
            cluster.clock.after(22.0 + 0.31 * i) {
                val member = cluster.members.first { it != cluster.leader() }
                cluster.crash(member, 0.05)
                jobs.forEach { id -> cluster.clock.after(0.1) { cluster.queryJobById(id, member) } }
            }
        }
        cluster.run(150.0)
        assertTrue(cluster.invariants.starts > 0)
        verdict(*jobs.toTypedArray())
    }

    /** Guards the members' memory of what was accepted: a repeat was tried as a write, and writes are what all share least of. */
    @Test
    fun `a submission repeated at every member costs no write`() {
        cluster.clock.after(5.0) { cluster.submit(job) }
        cluster.clock.after(15.0) {
            val before = cluster.state.writes
            repeat(20) { i -> cluster.members.forEach { cluster.clock.after(0.05 * i) { cluster.submitOnce(job, it) } } }
            cluster.clock.after(2.0) { assertTrue(cluster.state.writes - before < 10, "${cluster.state.writes - before} writes") }
        }
        cluster.run(80.0)
        verdict(job.id)
    }
}
