package burlridge.simulation

import burlridge.job.JobSpec
import burlridge.job.JobSpecCodec
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

/** The verdict on a submission, the same for every repeat of it and from every member. */
internal class SubmissionTest {
    private fun SimulatedCluster.verdicts(spec: JobSpec): Set<Int> {
        val answers = HashSet<Int>()
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
                    ) { status, _ -> answers += status }
                }
            }
        }
        run(clock.now + 30.0)
        return answers
    }

    private fun cluster() = SimulatedCluster(41, nextStateLimits = """{"value_kb":2,"txn_ops":4}""")

    @Test
    fun `a gang that needs more than its team's limit for all can never run, an array of the same size can`() {
        assertEquals(setOf(422), cluster().verdicts(cluster().gang(1, 60, team = "crew-x")))
        assertEquals(setOf(201, 200), cluster().verdicts(cluster().job(1, 60, team = "crew-x")))
    }

    @Test
    fun `a gang that must be in one zone and spread over two can never run`() {
        assertEquals(setOf(422), cluster().verdicts(cluster().gang(1, 4).copy(spread = true)))
        assertEquals(setOf(201, 200), cluster().verdicts(cluster().gang(1, 4, oneZone = false).copy(spread = true)))
    }

    /** Guards the state service's value size: such a row would be refused at every retry. */
    @Test
    fun `a description longer than a row can never run`() {
        val long = cluster().job(1, 2).copy(machineTypes = listOf("small") + (1..29).map { "type-%0195d".format(it) })
        assertEquals(setOf(422), cluster().verdicts(long))
    }

    @Test
    fun `where the platform knows no gangs they are refused with a reason`() {
        assertEquals(setOf(400), SimulatedCluster(42, startsOnOldVersion = true).verdicts(cluster().gang(1, 2)))
    }
}
