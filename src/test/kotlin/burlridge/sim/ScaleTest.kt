package burlridge.sim

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** Fifteen hundred machines and the largest arrays: what is asserted is work, never time. */
internal class ScaleTest {
    @Test
    fun `work grows with tasks and machines, not with their product`() {
        val types = mapOf("small" to TypeSpec(4.0, 16.0, 250), "big" to TypeSpec(16.0, 64.0, 125))
        val world = World(5, types = types, guaranteed = 0.0)
        val jobs = (0 until 60).map { world.job(it, if (it % 10 == 0) 500 else 60, cpus = if (it % 3 == 0) 4.0 else 1.0, runS = 20.0) }
        jobs.forEachIndexed { i, job -> world.clock.after(40.0 + i) { world.submit(job) } }
        world.run(200.0)
        assertEquals(emptyList<String>(), world.rules.broken)
        assertEquals(emptyList<String>(), jobs.map { it.id }.filterNot { world.rules.finished(it) }, "not over")
        assertEquals(1500, world.cloud.names().size)
        val tasks = jobs.sumOf { it.tasks }
        val work = world.work(world.leader().orEmpty())
        assertEquals(tasks, world.rules.starts)
        assertTrue(work.getValue("intent.rows") < tasks / 8, "claim rows: $work")
        assertTrue(work.getValue("worker.commands") <= tasks * 1.1, "commands: $work")
        assertTrue(work.getValue("placement.candidates") < tasks * 400L, "candidates: $work")
        assertTrue(world.state.writes < 25 * 200 / 2, "writes: ${world.state.writes}")
    }
}
