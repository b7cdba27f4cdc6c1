package burlridge.simulation

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** The whole service in virtual time. Every test ends by asking the checker of rules. */
internal class WholeServiceTest {
    private fun SimulatedCluster.load(jobs: Int): List<String> {
        val names = ArrayList<String>()
        repeat(jobs) { i ->
            val spec =
                when (i % 5) {
                    0 -> job(i, 4, cpus = 2.0, team = "crew-x")
                    1 -> job(i, 3, oneZone = true, runSeconds = 15.0)
                    2 -> job(i, 5, spread = true, runSeconds = 5.0)
                    3 -> job(i, 2, cpus = 8.0, jobClass = "bulk", runSeconds = 30.0, spot = false)
                    else -> job(i, 6, cpus = 1.0, zone = "b", runSeconds = 8.0, team = "crew-x")
                }
            names += spec.id
            clock.after(5 + i * 2.0) { submit(spec, abortAfter = if (i % 7 == 6) 10.0 else null) }
        }
        return names
    }

    private fun SimulatedCluster.verdict(jobs: List<String>) {
        assertEquals(emptyList<String>(), invariants.violations)
        assertTrue(invariants.starts > 0, "nothing ran")
        assertEquals(emptyList<String>(), jobs.filterNot { invariants.finished(it) }, "jobs never over")
    }

    @Test
    fun `a quiet day finishes every job`() {
        val cluster = SimulatedCluster(1)
        val jobs = cluster.load(30)
        cluster.run(240.0)
        cluster.verdict(jobs)
    }

    /** More seeds on demand: `mvn test -Dsimulation.seeds=300`. */
    @Test
    fun `whatever fails, the rules hold and every job ends`() {
        val days = System.getProperty("simulation.seeds")?.toInt() ?: 12
        for (seed in (System.getProperty("from")?.toInt() ?: 1)..days) {
            val cluster = SimulatedCluster(seed)
            val jobs = cluster.load(30)
            RandomFaults(cluster, seed).schedule(10, 20.0, 140.0)
            cluster.run(400.0)
            try {
                cluster.verdict(jobs)
            } catch (e: AssertionError) {
                throw AssertionError(
                    "seed $seed: ${e.message}\n${cluster.log.takeLast(System.getProperty("tail")?.toInt() ?: 60).joinToString("\n")}",
                    e,
                )
            }
        }
    }
}
