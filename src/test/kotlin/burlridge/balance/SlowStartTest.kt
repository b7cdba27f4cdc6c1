package burlridge.balance

import burlridge.settings.BalanceSettings
import burlridge.settings.OperatorSettings
import burlridge.simulation.MachineTypeSpec
import burlridge.simulation.SimulatedCluster
import burlridge.simulation.job
import burlridge.simulation.submit
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** Machines that join in a burst, or come back with nothing on them, while leaders change. */
internal class SlowStartTest {
    private val large = mapOf("big" to MachineTypeSpec(16.0, 64.0, 2))

    /** A burst of tasks of a class without an aim for starting, there before the machines are. */
    private fun burst(
        seed: Int,
        on: Boolean,
        jobClass: String = "batch",
    ): SimulatedCluster {
        val operator = if (on) balanced(BalanceSettings()) else OperatorSettings()
        val cluster = balancedCluster(seed, members = if (seed % 2 == 0) 5 else 3, types = large) { operator }
        cluster.cloud.bootSeconds = { 8.0 }
        cluster.clock.after(3.0) { cluster.submit(cluster.job(1, 60, runSeconds = 30.0, jobClass = jobClass)) }
        return cluster
    }

    /** The most tasks that began on any machine within [seconds] of the first one there. */
    private fun SimulatedCluster.mostAtOnce(seconds: Double): Int =
        history.starts
            .groupBy { it.machine }
            .values
            .maxOf { starts -> starts.count { it.at <= starts.first().at + seconds } }

    @Test
    fun `machines that join share a burst, and one that has proved itself is not limited for long`() {
        val full = burst(1, on = false).also { it.run(40.0) }
        assertEquals(16, full.mostAtOnce(2.0), "without it the first machines are filled at once")
        for (seed in 1..4) {
            val cluster = burst(seed, on = true)
            cluster.run(40.0)
            assertTrue(cluster.mostAtOnce(0.5) <= 8, "seed $seed: ${cluster.mostAtOnce(0.5)}")
            assertEquals(60, cluster.history.starts.size, "seed $seed: a part of the burst still waits\n${cluster.tail()}")
            val spread =
                cluster.history.starts
                    .groupingBy { it.machine }
                    .eachCount()
            val before =
                full.history.starts
                    .groupingBy { it.machine }
                    .eachCount()
            assertTrue(spread.size > before.size, "seed $seed: $spread, without it $before")
        }
    }

    /** Guards the exemption: what is to start at once is never held back. */
    @Test
    fun `a class with an aim for starting is not delayed`() {
        for (seed in 1..4) {
            val starts = { on: Boolean ->
                burst(seed, on, "urgent")
                    .also { it.run(60.0) }
                    .history.starts
                    .map { it.at }
            }
            val (with, without) = starts(true) to starts(false)
            assertEquals(without.size, with.size)
            assertTrue(with.max() <= without.max() + 1.0, "seed $seed: ${with.max()} against ${without.max()}")
        }
    }

    @Test
    fun `the next leader limits the same machines, and those that come back or die in their first fetch lose nothing`() {
        for (seed in 1..8) {
            val cluster = burst(seed, on = true)
            val jobs =
                cluster.submitAll((2 until 10).map { cluster.savingJob(it, 6, runSeconds = 15.0) }, 5.0) +
                    cluster.job(1, 60, runSeconds = 30.0, jobClass = "batch")
            for (turn in 0 until 5) cluster.clock.after(6.0 + turn * 2.5) { cluster.leader()?.let { cluster.crash(it, 2.0) } }
            repeat(4) { turn ->
                cluster.clock.after(9.0 + turn * 2.2) {
                    val up =
                        cluster.cloud
                            .machineIds()
                            .mapNotNull { cluster.cloud.worker(it) }
                            .filter { it.term > 0 }
                    up.randomOrNull(cluster.random)?.restart()
                    if (turn == 1) up.randomOrNull(cluster.random)?.let { cluster.cloud.reclaim(it.id) }
                }
            }
            cluster.run(240.0)
            cluster.verdict(jobs, BalanceSettings())
        }
    }

    /** Guards the cloud's age of a machine: to a new leader all machines are new. */
    @Test
    fun `a new leader does not take an old fleet for a cold one`() {
        val cluster = balancedCluster(9, BalanceSettings(), types = large)
        cluster.run(70.0)
        cluster.crash(cluster.leader() ?: error("no leader"), 20.0)
        while (cluster.leader() == null) cluster.run(cluster.clock.now + 0.1)
        cluster.run(cluster.clock.now + 6.0)
        val at = cluster.clock.now
        cluster.submit(cluster.job(1, 60, runSeconds = 30.0, jobClass = "batch"))
        cluster.run(at + 4.0)
        assertEquals(60, cluster.history.starts.size, cluster.tail())
    }
}
