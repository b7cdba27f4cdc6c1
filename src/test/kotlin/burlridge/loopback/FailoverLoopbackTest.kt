package burlridge.loopback

import burlridge.simulation.WorkerTimes
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
                times = WorkerTimes(reportSeconds = 1.0, leaseSeconds = 6.0, cancelSeconds = 14.0),
                operatorSettings = "[failover]\ntrace_file = ${File(directory, "trace.jsonl").path}\n",
                directory = directory,
                jvmFlags = listOf("-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-Xmx96m"),
            )
        LoopbackCluster(plan, 1).use { cluster ->
            await("the machines are up") { cluster.answered(1) >= 12 }
            submitInTurns(cluster)
            val first = leaderOf(cluster)
            cluster.process(first).kill()
            val second = await("a leader after the kill") { leaderOrNull(cluster)?.takeIf { it != first } }
            cluster.process(first).start()

            cluster.process(second).freeze()
            val third = await("a leader after the freeze") { leaderOrNull(cluster)?.takeIf { it != second } }
            await("starts under the next leader") { cluster.onLoop { cluster.leader()?.second in cluster.firstStarts.keys } }
            cluster.process(second).wake()

            await("both others follow") { cluster.controllers.all { it.isUp } }
            assertTrue(cluster.process(third).terminate(PATIENCE_SECONDS), "it does not stop")
            val fourth = await("a leader after the stop") { leaderOrNull(cluster)?.takeIf { it != third } }
            assertNotEquals(third, fourth)
            cluster.process(third).start()

            await("all jobs are over") { cluster.onLoop { cluster.unfinished.isEmpty() && cluster.jobs.size == JOBS }.takeIf { it } }
            cluster.onLoop { cluster.askEverywhere() }
            await("all controllers answer") { cluster.onLoop { cluster.controllers.all { it.isUp } }.takeIf { it } }
            val breaches = cluster.onLoop { cluster.invariants.broken + cluster.history.breaches(cluster.jobs) }
            assertEquals(emptyList<String>(), breaches)
            assertTrue(File(directory, "trace.jsonl").readText().contains("\"name\":\"leader change\""))
        }
    }

    private fun submitInTurns(cluster: LoopbackCluster) {
        cluster.onLoop {
            repeat(JOBS) { i -> cluster.clock.after(i * 0.5) { cluster.submit(cluster.job(i, 1 + i % 3, runSeconds = 1.0 + i % 4)) } }
        }
    }

    private fun leaderOrNull(cluster: LoopbackCluster): String? = cluster.onLoop { cluster.leader()?.first }

    private fun leaderOf(cluster: LoopbackCluster): String = await("a leader") { leaderOrNull(cluster) }

    private companion object {
        const val JOBS = 40
        const val PATIENCE_SECONDS = 60L
    }
}
