package burlridge.loopback

import burlridge.simulation.WorkerTimes
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNotEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.io.TempDir
import java.io.File

/**
 * Three real controllers, which are killed, frozen and terminated while jobs run. Asserts only which responses users received and what ran
 * where; all waits are upper bounds, not measurements. [FailoverMeasurement] is the long form.
 */
internal class FailoverLoopbackTest {
    @Test
    fun `each job has one final state while leaders are killed, frozen and terminated`(
        @TempDir directory: File,
    ) {
        val config =
            LoopbackConfig(
                controllers = 3,
                machines = 16,
                times = WorkerTimes(reportSeconds = 1.0, leaseSeconds = 6.0, cancelSeconds = 14.0),
                operatorSettings = "[failover]\ntrace_file = ${File(directory, "trace.jsonl").path}\n",
                directory = directory,
                jvmFlags = listOf("-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-Xmx96m"),
            )
        LoopbackCluster(config, 1).use { cluster ->
            await("the machines are up") { cluster.workersAtTerm(1) >= 12 }
            submitAtIntervals(cluster)
            val first = leaderOf(cluster)
            cluster.process(first).kill()
            val second = await("a leader after the kill") { leaderOrNull(cluster)?.takeIf { it != first } }
            cluster.process(first).start()

            cluster.process(second).freeze()
            val third = await("a leader after the freeze") { leaderOrNull(cluster)?.takeIf { it != second } }
            await("starts under the next leader") { cluster.onLoop { cluster.leader()?.second in cluster.firstStartSeconds.keys } }
            cluster.process(second).resume()

            await("all controllers are up") { cluster.controllers.all { it.isUp } }
            assertTrue(cluster.process(third).terminate(TERMINATION_TIMEOUT_SECONDS), "the controller does not stop in time")
            val fourth = await("a leader after the stop") { leaderOrNull(cluster)?.takeIf { it != third } }
            assertNotEquals(third, fourth)
            cluster.process(third).start()

            await("all jobs have finished") { cluster.onLoop { cluster.unfinished.isEmpty() && cluster.jobs.size == JOBS }.takeIf { it } }
            cluster.onLoop { cluster.queryAllControllers() }
            await("all controllers answer") { cluster.onLoop { cluster.controllers.all { it.isUp } }.takeIf { it } }
            val violations = cluster.onLoop { cluster.invariants.violations + cluster.history.violations(cluster.jobs) }
            assertEquals(emptyList<String>(), violations)
            assertTrue(File(directory, "trace.jsonl").readText().contains("\"name\":\"leader change\""))
        }
    }

    private fun submitAtIntervals(cluster: LoopbackCluster) {
        cluster.onLoop {
            repeat(JOBS) { i -> cluster.clock.after(i * 0.5) { cluster.submit(cluster.job(i, 1 + i % 3, runSeconds = 1.0 + i % 4)) } }
        }
    }

    private fun leaderOrNull(cluster: LoopbackCluster): String? = cluster.onLoop { cluster.leader()?.first }

    private fun leaderOf(cluster: LoopbackCluster): String = await("a leader") { leaderOrNull(cluster) }

    private companion object {
        const val JOBS = 40
        const val TERMINATION_TIMEOUT_SECONDS = 60L
    }
}
