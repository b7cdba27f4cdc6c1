package burlridge.simulation

import burlridge.job.JobSpecCodec
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/**
 * Guards against answers about a job that are older than the protocol permits: a member that could not reach the leader, or a leader that
 * had no report yet, called a running job queued. [InvariantChecker] compares each answer with what ran.
 */
internal class StateLagTest {
    private val cluster = SimulatedCluster(23)
    private val job = cluster.job(1, 1, runSeconds = 80.0)

    /** The states in the answers with status 200 or 201, by member. */
    private val answers = HashMap<String, ArrayList<String>>()

    private fun leader(): String = checkNotNull(cluster.leader())

    private fun followers(): List<String> = cluster.members.filter { it != leader() }

    private fun assertNoViolations() = assertEquals(emptyList<String>(), cluster.invariants.violations.take(5))

    /** Queries the job and repeats its submission at [member] every [intervalSeconds] for [seconds]. */
    private fun ask(
        member: String,
        seconds: Double,
        intervalSeconds: Double = 0.5,
    ) {
        val submission = JobSpecCodec.encode(job).toString()
        for (i in 0 until (seconds / intervalSeconds).toInt()) {
            cluster.clock.after(i * intervalSeconds) {
                ask(member, "GET", "/api/jobs/${job.id}", "")
                ask(member, "POST", "/api/jobs", submission)
            }
        }
    }

    private fun ask(
        member: String,
        method: String,
        path: String,
        body: String,
    ) {
        val askedAt = cluster.clock.now
        cluster.request("user", member, method, path, body, USER_TIMEOUT_SECONDS) { status, response ->
            val state = cluster.jobStateOf(response)
            cluster.invariants.answered(job.id, status, state, submission = method == "POST", askedAt)
            if (state != null) answers.getOrPut(member) { ArrayList() } += state
        }
    }

    private fun startJob() {
        cluster.clock.after(5.0) { cluster.submit(job) }
        cluster.run(RUNS_FROM_SECONDS)
        assertTrue(cluster.invariants.firstStart(job.id) in 0.0..RUNS_FROM_SECONDS - 10, "the job does not run yet")
    }

    /** The failure that the second review found: sixteen of sixteen answers were wrong. */
    @Test
    fun `a member that does not reach the leader gives the leader's answer through another member`() {
        startJob()
        val member = followers().first()
        cluster.partition(leader(), member, 20.0)
        ask(member, 20.0)
        cluster.run(RUNS_FROM_SECONDS + 20)
        assertNoViolations()
        assertEquals(setOf("running"), answers.getValue(member).toSet())
        assertTrue(answers.getValue(member).size > 70, "${answers.getValue(member).size} of 80 answers name a state")
    }

    @Test
    fun `a member that reaches no other member does not tell whether a task runs`() {
        startJob()
        val member = followers().first()
        cluster.partitionFromPeers(member, 20.0)
        cluster.clock.after(1.0) { ask(member, 19.0) }
        cluster.run(RUNS_FROM_SECONDS + 20)
        assertNoViolations()
        assertEquals(null, answers[member])
    }

    /** After its restart, a member does not remember that it accepted the job, and learns so only from the rows. */
    @Test
    fun `a member that restarts while it does not reach the leader repeats no old state`() {
        startJob()
        val member = followers().first()
        cluster.partition(leader(), member, 20.0)
        cluster.crash(member, 0.2)
        cluster.clock.after(0.5) { ask(member, 19.0) }
        cluster.run(RUNS_FROM_SECONDS + 20)
        assertNoViolations()
        assertEquals(setOf("running"), answers.getValue(member).toSet())
    }

    @Test
    fun `a new leader does not call a running job queued before the first reports`() {
        startJob()
        val former = leader()
        cluster.crash(former, 3.0)
        cluster.members.forEach { ask(it, 25.0, intervalSeconds = 0.05) }
        cluster.run(RUNS_FROM_SECONDS + 26)
        assertTrue(leader() != former)
        assertNoViolations()
        assertEquals(setOf("running"), answers.values.flatten().toSet())
    }

    /** The worker of a machine that is cut off kills the task when its lease expires, and nobody learns of it. */
    @Test
    fun `a leader that has lost a machine does not tell whether its task runs`() {
        startJob()
        cluster.cloud.machineIds().forEach { machine -> cluster.members.forEach { cluster.partition(it, machine, 15.0) } }
        val runsUntil = cluster.clock.now
        cluster.members.forEach { ask(it, 15.0) }
        cluster.run(runsUntil + 4)
        val answersInLag = answers.values.sumOf { it.size }
        cluster.run(runsUntil + 15)
        assertNoViolations()
        assertEquals(answersInLag, answers.values.sumOf { it.size }, "a state without a report")
    }

    /** Heartbeats are further apart than the lag, so that the answers of a steady leader need reports of their own. */
    @Test
    fun `a steady leader answers every question about a running task`() {
        val slow = SimulatedCluster(23, times = WorkerTimes(reportSeconds = 6.0))
        val single = slow.job(1, 1, runSeconds = 80.0)
        slow.clock.after(5.0) { slow.submit(single) }
        var unanswered = 0
        repeat(200) { i ->
            slow.clock.after(RUNS_FROM_SECONDS + i * 0.1) {
                slow.request("user", slow.anyMember(), "GET", "/api/jobs/${single.id}", "", USER_TIMEOUT_SECONDS) { status, body ->
                    if (status != 200 || slow.jobStateOf(body) != "running") unanswered++
                }
            }
        }
        slow.run(RUNS_FROM_SECONDS + 25)
        assertEquals(emptyList<String>(), slow.invariants.violations)
        assertEquals(0, unanswered)
    }

    private companion object {
        const val USER_TIMEOUT_SECONDS = 2.0
        const val RUNS_FROM_SECONDS = 45.0
    }
}
