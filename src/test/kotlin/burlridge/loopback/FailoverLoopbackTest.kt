package burlridge.loopback

import burlridge.sim.Times
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNotEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.io.TempDir
import java.io.File

/**
 * Three real controllers, killed, frozen and asked to stop while jobs run. What is asserted is what users were told and what ran where;
 * the waits are bounds, never figures. The long form is [FailoverMeasurement].
 */
internal class FailoverLoopbackTest {
    @Test
    fun `a leader that is killed, frozen and asked to stop leaves one final answer for each job`(
        @TempDir directory: File,
    ) {
        val plan =
            LoopbackPlan(
                controllers = 3,
                machines = 16,
                times = Times(reportSeconds = 1.0, leaseSeconds = 6.0, cancelSeconds = 14.0),
                operatorSettings = "[failover]\ntrace_file = ${File(directory, "trace.jsonl").path}\n",
                directory = directory,
                jvmFlags = listOf("-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-Xmx96m"),
            )
        LoopbackWorld(plan, 1).use { world ->
            await("the machines are up") { world.answered(1) >= 12 }
            submitInTurns(world)
            val first = leaderOf(world)
            world.process(first).kill()
            val second = await("a leader after the kill") { leaderOrNull(world)?.takeIf { it != first } }
            world.process(first).start()

            world.process(second).freeze()
            val third = await("a leader after the freeze") { leaderOrNull(world)?.takeIf { it != second } }
            await("starts under the next leader") { world.onLoop { world.leader()?.second in world.firstStarts.keys } }
            world.process(second).wake()

            await("both others follow") { world.controllers.all { it.isUp } }
            assertTrue(world.process(third).terminate(PATIENCE_SECONDS), "it does not stop")
            val fourth = await("a leader after the stop") { leaderOrNull(world)?.takeIf { it != third } }
            assertNotEquals(third, fourth)
            world.process(third).start()

            await("all jobs are over") { world.onLoop { world.unfinished.isEmpty() && world.jobs.size == JOBS }.takeIf { it } }
            world.onLoop { world.askEverywhere() }
            await("all controllers answer") { world.onLoop { world.controllers.all { it.isUp } }.takeIf { it } }
            val breaches = world.onLoop { world.rules.broken + world.history.breaches(world.jobs) }
            assertEquals(emptyList<String>(), breaches)
            assertTrue(File(directory, "trace.jsonl").readText().contains("\"name\":\"leader change\""))
        }
    }

    private fun submitInTurns(world: LoopbackWorld) {
        world.onLoop {
            repeat(JOBS) { i -> world.clock.after(i * 0.5) { world.submit(world.job(i, 1 + i % 3, runSeconds = 1.0 + i % 4)) } }
        }
    }

    private fun leaderOrNull(world: LoopbackWorld): String? = world.onLoop { world.leader()?.first }

    private fun leaderOf(world: LoopbackWorld): String = await("a leader") { leaderOrNull(world) }

    private companion object {
        const val JOBS = 40
        const val PATIENCE_SECONDS = 60L
    }
}
