package burlridge.loopback

import burlridge.balance.MachineRequests
import burlridge.sim.History
import burlridge.sim.Times
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.io.TempDir
import java.io.File

/**
 * Three real controllers, a third of whose machines is drained under load while the leader is killed and the next one frozen for longer
 * than a lease. What is asserted is what users were told and what ran where; the waits are bounds, never figures.
 */
internal class BalanceLoopbackTest {
    @Test
    fun `a drain of a third of the machines outlives a leader that is killed and one that is frozen`(
        @TempDir directory: File,
    ) {
        val plan =
            LoopbackPlan(
                controllers = 3,
                machines = 16,
                times = Times(reportSeconds = 1.0, leaseSeconds = 6.0, cancelSeconds = 14.0),
                operatorSettings = "[balance]\nfinish_reports = 0.5\n",
                directory = directory,
                jvmFlags = listOf("-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-Xmx96m"),
            )
        LoopbackWorld(plan, 2).use { world ->
            await("the machines are up") { world.answered(1) >= 12 }
            world.onLoop {
                repeat(JOBS) { i -> world.clock.after(i * 0.4) { world.submit(savingJob(world, i)) } }
            }
            await("jobs run") { world.onLoop { busyMachines(world).size == MACHINES_DRAINED }.takeIf { it } }
            val leaving = world.onLoop { busyMachines(world) }
            world.onLoop { leaving.forEach { drain(world, it) } }
            await("the drains are accepted") { world.onLoop { world.history.drained.size == leaving.size }.takeIf { it } }
            // However slow this machine is, the tasks run for long enough that some are still there to be moved.
            await("the first move") { world.onLoop { world.history.stops.isNotEmpty() }.takeIf { it } }
            val first = leaderOf(world)
            world.process(first).kill()
            val second = await("a leader after the kill") { leaderOrNull(world)?.takeIf { it != first } }
            world.process(first).start()
            world.process(second).freeze()
            await("a leader after the freeze") { leaderOrNull(world)?.takeIf { it != second } }
            await("the drained machines are gone") { world.onLoop { world.cloud.names().none { it in leaving } }.takeIf { it } }
            world.process(second).wake()
            await("all jobs are over") { world.onLoop { world.unfinished.isEmpty() && world.jobs.size == JOBS }.takeIf { it } }
            await("all controllers answer") { world.controllers.all { it.isUp }.takeIf { it } }
            world.onLoop { world.askEverywhere() }
            val breaches =
                world.onLoop {
                    world.rules.broken + world.history.breaches(world.jobs) +
                        world.history.drainBreaches(SLACK_SECONDS)
                }
            assertEquals(emptyList<String>(), breaches)
        }
    }

    /** The machines on which something started last. */
    private fun busyMachines(world: LoopbackWorld): List<String> =
        world.history.starts
            .reversed()
            .map { it.machine }
            .distinct()
            .take(MACHINES_DRAINED)

    private fun savingJob(
        world: LoopbackWorld,
        number: Int,
    ) = world.job(number, 1 + number % 3, runSeconds = 20.0 + number % 5).copy(checkpointSeconds = 1.0, saveSeconds = 0.3)

    /** Asks until it is accepted, as an operator would. */
    private fun drain(
        world: LoopbackWorld,
        machine: String,
    ) {
        val body = """{"machine":"$machine","force":true}"""
        world.request("operator", world.members.random(world.random), "POST", MachineRequests.DRAIN, body, ANSWER_SECONDS) { status, _ ->
            if (status == OK) {
                world.history.drained += History.Drained({ it == machine }, world.clock.now)
            } else {
                world.clock.after(0.5) { drain(world, machine) }
            }
        }
    }

    private fun leaderOrNull(world: LoopbackWorld): String? = world.onLoop { world.leader()?.first }

    private fun leaderOf(world: LoopbackWorld): String = await("a leader") { leaderOrNull(world) }

    private companion object {
        const val JOBS = 20
        const val MACHINES_DRAINED = 5
        const val ANSWER_SECONDS = 5.0
        const val OK = 200

        /** Commands and answers of a busy machine take their time, and a fetch two seconds. */
        const val SLACK_SECONDS = 6.0
    }
}
