package burlridge.simulation

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** Tests 1.5 times as many machines as the operators have, with the largest arrays, under failures that affect all of them at once. */
internal class ScaleInOutTest {
    private val members = List(5) { "drover-$it" }
    private val types = mapOf("small" to MachineTypeSpec(4.0, 16.0, 360), "big" to MachineTypeSpec(16.0, 64.0, 178))
    private val cluster = SimulatedCluster(21, members, types = types, guaranteedCpus = 0.0)

    /** Submits a burst of jobs from 30 s on, among them the largest possible ones; all must finish, and start in time. */
    private fun runBurst(
        until: Double,
        injectFailures: SimulatedCluster.() -> Unit,
    ) {
        val jobs = cluster.burst(36, largeEvery = 9)
        jobs.forEachIndexed { i, job -> cluster.clock.after(30.0 + 2 * i) { cluster.submit(job) } }
        cluster.injectFailures()
        cluster.run(until)
        assertEquals(emptyList<String>(), cluster.invariants.violations)
        assertEquals(emptyList<String>(), jobs.map { it.id }.filterNot { cluster.invariants.finished(it) }, "not finished")
        assertEquals(MACHINE_COUNT, cluster.cloud.machineIds().size)
        jobs.forEach {
            val waitedSeconds = cluster.invariants.firstStart(it.id) - 30.0 - 2 * jobs.indexOf(it)
            assertTrue(waitedSeconds < MAX_WAIT_SECONDS, "${it.id} of ${it.taskCount} tasks waited $waitedSeconds s")
        }
        // A finished job leaves only its finished row, and the load of the state service stays within its limits.
        assertEquals(jobs.size, cluster.state.keys("over/").size)
        assertEquals(emptyList<String>(), cluster.state.keys("live/") + cluster.state.keys("round/") + cluster.state.keys("prog/"))
        assertTrue(cluster.state.writes < 25 * until, "writes: ${cluster.state.writes}")
        assertTrue(cluster.state.maxRequestsPerSecond <= 2 * 200, "requests in a second: ${cluster.state.maxRequestsPerSecond}")
        assertTrue(cluster.state.maxWritesPerSecond <= 2 * 50, "changes in a second: ${cluster.state.maxWritesPerSecond}")
    }

    @Test
    fun `jobs finish when all members crash in an outage of the state service, then one after the other, then all again`() =
        runBurst(230.0) {
            clock.after(60.0) { state.outage(15.0) }
            clock.after(68.0) { members.forEach { crash(it, 4.0) } }
            members.forEachIndexed { i, name -> clock.after(85.0 + 6 * i) { crash(name, 4.0) } }
            clock.after(125.0) { members.forEach { crash(it, 4.0) } }
        }

    @Test
    fun `jobs finish when a zone is partitioned for longer than a lease, its packets are held back, and the leader crashes`() =
        runBurst(260.0) {
            partitionsHoldPackets = true
            clock.after(60.0) {
                val partitionedMachines = cloud.machineIds().filter { cloud.worker(it)?.zone == "b" }
                partitionedMachines.forEach { machine -> members.forEach { partition(machine, it, 45.0) } }
            }
            clock.after(72.0) { leader()?.let { crash(it, 4.0) } }
        }

    @Test
    fun `jobs finish when the leader stalls for longer than a lease, and members are partitioned from each other`() =
        runBurst(230.0) {
            clock.after(55.0) { leader()?.let { freeze(it, 40.0) } }
            clock.after(110.0) { members.forEach { a -> members.forEach { b -> if (a != b) partition(a, b, 30.0) } } }
        }

    private companion object {
        const val MACHINE_COUNT = 2152
        const val MAX_WAIT_SECONDS = 240.0
    }
}
