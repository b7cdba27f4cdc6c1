package burlridge.simulation

import burlridge.job.JobSpecCodec
import burlridge.json.Json
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/**
 * Guards against a final state that a member keeps from another member's answer although the answer does not describe it in full: a member
 * that had passed on the cancellation of a job that was done counted none of its tasks as done, for as long as it ran.
 */
internal class FinalStateTest {
    private val cluster = SimulatedCluster(29)
    private val job = cluster.job(1, 4, runSeconds = 3.0)

    private fun request(
        member: String,
        method: String,
        path: String,
        body: String = "",
    ): String {
        var response = ""
        cluster.request("user", member, method, path, body, 5.0) { status, text -> response = "$status $text" }
        cluster.run(cluster.clock.now + 5.0)
        return response
    }

    private fun doneCountAt(member: String): Int =
        Json.parse(request(member, "GET", "/api/jobs/${job.id}").substringAfter(' ')).path("done").asInt(-1)

    private fun finishJob() {
        cluster.clock.after(5.0) { cluster.submit(job) }
        cluster.run(60.0)
        assertTrue(cluster.invariants.finished(job.id))
    }

    private fun followers(): List<String> = cluster.members.filter { it != cluster.leader() }

    /** The failure that the second review found, and the same for a submission that is repeated at the end of its job. */
    @Test
    fun `a member that passes on a cancellation or a submission of a job that is done counts its tasks as the leader does`() {
        finishJob()
        // After their restart, the members know of the job only what they are told.
        followers().forEach { cluster.crash(it, 0.5) }
        cluster.run(cluster.clock.now + 10)
        val (cancelling, repeating) = followers()
        assertTrue("\"standing\":\"done\"" in request(cancelling, "POST", "/api/jobs/${job.id}/abort"))
        assertTrue("\"standing\":\"done\"" in request(repeating, "POST", "/api/jobs", JobSpecCodec.encode(job).toString()))
        assertEquals(List(3) { 4 }, cluster.members.map { doneCountAt(it) })
        assertEquals(emptyList<String>(), cluster.invariants.violations)
    }

    /** A member of the version before may have kept such a state, and answers so. */
    @Test
    fun `an answer that names no task, or another job, is not kept as a final state`() {
        finishJob()
        val member = followers().first()
        cluster.crash(member, 0.5)
        cluster.run(cluster.clock.now + 10)
        val alterations =
            listOf<(String) -> String>(
                { it.replace("\"done\":4", "\"done\":0") },
                { it.replace("\"done\":4", "\"done\":\"4\"") },
                { it.replace(job.id, "j-000009") },
            )
        for (alteration in alterations) {
            var altered = 0
            cluster.replaceForwardedAnswer = { body -> alteration(body).also { if (it != body) altered++ } }
            request(member, "GET", "/api/jobs/${job.id}")
            assertEquals(1, altered)
        }
        cluster.replaceForwardedAnswer = { it }
        assertEquals(4, doneCountAt(member))
    }
}
