package burlridge.sim

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

/** Shows that the checker of rules catches a planted breach of each. */
internal class RulesTest {
    private val world = World(1)
    private val rules = Rules(world.clock, 54.0, mapOf("crew-x" to 4.0))
    private val spec = world.job(1, 2, cpus = 4.0, team = "crew-x")
    private val one = Worker(world, "m-1", "small", "a", false, "10.1.0.1:1")
    private val two = Worker(world, "m-2", "small", "b", true, "10.1.0.2:1")

    private fun broken(): List<String> = rules.broken.map { it.substringBefore(' ') }

    private fun accept() {
        rules.submitted(spec)
        rules.answered(spec.id, 201, "queued", true)
    }

    @Test
    fun `a task on two machines`() {
        rules.submitted(world.job(1, 2))
        rules.started("j-000001/0", one)
        rules.started("j-000001/0", two)
        assertEquals(listOf("ran_twice"), broken())
    }

    @Test
    fun `a team above its limit`() {
        accept()
        rules.started("j-000001/0", one)
        rules.started("j-000001/1", two)
        assertEquals(listOf("quota"), broken())
    }

    @Test
    fun `a task in the wrong zone, on the wrong kind, apart or crowded`() {
        rules.submitted(world.job(2, 4, zone = "b"))
        rules.submitted(world.job(3, 4, spot = false))
        rules.submitted(world.job(4, 4, oneZone = true))
        rules.submitted(world.job(5, 2, spread = true))
        rules.started("j-000002/0", one)
        rules.started("j-000003/0", two)
        rules.started("j-000004/0", one)
        rules.started("j-000004/1", two)
        rules.started("j-000005/0", one)
        rules.started("j-000005/1", one)
        assertEquals(List(4) { "wrong_place" }, broken())
    }

    @Test
    fun `a cancelled job that runs on`() {
        accept()
        rules.started("j-000001/0", one)
        rules.askedToAbort(spec.id)
        rules.answered(spec.id, 200, "withdrawn", false)
        world.clock.runUntil(53.0)
        rules.sweep()
        assertEquals(emptyList<String>(), broken())
        world.clock.runUntil(55.0)
        rules.sweep()
        assertEquals(listOf("ran_cancelled"), broken())
    }

    @Test
    fun `a team above its limit of GPUs`() {
        val gpus = Rules(world.clock, 54.0, emptyMap(), mapOf("crew-y" to 1.0))
        gpus.submitted(world.job(1, 2).let { it.copy(size = it.size.copy(gpus = 1.0)) })
        gpus.started("j-000001/0", one)
        assertEquals(emptyList<String>(), gpus.broken)
        gpus.started("j-000001/1", two)
        assertEquals(listOf("quota"), gpus.broken.map { it.substringBefore(' ') })
    }

    @Test
    fun `a job accepted that cannot run, a start after a cancellation, a job about which nobody answers`() {
        accept()
        rules.answeredWrongOne("j-000008", 422)
        rules.answeredWrongOne("j-000009", 201)
        assertEquals(listOf("accepted_wrong"), broken())
        rules.askedToAbort(spec.id)
        rules.answered(spec.id, 200, "withdrawn", false)
        world.clock.runUntil(3.0)
        rules.started("j-000001/0", one)
        assertEquals(listOf("j-000001/0" to 3.0), rules.startsAfterCancellation)
        assertEquals(emptyList<String>(), rules.unanswered(0.0))
        assertEquals(listOf(spec.id), rules.unanswered(1.0))
    }

    @Test
    fun `a job left waiting beside room`() {
        rules.submitted(world.job(2, 1))
        rules.answered("j-000002", 201, "queued", true)
        rules.waiting { true }
        world.clock.runUntil(89.0)
        rules.waiting { true }
        assertEquals(emptyList<String>(), broken())
        world.clock.runUntil(91.0)
        rules.waiting { true }
        assertEquals(listOf("left_waiting"), broken())
    }

    @Test
    fun `an older answer to a later question, and none to an earlier one`() {
        accept()
        rules.askedToAbort(spec.id)
        world.clock.runUntil(1.0)
        rules.answered(spec.id, 200, "withdrawn", false, askedAt = 0.5)
        rules.answered(spec.id, 200, "running", false, askedAt = 0.9)
        assertEquals(emptyList<String>(), broken())
        rules.answered(spec.id, 200, "running", false, askedAt = 1.0)
        rules.answered(spec.id, 201, "queued", true, askedAt = 0.9)
        assertEquals(listOf("went_back", "went_back"), broken())
    }

    @Test
    fun `forgotten, invented, not done and went back`() {
        accept()
        rules.answered(spec.id, 404, null, false)
        rules.answered(spec.id, 422, null, true)
        rules.answered("j-000009", 200, "queued", false)
        rules.answered(spec.id, 200, "done", false)
        rules.answered(spec.id, 200, "running", false)
        assertEquals(listOf("forgotten", "forgotten", "invented", "not_done", "went_back"), broken())
    }
}
