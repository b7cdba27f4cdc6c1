package burlridge.simulation

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** Fifteen hundred to six thousand machines and the largest arrays: what is asserted is work, never time. */
internal class ScaleTest {
    @Test
    fun `work grows with tasks and machines, not with their product`() = busyFleet(1_500)

    /** No fixed limit may stand below the fleet that the operators run. */
    @Test
    fun `the same holds for four thousand machines`() = busyFleet(4_000)

    @Test
    fun `the same holds for six thousand machines`() = busyFleet(6_000)

    private fun busyFleet(machines: Int) {
        val types = mapOf("small" to MachineTypeSpec(4.0, 16.0, machines / 6), "big" to MachineTypeSpec(16.0, 64.0, machines / 12))
        val cluster = SimulatedCluster(5, types = types, guaranteedCpus = 0.0)
        val jobs =
            (0 until 60).map {
                cluster.job(
                    it,
                    if (it % 10 ==
                        0
                    ) {
                        500
                    } else {
                        60
                    },
                    cpus = if (it % 3 == 0) 4.0 else 1.0,
                    runSeconds = 20.0,
                )
            }
        jobs.forEachIndexed { i, job -> cluster.clock.after(40.0 + i) { cluster.submit(job) } }
        cluster.run(200.0)
        assertEquals(emptyList<String>(), cluster.invariants.violations)
        assertEquals(emptyList<String>(), jobs.map { it.id }.filterNot { cluster.invariants.finished(it) }, "not over")
        assertEquals(machines / 12 * 12, cluster.cloud.machineIds().size)
        val tasks = jobs.sumOf { it.taskCount }
        val work = cluster.counters(cluster.leader().orEmpty())
        assertEquals(tasks, cluster.invariants.starts)
        assertTrue(work.getValue("intent.rows") < tasks / 8, "claim rows: $work")
        assertTrue(work.getValue("worker.commands") <= tasks * 1.1, "commands: $work")
        assertTrue(work.getValue("placement.candidates") < tasks * 400L, "candidates: $work")
        assertTrue(cluster.state.writes < 25 * 200 / 2, "writes: ${cluster.state.writes}")
    }

    /** Guards the cost of a fleet that has nothing to do, which is what a small controller has least room for. */
    @Test
    fun `an idle fleet costs reports that are compared, and little else`() {
        for (size in listOf(1_100, 1_650, 4_000)) {
            val types = mapOf("small" to MachineTypeSpec(4.0, 16.0, size / 6), "big" to MachineTypeSpec(16.0, 64.0, size / 6))
            val cluster = SimulatedCluster(5, types = types, guaranteedCpus = 0.0)
            val jobs = (0 until 20).map { cluster.job(it, 60, cpus = 1.0, runSeconds = 20.0) }
            jobs.forEachIndexed { i, job -> cluster.clock.after(30.0 + i) { cluster.submit(job) } }
            cluster.run(IDLE_FROM_SECONDS)
            assertEquals(emptyList<String>(), jobs.map { it.id }.filterNot { cluster.invariants.finished(it) }, "not over")
            val machines = cluster.cloud.machineIds().size
            assertTrue(machines >= size * 0.9, "$machines machines of $size")
            val leader = cluster.leader().orEmpty()
            val before = HashMap(cluster.counters(leader))
            cluster.run(IDLE_FROM_SECONDS + IDLE_SECONDS)
            assertEquals(leader, cluster.leader())
            val work = cluster.counters(leader).mapValues { (name, amount) -> amount - (before[name] ?: 0L) }
            val reports = work.getValue("worker.reports")
            assertTrue(reports in (machines * IDLE_SECONDS / 4).toLong()..(machines * IDLE_SECONDS / 2.5).toLong(), "reports: $work")
            assertTrue((work["worker.reports_read"] ?: 0L) <= reports / 100, "reports that were decoded: $work")
            assertEquals(0L, work["worker.commands"] ?: 0L, "commands: $work")
            assertEquals(0L, work["intent.rows"] ?: 0L, "rows: $work")
            val requests = work.filterKeys { it.startsWith("store.requests") }.values.sum()
            assertTrue(requests <= IDLE_SECONDS * REQUESTS_PER_SECOND, "requests to the state service: $work")
        }
    }

    private companion object {
        const val IDLE_FROM_SECONDS = 150.0
        const val IDLE_SECONDS = 60.0

        /** Watches of the leader and its renewals: a handful in each lease. */
        const val REQUESTS_PER_SECOND = 2.0
    }
}
