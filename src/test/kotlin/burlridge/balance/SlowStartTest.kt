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

/** Tests the slow start of machines that join during a burst, or restart empty, while leaders change. */
internal class SlowStartTest {
    private val large = mapOf("big" to MachineTypeSpec(16.0, 64.0, 2))

    /** Creates a cluster with a burst of tasks before its machines join; by default of a class without an objective for start times. */
    private fun burst(
        seed: Int,
        isEnabled: Boolean,
        jobClass: String = "batch",
    ): SimulatedCluster {
        val operator = if (isEnabled) operatorSettingsWithBalance(BalanceSettings()) else OperatorSettings()
        val cluster = clusterWithBalance(seed, members = if (seed % 2 == 0) 5 else 3, types = large) { operator }
        cluster.cloud.bootSeconds = { 8.0 }
        cluster.clock.after(3.0) { cluster.submit(cluster.job(1, 60, runSeconds = 30.0, jobClass = jobClass)) }
        return cluster
    }

    /** Returns the largest number of tasks that started on one machine within [seconds] of its first start. */
    private fun SimulatedCluster.maxStartsOnOneMachine(seconds: Double): Int =
        history.starts
            .groupBy { it.machine }
            .values
            .maxOf { starts -> starts.count { it.at <= starts.first().at + seconds } }

    @Test
    fun `a burst is spread over the machines that join, and their start limit soon ends`() {
        val unlimitedCluster = burst(1, isEnabled = false).also { it.run(40.0) }
        assertEquals(16, unlimitedCluster.maxStartsOnOneMachine(2.0), "without slow start the first machines are filled immediately")
        for (seed in 1..4) {
            val cluster = burst(seed, isEnabled = true)
            cluster.run(40.0)
            assertTrue(cluster.maxStartsOnOneMachine(0.5) <= 8, "seed $seed: ${cluster.maxStartsOnOneMachine(0.5)}")
            assertEquals(60, cluster.history.starts.size, "seed $seed: a part of the burst is still waiting\n${cluster.recentLog()}")
            val startsWith =
                cluster.history.starts
                    .groupingBy { it.machine }
                    .eachCount()
            val startsWithout =
                unlimitedCluster.history.starts
                    .groupingBy { it.machine }
                    .eachCount()
            assertTrue(startsWith.size > startsWithout.size, "seed $seed: $startsWith, without it $startsWithout")
        }
    }

    /** Guards the exemption: tasks with an objective for start times are never delayed. */
    @Test
    fun `a job class with an objective for start times is not delayed`() {
        for (seed in 1..4) {
            val starts = { isEnabled: Boolean ->
                burst(seed, isEnabled, "urgent")
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
    fun `no task is lost if leaders change while new machines restart or are lost during their first fetch`() {
        for (seed in 1..8) {
            val cluster = burst(seed, isEnabled = true)
            val jobs =
                cluster.submitAll((2 until 10).map { cluster.checkpointingJob(it, 6, runSeconds = 15.0) }, 5.0) +
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
            cluster.assertNoViolations(jobs, BalanceSettings())
        }
    }

    /** Guards the use of the rental time from the cloud's list: to a new leader all machines look new. */
    @Test
    fun `a new leader does not limit starts on machines that have been up for long`() {
        val cluster = clusterWithBalance(9, BalanceSettings(), types = large)
        cluster.run(70.0)
        cluster.crash(cluster.leader() ?: error("no leader"), 20.0)
        while (cluster.leader() == null) cluster.run(cluster.clock.now + 0.1)
        cluster.run(cluster.clock.now + 6.0)
        val at = cluster.clock.now
        cluster.submit(cluster.job(1, 60, runSeconds = 30.0, jobClass = "batch"))
        cluster.run(at + 4.0)
        assertEquals(60, cluster.history.starts.size, cluster.recentLog())
    }
}
