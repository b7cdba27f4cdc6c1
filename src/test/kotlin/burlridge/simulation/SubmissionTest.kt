package burlridge.simulation

import burlridge.job.JobSpec
import burlridge.job.JobSpecCodec
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

/** Checks the response to a submission, which must be the same from every member and for every repetition. */
internal class SubmissionTest {
    private fun SimulatedCluster.submissionStatuses(spec: JobSpec): Set<Int> {
        val statuses = HashSet<Int>()
        members.forEach { member ->
            repeat(2) { i ->
                clock.after(20.0 + 2 * i) {
                    request(
                        "user",
                        member,
                        "POST",
                        "/api/jobs",
                        JobSpecCodec.encode(spec).toString(),
                        5.0,
                    ) { status, _ -> statuses += status }
                }
            }
        }
        run(clock.now + 30.0)
        return statuses
    }

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
}
