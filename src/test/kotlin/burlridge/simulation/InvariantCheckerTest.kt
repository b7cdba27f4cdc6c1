package burlridge.simulation

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

/** Shows that the checker of rules catches a planted breach of each. */
internal class InvariantCheckerTest {
    private val cluster = SimulatedCluster(1)
    private val invariants = InvariantChecker(cluster.clock, 54.0, mapOf("crew-x" to 4.0))
    private val spec = cluster.job(1, 2, cpus = 4.0, team = "crew-x")
    private val one = Worker(cluster, "m-1", "small", "a", false, "10.1.0.1:1")
    private val two = Worker(cluster, "m-2", "small", "b", true, "10.1.0.2:1")

    private fun broken(): List<String> = invariants.broken.map { it.substringBefore(' ') }

    private fun accept() {
        invariants.submitted(spec)
        invariants.answered(spec.id, 201, "queued", true)
    }

    @Test
    fun `a task on two machines`() {
        invariants.submitted(cluster.job(1, 2))
        invariants.started("j-000001/0", one)
        invariants.started("j-000001/0", two)
        assertEquals(listOf("ran_twice"), broken())
    }

    @Test
    fun `a team above its limit`() {
        accept()
        invariants.started("j-000001/0", one)
        invariants.started("j-000001/1", two)
        assertEquals(listOf("quota"), broken())
    }

    @Test
    fun `a task in the wrong zone, on the wrong kind, apart or crowded`() {
        invariants.submitted(cluster.job(2, 4, zone = "b"))
        invariants.submitted(cluster.job(3, 4, spot = false))
        invariants.submitted(cluster.job(4, 4, oneZone = true))
        invariants.submitted(cluster.job(5, 2, spread = true))
        invariants.started("j-000002/0", one)
        invariants.started("j-000003/0", two)
        invariants.started("j-000004/0", one)
        invariants.started("j-000004/1", two)
        invariants.started("j-000005/0", one)
        invariants.started("j-000005/1", one)
        assertEquals(List(4) { "wrong_place" }, broken())
    }

    @Test
    fun `a cancelled job that runs on`() {
        accept()
        invariants.started("j-000001/0", one)
        invariants.askedToAbort(spec.id)
        invariants.answered(spec.id, 200, "withdrawn", false)
        cluster.clock.runUntil(53.0)
        invariants.sweep()
        assertEquals(emptyList<String>(), broken())
        cluster.clock.runUntil(55.0)
        invariants.sweep()
        assertEquals(listOf("ran_cancelled"), broken())
    }

    @Test
    fun `a team above its limit of GPUs`() {
        val gpus = InvariantChecker(cluster.clock, 54.0, emptyMap(), mapOf("crew-y" to 1.0))
        gpus.submitted(cluster.job(1, 2).let { it.copy(taskResources = it.taskResources.copy(gpus = 1.0)) })
        gpus.started("j-000001/0", one)
        assertEquals(emptyList<String>(), gpus.broken)
        gpus.started("j-000001/1", two)
        assertEquals(listOf("quota"), gpus.broken.map { it.substringBefore(' ') })
    }

    @Test
    fun `a job accepted that cannot run, a start after a cancellation, a job about which nobody answers`() {
        accept()
        invariants.answeredWrongOne("j-000008", 422)
        invariants.answeredWrongOne("j-000009", 201)
        assertEquals(listOf("accepted_wrong"), broken())
        invariants.askedToAbort(spec.id)
        invariants.answered(spec.id, 200, "withdrawn", false)
        cluster.clock.runUntil(3.0)
        invariants.started("j-000001/0", one)
        assertEquals(listOf("j-000001/0" to 3.0), invariants.startsAfterCancellation)
        assertEquals(emptyList<String>(), invariants.unanswered(0.0))
        assertEquals(listOf(spec.id), invariants.unanswered(1.0))
    }

    @Test
    fun `a job left waiting beside room`() {
        invariants.submitted(cluster.job(2, 1))
        invariants.answered("j-000002", 201, "queued", true)
        invariants.waiting { true }
        cluster.clock.runUntil(89.0)
        invariants.waiting { true }
        assertEquals(emptyList<String>(), broken())
        cluster.clock.runUntil(91.0)
        invariants.waiting { true }
        assertEquals(listOf("left_waiting"), broken())
    }

    @Test
    fun `an older answer to a later question, and none to an earlier one`() {
        accept()
        invariants.askedToAbort(spec.id)
        cluster.clock.runUntil(1.0)
        invariants.answered(spec.id, 200, "withdrawn", false, askedAt = 0.5)
        invariants.answered(spec.id, 200, "running", false, askedAt = 0.9)
        assertEquals(emptyList<String>(), broken())
        invariants.answered(spec.id, 200, "running", false, askedAt = 1.0)
        invariants.answered(spec.id, 201, "queued", true, askedAt = 0.9)
        assertEquals(listOf("went_back", "went_back"), broken())
    }

    @Test
    fun `forgotten, invented, not done and went back`() {
        accept()
        invariants.answered(spec.id, 404, null, false)
        invariants.answered(spec.id, 422, null, true)
        invariants.answered("j-000009", 200, "queued", false)
        invariants.answered(spec.id, 200, "done", false)
        invariants.answered(spec.id, 200, "running", false)
        assertEquals(listOf("forgotten", "forgotten", "invented", "not_done", "went_back"), broken())
    }
}
