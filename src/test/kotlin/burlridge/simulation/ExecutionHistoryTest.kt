package burlridge.simulation

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

/** Shows that the checker of histories catches a planted breach of each kind, and nothing else. */
internal class ExecutionHistoryTest {
    private val history = ExecutionHistory()

    private fun told(
        job: String,
        status: Int,
        standing: String?,
        at: Double,
        askedAt: Double = at - 0.01,
        member: String = "drover-0",
    ) {
        history.told += ExecutionHistory.Told(job, member, status, standing, askedAt, at)
    }

    private fun breaches() = history.breaches(listOf("j-1")).map { it.substringBefore(':') }

    @Test
    fun `a good history has no breach`() {
        told("j-1", 201, "queued", 1.0)
        told("j-1", 200, "running", 2.0)
        told("j-1", 200, "done", 3.0)
        // Asked before the end was told anywhere, and answered after.
        told("j-1", 200, "running", 3.1, askedAt = 2.9, member = "drover-1")
        told("j-1", 503, null, 4.0)
        told("j-2", 404, null, 4.0)
        history.started("j-1/0", "m-1", 1.0)
        history.ended("j-1/0", "m-1", 2.0)
        history.started("j-1/0", "m-2", 2.0)
        history.ended("j-1/0", "m-2", 3.0)
        assertEquals(emptyList<String>(), breaches())
    }

    @Test
    fun `two finals, even at the same moment`() {
        told("j-1", 200, "done", 3.0)
        told("j-1", 200, "withdrawn", 3.0, askedAt = 2.0)
        assertEquals(listOf("two finals"), breaches())
    }

    @Test
    fun `a final that changes`() {
        told("j-1", 200, "done", 3.0)
        told("j-1", 200, "running", 4.0, member = "drover-1")
        assertEquals(listOf("changed final"), breaches())
    }

    @Test
    fun `a job that is lost`() {
        told("j-1", 201, "queued", 1.0)
        assertEquals(listOf("lost"), breaches())
    }

    @Test
    fun `a job that is forgotten`() {
        told("j-1", 200, "done", 1.0)
        told("j-1", 404, null, 2.0)
        assertEquals(listOf("forgotten"), breaches())
    }

    @Test
    fun `a start beside another`() {
        history.started("j-1/0", "m-1", 1.0)
        history.started("j-1/0", "m-2", 1.5)
        history.ended("j-1/0", "m-1", 2.0)
        history.ended("j-1/0", "m-2", 3.0)
        assertEquals(listOf("overlap"), breaches())
    }

    @Test
    fun `a drain that is forgotten`() {
        history.drained += ExecutionHistory.Drained({ it == "m-1" }, from = 10.0, until = 30.0)
        listOf(11.0, 31.0).forEach { history.started("j-1/0", "m-1", it) }
        history.started("j-1/1", "m-2", 20.0)
        assertEquals(emptyList<String>(), history.drainBreaches(slackSeconds = 2.0))
        history.started("j-1/2", "m-1", 20.0)
        assertEquals(listOf("drain forgotten"), history.drainBreaches(slackSeconds = 2.0).map { it.substringBefore(':') })
    }

    @Test
    fun `more moves than the budget, or of one task`() {
        listOf(0.0, 30.0, 61.0).forEachIndexed { i, at -> history.stopped("j-1/$i", at) }
        repeat(9) { history.stopped("j-2/$it", 10.0, ofGang = true) }
        assertEquals(emptyList<String>(), history.moveBreaches(perMinute = 2, perTask = 1))
        history.stopped("j-1/0", 89.0)
        val breaches = history.moveBreaches(perMinute = 2, perTask = 1).map { it.substringBefore(':') }
        assertEquals(listOf("over budget", "moved too often"), breaches)
    }
}
