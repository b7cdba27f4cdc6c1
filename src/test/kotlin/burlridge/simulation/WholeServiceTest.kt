package burlridge.simulation

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** Runs the whole service in virtual time. Every test ends with a check of the invariants. */
internal class WholeServiceTest {
    private fun SimulatedCluster.submitMixedJobs(jobs: Int): List<String> {
        val jobIds = ArrayList<String>()
        repeat(jobs) { i ->
            val spec =
                when (i % 5) {
                    0 -> job(i, 4, cpus = 2.0, team = "crew-x")
                    1 -> job(i, 3, oneZone = true, runSeconds = 15.0)
                    2 -> job(i, 5, spread = true, runSeconds = 5.0)
                    3 -> job(i, 2, cpus = 8.0, jobClass = "bulk", runSeconds = 30.0, spot = false)
                    else -> job(i, 6, cpus = 1.0, zone = "b", runSeconds = 8.0, team = "crew-x")
                }
            jobIds += spec.id
            clock.after(5 + i * 2.0) { submit(spec, abortAfter = if (i % 7 == 6) 10.0 else null) }
        }
        return jobIds
    }

    private fun SimulatedCluster.assertFinishedWithoutViolations(jobIds: List<String>) {
        assertEquals(emptyList<String>(), invariants.violations)
        assertTrue(invariants.starts > 0, "nothing ran")
        assertEquals(emptyList<String>(), jobIds.filterNot { invariants.finished(it) }, "jobs not finished")
    }

    @Test
    fun `every job finishes without faults`() {
        val cluster = SimulatedCluster(1)
        val jobs = cluster.submitMixedJobs(30)
        cluster.run(240.0)
        cluster.assertFinishedWithoutViolations(jobs)
    }

    /** More seeds on demand: `mvn test -Dsimulation.seeds=300`. */
    @Test
    fun `every job finishes without violations under random faults`() {
        val seedCount = System.getProperty("simulation.seeds")?.toInt() ?: 12
        for (seed in (System.getProperty("from")?.toInt() ?: 1)..seedCount) {
            val cluster = SimulatedCluster(seed)
            val jobs = cluster.submitMixedJobs(30)
            RandomFaults(cluster, seed).schedule(10, 20.0, 140.0)
            cluster.run(400.0)
            try {
                cluster.assertFinishedWithoutViolations(jobs)
            } catch (e: AssertionError) {
                throw AssertionError(
                    "seed $seed: ${e.message}\n${cluster.log.takeLast(System.getProperty("tail")?.toInt() ?: 60).joinToString("\n")}",
                    e,
                )
            }
        }
    }
}
