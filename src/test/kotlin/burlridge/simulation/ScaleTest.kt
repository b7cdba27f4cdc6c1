package burlridge.simulation

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/**
 * Tests busy fleets of 1500 to 6000 machines with the largest arrays, and idle ones of 1100 to 4000. Assertions are about counts of
 * operations, never about elapsed time.
 */
internal class ScaleTest {
    @Test
    fun `work grows with tasks and machines, not with their product, for 1500 machines`() = assertWorkOfBusyFleet(1_500)

    /** Guards against fixed limits that are below the size of the fleet that the operators run. */
    @Test
    fun `work grows with tasks and machines, not with their product, for 4000 machines`() = assertWorkOfBusyFleet(4_000)

    @Test
    fun `work grows with tasks and machines, not with their product, for 6000 machines`() = assertWorkOfBusyFleet(6_000)

    private fun assertWorkOfBusyFleet(machines: Int) {
        val types = mapOf("small" to MachineTypeSpec(4.0, 16.0, machines / 6), "big" to MachineTypeSpec(16.0, 64.0, machines / 12))
        val cluster = SimulatedCluster(5, types = types, guaranteedCpus = 0.0)
        val jobs = cluster.burst(60, largeEvery = 10)
        jobs.forEachIndexed { i, job -> cluster.clock.after(40.0 + i) { cluster.submit(job) } }
        cluster.run(200.0)
        assertEquals(emptyList<String>(), cluster.invariants.violations)
        assertEquals(emptyList<String>(), jobs.map { it.id }.filterNot { cluster.invariants.finished(it) }, "not finished")
        assertEquals(machines / 12 * 12, cluster.cloud.machineIds().size)
        val tasks = jobs.sumOf { it.taskCount }
        val counters = cluster.counters(cluster.leader().orEmpty())
        assertEquals(tasks, cluster.invariants.starts)
        assertTrue(counters.getValue("intent.rows") < tasks / 8, "allocation batch rows: $counters")
        assertTrue(counters.getValue("worker.commands") <= tasks * 1.1, "commands: $counters")
        assertTrue(counters.getValue("placement.candidates") < tasks * 400L, "candidates: $counters")
        assertTrue(cluster.state.writes < 25 * 200 / 2, "writes: ${cluster.state.writes}")
    }

    /** Guards the cost of an idle fleet, which a controller with few resources can least afford. */
    @Test
    fun `an idle fleet causes no commands or rows, and its heartbeats are compared instead of decoded`() {
        for (size in listOf(1_100, 1_650, 4_000)) {
            val types = mapOf("small" to MachineTypeSpec(4.0, 16.0, size / 6), "big" to MachineTypeSpec(16.0, 64.0, size / 6))
            val cluster = SimulatedCluster(5, types = types, guaranteedCpus = 0.0)
            val jobs = (0 until 20).map { cluster.job(it, 60, cpus = 1.0, runSeconds = 20.0) }
            jobs.forEachIndexed { i, job -> cluster.clock.after(30.0 + i) { cluster.submit(job) } }
            cluster.run(IDLE_FROM_SECONDS)
            assertEquals(emptyList<String>(), jobs.map { it.id }.filterNot { cluster.invariants.finished(it) }, "not finished")
            val machines = cluster.cloud.machineIds().size
            assertTrue(machines >= size * 0.9, "$machines machines of $size")
            val leader = cluster.leader().orEmpty()
            val before = HashMap(cluster.counters(leader))
            cluster.run(IDLE_FROM_SECONDS + IDLE_SECONDS)
            assertEquals(leader, cluster.leader())
            val counters = cluster.counters(leader).mapValues { (name, amount) -> amount - (before[name] ?: 0L) }
            val heartbeats = counters.getValue("worker.reports")
            assertTrue(
                heartbeats in (machines * IDLE_SECONDS / 4).toLong()..(machines * IDLE_SECONDS / 2.5).toLong(),
                "heartbeats: $counters",
            )
            assertTrue((counters["worker.reports_read"] ?: 0L) <= heartbeats / 100, "heartbeats that were decoded: $counters")
            assertEquals(0L, counters["worker.commands"] ?: 0L, "commands: $counters")
            assertEquals(0L, counters["intent.rows"] ?: 0L, "rows: $counters")
            val requests = counters.filterKeys { it.startsWith("store.requests") }.values.sum()
            assertTrue(requests <= IDLE_SECONDS * MAX_REQUESTS_PER_SECOND, "requests to the state service: $counters")
        }
    }

    private companion object {
        const val IDLE_FROM_SECONDS = 150.0
        const val IDLE_SECONDS = 60.0

        /** Upper limit for the leader's watches and lease renewals, of which there are a handful in each lease. */
        const val MAX_REQUESTS_PER_SECOND = 2.0
    }
}
