package burlridge.simulation

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

/** Checks that the history checker detects a planted violation of each kind, and reports nothing else. */
internal class ExecutionHistoryTest {
    private val history = ExecutionHistory()

    private fun recordResponse(
        job: String,
        status: Int,
        jobState: String?,
        at: Double,
        askedAt: Double = at - 0.01,
        member: String = "drover-0",
    ) {
        history.userResponses += ExecutionHistory.UserResponse(job, member, status, jobState, askedAt, at)
    }

    private fun violations() = history.violations(listOf("j-1")).map { it.substringBefore(':') }

    @Test
    fun `a correct history has no violation`() {
        recordResponse("j-1", 201, "queued", 1.0)
        recordResponse("j-1", 200, "running", 2.0)
        recordResponse("j-1", 200, "done", 3.0)
        // Requested before any response reported the end, and answered afterwards.
        recordResponse("j-1", 200, "running", 3.1, askedAt = 2.9, member = "drover-1")
        recordResponse("j-1", 503, null, 4.0)
        recordResponse("j-2", 404, null, 4.0)
        history.started("j-1/0", "m-1", 1.0)
        history.ended("j-1/0", "m-1", 2.0)
        history.started("j-1/0", "m-2", 2.0)
        history.ended("j-1/0", "m-2", 3.0)
        assertEquals(emptyList<String>(), violations())
    }

    @Test
    fun `two final states are reported, even if they arrive at the same time`() {
        recordResponse("j-1", 200, "done", 3.0)
        recordResponse("j-1", 200, "withdrawn", 3.0, askedAt = 2.0)
        assertEquals(listOf("two finals"), violations())
    }

    @Test
    fun `a final state that changes is reported`() {
        recordResponse("j-1", 200, "done", 3.0)
        recordResponse("j-1", 200, "running", 4.0, member = "drover-1")
        assertEquals(listOf("changed final"), violations())
    }

    @Test
    fun `an accepted job without a final state is reported`() {
        recordResponse("j-1", 201, "queued", 1.0)
        assertEquals(listOf("lost"), violations())
    }

    @Test
    fun `an accepted job that is answered 404 is reported`() {
        recordResponse("j-1", 200, "done", 1.0)
        recordResponse("j-1", 404, null, 2.0)
        assertEquals(listOf("forgotten"), violations())
    }

    @Test
    fun `a task that runs on two machines at once is reported`() {
        history.started("j-1/0", "m-1", 1.0)
        history.started("j-1/0", "m-2", 1.5)
        history.ended("j-1/0", "m-1", 2.0)
        history.ended("j-1/0", "m-2", 3.0)
        assertEquals(listOf("overlap"), violations())
    }

    @Test
    fun `a start on a drained machine is reported, unless it is within the slack or after the drain`() {
        history.acceptedDrains += ExecutionHistory.AcceptedDrain({ it == "m-1" }, from = 10.0, until = 30.0)
        listOf(11.0, 31.0).forEach { history.started("j-1/0", "m-1", it) }
        history.started("j-1/1", "m-2", 20.0)
        assertEquals(emptyList<String>(), history.drainViolations(slackSeconds = 2.0))
        history.started("j-1/2", "m-1", 20.0)
        assertEquals(listOf("drain forgotten"), history.drainViolations(slackSeconds = 2.0).map { it.substringBefore(':') })
    }

    @Test
    fun `more moves than the budget allows in a minute or for one task are reported`() {
        listOf(0.0, 30.0, 61.0).forEachIndexed { i, at -> history.stopped("j-1/$i", at) }
        repeat(9) { history.stopped("j-2/$it", 10.0, ofGang = true) }
        assertEquals(emptyList<String>(), history.moveViolations(perMinute = 2, perTask = 1))
        history.stopped("j-1/0", 89.0)
        val violations = history.moveViolations(perMinute = 2, perTask = 1).map { it.substringBefore(':') }
        assertEquals(listOf("over budget", "moved too often"), violations)
    }
}
