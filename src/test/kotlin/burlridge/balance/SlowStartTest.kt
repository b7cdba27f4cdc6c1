package burlridge.balance

import burlridge.settings.BalanceSettings
import burlridge.settings.OperatorSettings
import burlridge.sim.TypeSpec
import burlridge.sim.World
import burlridge.sim.job
import burlridge.sim.submit
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** Machines that join in a burst, or come back with nothing on them, while leaders change. */
internal class SlowStartTest {
    private val large = mapOf("big" to TypeSpec(16.0, 64.0, 2))

    /** A burst of tasks of a class without an aim for starting, there before the machines are. */
    private fun burst(
        seed: Int,
        on: Boolean,
        jobClass: String = "batch",
    ): World {
        val operator = if (on) balanced(BalanceSettings()) else OperatorSettings()
        val world = balancedWorld(seed, members = if (seed % 2 == 0) 5 else 3, types = large) { operator }
        world.cloud.bootSeconds = { 8.0 }
        world.clock.after(3.0) { world.submit(world.job(1, 60, runSeconds = 30.0, jobClass = jobClass)) }
        return world
    }

    /** The most tasks that began on any machine within [seconds] of the first one there. */
    private fun World.mostAtOnce(seconds: Double): Int =
        history.starts
            .groupBy { it.machine }
            .values
            .maxOf { starts -> starts.count { it.at <= starts.first().at + seconds } }

    @Test
    fun `machines that join share a burst, and one that has proved itself is not limited for long`() {
        val full = burst(1, on = false).also { it.run(40.0) }
        assertEquals(16, full.mostAtOnce(2.0), "without it the first machines are filled at once")
        for (seed in 1..4) {
            val world = burst(seed, on = true)
            world.run(40.0)
            assertTrue(world.mostAtOnce(0.5) <= 8, "seed $seed: ${world.mostAtOnce(0.5)}")
            assertEquals(60, world.history.starts.size, "seed $seed: a part of the burst still waits\n${world.tail()}")
            val spread =
                world.history.starts
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
            val world = burst(seed, on = true)
            val jobs =
                world.submitAll((2 until 10).map { world.savingJob(it, 6, runSeconds = 15.0) }, 5.0) +
                    world.job(1, 60, runSeconds = 30.0, jobClass = "batch")
            for (turn in 0 until 5) world.clock.after(6.0 + turn * 2.5) { world.leader()?.let { world.crash(it, 2.0) } }
            repeat(4) { turn ->
                world.clock.after(9.0 + turn * 2.2) {
                    val up =
                        world.cloud
                            .names()
                            .mapNotNull { world.cloud.worker(it) }
                            .filter { it.term > 0 }
                    up.randomOrNull(world.random)?.restart()
                    if (turn == 1) up.randomOrNull(world.random)?.let { world.cloud.take(it.id) }
                }
            }
            world.run(240.0)
            world.verdict(jobs, BalanceSettings())
        }
    }

    /** Guards the cloud's age of a machine: to a new leader all machines are new. */
    @Test
    fun `a new leader does not take an old fleet for a cold one`() {
        val world = balancedWorld(9, BalanceSettings(), types = large)
        world.run(70.0)
        world.crash(world.leader() ?: error("no leader"), 20.0)
        while (world.leader() == null) world.run(world.clock.now + 0.1)
        world.run(world.clock.now + 6.0)
        val at = world.clock.now
        world.submit(world.job(1, 60, runSeconds = 30.0, jobClass = "batch"))
        world.run(at + 4.0)
        assertEquals(60, world.history.starts.size, world.tail())
    }
}
