package burlridge.fleet

import burlridge.simulation.SimulatedCluster
import burlridge.simulation.job
import burlridge.simulation.submit
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

internal class InventorySyncTest {
    /** Guards against a leader that reads the first page of the cloud's list again and again, and keeps all of its copies in memory. */
    @Test
    fun `a truncated page whose machines have no valid name ends the reading, and no machine is removed`() {
        val cluster = SimulatedCluster(51)
        val job = cluster.job(1, 2, runSeconds = 60.0)
        var calls = 0
        cluster.onCall = { _, call ->
            if (call.path.startsWith("/rentals?")) calls++
            SimulatedCluster.CallFault.NONE
        }
        cluster.clock.after(5.0) { cluster.submit(job) }
        cluster.run(30.0)
        val machines = cluster.cloud.machineIds()
        calls = 0
        cluster.cloud.transformMachinePage = { """{"drovers":[{"id":"m-\ud83d"},{"id":7}],"truncated":true}""" }
        cluster.run(30.0 + OBSERVED_SECONDS)
        assertTrue(calls in 1..MAX_CALLS, "calls: $calls")
        assertEquals(machines, cluster.cloud.machineIds())
        cluster.cloud.transformMachinePage = { it }
        cluster.run(110.0)
        assertTrue(cluster.invariants.finished(job.id), "the job has not finished")
        assertEquals(emptyList<String>(), cluster.invariants.violations)
    }

    private companion object {
        const val OBSERVED_SECONDS = 30.0

        /** The list is read at most once per lag, which is 3 s. */
        const val MAX_CALLS = 11
    }
}
