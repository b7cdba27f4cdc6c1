package burlridge.simulation

import burlridge.simulation.SimulatedCluster.CallFault
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/**
 * Checks that reported job states never go back: once a member has reported a state of a job, no member reports an older one, whatever
 * users send and when.
 */
internal class AnswersTest {
    private val cluster = SimulatedCluster(17)

    private fun assertFinishedWithoutViolations(vararg jobIds: String) {
        assertEquals(emptyList<String>(), cluster.invariants.violations, cluster.log.takeLast(30).joinToString("\n"))
        assertEquals(emptyList<String>(), jobIds.filterNot { cluster.invariants.finished(it) }, "not finished")
    }

    /**
     * Executes the transaction that finishes a job but loses its response, and partitions the leader from the other members for
     * [partitionSeconds]. Meanwhile all members are queried, and the submission is repeated.
     */
    private fun loseResponseToFinish(
        state: String,
        partitionSeconds: Double,
    ) {
        cluster.onCall = { _, call ->
            val isFinish = call.path == "/multi" && "\"over/" in call.body.orEmpty() && "\"$state\"" in call.body.orEmpty()
            if (!isFinish || lostResponses > 0) {
                CallFault.NONE
            } else {
                lostResponses++
                val leader = cluster.leader()
                cluster.members.forEach { if (it != leader && leader != null) cluster.partition(it, leader, partitionSeconds) }
                // Queries each member repeatedly: the partitioned ones answer from the rows, the leader from its own state.
                repeat(40) { i -> cluster.members.forEach { m -> cluster.clock.after(0.05 * i) { cluster.queryJob(job, m) } } }
                repeat(5) { i -> cluster.members.forEach { m -> cluster.clock.after(0.3 * i) { cluster.submitOnce(job, m) } } }
                CallFault.RESPONSE_LOST
            }
        }
    }

    private var lostResponses = 0
    private val job = cluster.job(1, 2, runSeconds = 20.0)

    /**
     * Guards the check for an in-flight transaction that finishes a job: a leader reported the job as `running` that others reported as
     * finished.
     */
    @Test
    fun `a leader does not report a cancelled job as running when only the response to its transaction is lost`() {
        loseResponseToFinish("withdrawn", 4.0)
        cluster.clock.after(5.0) { cluster.submit(job) }
        cluster.clock.after(25.0) { cluster.abort(job) }
        cluster.run(90.0)
        assertEquals(1, lostResponses)
        assertFinishedWithoutViolations(job.id)
    }

    @Test
    fun `a leader does not report a completed job as running when only the response to its transaction is lost`() {
        loseResponseToFinish("done", 4.0)
        cluster.clock.after(5.0) { cluster.submit(job) }
        cluster.run(90.0)
        assertEquals(1, lostResponses)
        assertFinishedWithoutViolations(job.id)
    }

    private fun submitJobs(
        intervalSeconds: Double,
        count: Int,
    ): List<String> =
        (0 until count).map { i ->
            val spec = cluster.job(100 + i, 1 + i % 2, runSeconds = 2.0 + i % 5)
            val abortAfter = if (i % 3 == 0) 0.02 + (i % 11) * 0.9 else null
            cluster.clock.after(20.0 + intervalSeconds * i) { cluster.submit(spec, abortAfter) }
            spec.id
        }

    @Test
    fun `responses of all members are consistent while responses of the state service are lost and leaders change`() {
        cluster.queryAllMembersOnChange = true
        cluster.onCall =
            { _, call -> if (call.path == "/multi" && cluster.random.nextInt(4) == 0) CallFault.RESPONSE_LOST else CallFault.NONE }
        val jobs = submitJobs(1.0, 70)
        repeat(6) { i -> cluster.clock.after(30.0 + 10 * i) { cluster.leader()?.let { cluster.crash(it, 0.3) } } }
        cluster.clock.after(110.0) { cluster.onCall = { _, _ -> CallFault.NONE } }
        cluster.run(200.0)
        assertFinishedWithoutViolations(*jobs.toTypedArray())
    }

    /**
     * Guards the revision conditions under which progress rows and all others are written: a late transaction must find a newer row and
     * fail.
     */
    @Test
    fun `responses of all members are consistent while transactions are executed late, after newer ones`() {
        cluster.queryAllMembersOnChange = true
        cluster.lateSeconds = 12.0
        cluster.onCall = { _, call -> if (call.path == "/multi" && cluster.random.nextInt(5) == 0) CallFault.DELAYED else CallFault.NONE }
        val jobs = submitJobs(1.0, 60)
        repeat(3) { i -> cluster.clock.after(35.0 + 17 * i) { cluster.leader()?.let { cluster.crash(it, 1.0) } } }
        cluster.clock.after(110.0) { cluster.onCall = { _, _ -> CallFault.NONE } }
        cluster.run(220.0)
        assertFinishedWithoutViolations(*jobs.toTypedArray())
    }

    @Test
    fun `responses are consistent when cancellations, queries and repeated submissions coincide with the end of a job`() {
        cluster.queryAllMembersOnChange = true
        val jobs =
            (0 until 40).map { i ->
                val spec = cluster.job(i, 1, runSeconds = 3.0)
                cluster.clock.after(20.0 + i) { cluster.submit(spec, abortAfter = 3.0 + i * 0.06) }
                spec.id
            }
        cluster.run(120.0)
        assertFinishedWithoutViolations(*jobs.toTypedArray())
    }

    @Test
    fun `responses are consistent when a job is cancelled right after its acceptance and its submission is repeated`() {
        cluster.queryAllMembersOnChange = true
        val jobs =
            (0 until 30).map { i ->
                val spec = cluster.job(i, 2, runSeconds = 10.0)
                cluster.clock.after(20.0 + i * 0.7) { cluster.submit(spec) }
                cluster.clock.after(20.0 + i * 0.7 + 0.012) { cluster.abort(spec, cluster.members[i % 3]) }
                spec.id
            }
        cluster.run(120.0)
        assertFinishedWithoutViolations(*jobs.toTypedArray())
    }

    /**
     * Guards the ids of requests between members: after a restart, a response to a request of the previous process was taken for the
     * response to a new one, and named another job.
     */
    @Test
    fun `a member that restarts at once ignores responses to requests of its previous process`() {
        cluster.peerDelaySeconds = { if (cluster.random.nextInt(3) == 0) 0.4 else 0.001 }
        val jobs = submitJobs(0.5, 80)
        repeat(150) { i ->
            cluster.clock.after(22.0 + 0.31 * i) {
                val member = cluster.members.first { it != cluster.leader() }
                cluster.crash(member, 0.05)
                jobs.forEach { id -> cluster.clock.after(0.1) { cluster.queryJobById(id, member) } }
            }
        }
        cluster.run(150.0)
        assertTrue(cluster.invariants.starts > 0)
        assertFinishedWithoutViolations(*jobs.toTypedArray())
    }

    /**
     * Guards the members' record of accepted jobs: without it a repeated submission attempted a write, and writes are the scarcest resource
     * that all members share.
     */
    @Test
    fun `a submission repeated at every member costs no write`() {
        cluster.clock.after(5.0) { cluster.submit(job) }
        cluster.clock.after(15.0) {
            val before = cluster.state.writes
            repeat(20) { i -> cluster.members.forEach { cluster.clock.after(0.05 * i) { cluster.submitOnce(job, it) } } }
            cluster.clock.after(2.0) { assertTrue(cluster.state.writes - before < 10, "${cluster.state.writes - before} writes") }
        }
        cluster.run(80.0)
        assertFinishedWithoutViolations(job.id)
    }
}
