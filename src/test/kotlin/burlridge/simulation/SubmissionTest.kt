package burlridge.simulation

import burlridge.job.JobSpec
import burlridge.job.JobSpecCodec
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** Checks the response to a submission, which must be the same from every member and for every repetition. */
internal class SubmissionTest {
    /** Submits [body] twice to each member and returns the distinct responses, each as its status and body. */
    private fun SimulatedCluster.submissionResponses(body: String): Set<Pair<Int, String>> {
        val responses = HashSet<Pair<Int, String>>()
        members.forEach { member ->
            repeat(2) { i ->
                clock.after(20.0 + 2 * i) {
                    request("user", member, "POST", "/api/jobs", body, 5.0) { status, response -> responses += status to response }
                }
            }
        }
        run(clock.now + 30.0)
        return responses
    }

    private fun SimulatedCluster.submissionStatuses(spec: JobSpec): Set<Int> =
        submissionResponses(JobSpecCodec.encode(spec).toString()).mapTo(HashSet()) { it.first }

    private fun newCluster() = SimulatedCluster(41, nextStateLimits = """{"value_kb":2,"txn_ops":4}""")

    @Test
    fun `a gang that needs more than its team's limit is refused, an array of the same size is accepted`() {
        assertEquals(setOf(422), newCluster().submissionStatuses(newCluster().gang(1, 60, team = "crew-x")))
        assertEquals(setOf(201, 200), newCluster().submissionStatuses(newCluster().job(1, 60, team = "crew-x")))
    }

    @Test
    fun `a gang that must be both in one zone and spread over two is refused`() {
        assertEquals(setOf(422), newCluster().submissionStatuses(newCluster().gang(1, 4).copy(spread = true)))
        assertEquals(setOf(201, 200), newCluster().submissionStatuses(newCluster().gang(1, 4, oneZone = false).copy(spread = true)))
    }

    /** Guards against rows above the maximum value size of the state service: such a row would be refused at every retry. */
    @Test
    fun `a job whose description exceeds the size of a row is refused`() {
        val oversized = newCluster().job(1, 2).copy(machineTypes = listOf("small") + (1..29).map { "type-%0195d".format(it) })
        assertEquals(setOf(422), newCluster().submissionStatuses(oversized))
    }

    @Test
    fun `gangs are refused by a deployment that does not support them`() {
        assertEquals(setOf(400), SimulatedCluster(42, startsOnOldVersion = true).submissionStatuses(newCluster().gang(1, 2)))
    }

    /** Guards against a request that ends every controller which receives it: no row can hold half of a surrogate pair. */
    @Test
    fun `a text that is not valid Unicode is refused with the name of its field, and accepted jobs go on`() {
        val cluster = newCluster()
        val accepted = cluster.job(1, 2, runSeconds = 60.0)
        cluster.clock.after(5.0) { cluster.submit(accepted) }
        val valid = JobSpecCodec.encode(cluster.job(2, 1, zone = "a").copy(machineTypes = listOf("small"))).toString()
        val texts = mapOf("lane" to "urgent", "crew" to "crew-y", "bundle" to "img-1", "yard" to "a", "breeds" to "small")
        for ((field, text) in texts) {
            val body = valid.replace("\"$text\"", "\"$text\\ud83d\"")
            val refusal = """{"error":"$field must be valid Unicode"}"""
            assertEquals(setOf(400 to refusal), cluster.submissionResponses(body))
        }
        assertEquals(emptyList<String>(), cluster.invariants.violations)
        assertTrue(cluster.invariants.finished(accepted.id), "the accepted job has not finished")
    }

    @Test
    fun `text outside the basic plane and unknown fields that are not valid Unicode are accepted`() {
        val cluster = newCluster()
        val body = JobSpecCodec.encode(cluster.job(1, 1).copy(image = "image")).toString().replace("\"image\"", "\"\\ud83d\\ude00\"")
        val statuses = cluster.submissionResponses(body.replaceFirst("{", """{"later":"\ud83d","\ud83d":1,""")).map { it.first }
        assertEquals(setOf(201, 200), statuses.toSet())
    }
}
