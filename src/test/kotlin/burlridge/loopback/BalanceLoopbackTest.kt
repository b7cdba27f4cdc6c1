package burlridge.loopback

import burlridge.balance.MachineRequests
import burlridge.simulation.ExecutionHistory
import burlridge.simulation.WorkerTimes
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
            LoopbackConfig(
                controllers = 3,
                machines = 16,
                times = WorkerTimes(reportSeconds = 1.0, leaseSeconds = 6.0, cancelSeconds = 14.0),
                operatorSettings = "[balance]\nfinish_reports = 0.5\n",
                directory = directory,
                jvmFlags = listOf("-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-Xmx96m"),
            )
        LoopbackCluster(plan, 2).use { cluster ->
            await("the machines are up") { cluster.workersAtTerm(1) >= 12 }
            cluster.onLoop {
                repeat(JOBS) { i -> cluster.clock.after(i * 0.4) { cluster.submit(savingJob(cluster, i)) } }
            }
            await("jobs run") { cluster.onLoop { busyMachines(cluster).size == MACHINES_DRAINED }.takeIf { it } }
            val leaving = cluster.onLoop { busyMachines(cluster) }
            cluster.onLoop { leaving.forEach { drain(cluster, it) } }
            await("the drains are accepted") { cluster.onLoop { cluster.history.acceptedDrains.size == leaving.size }.takeIf { it } }
            // However slow this machine is, the tasks run for long enough that some are still there to be moved.
            await("the first move") { cluster.onLoop { cluster.history.stops.isNotEmpty() }.takeIf { it } }
            val first = leaderOf(cluster)
            cluster.process(first).kill()
            val second = await("a leader after the kill") { leaderOrNull(cluster)?.takeIf { it != first } }
            cluster.process(first).start()
            cluster.process(second).freeze()
            await("a leader after the freeze") { leaderOrNull(cluster)?.takeIf { it != second } }
            await("the drained machines are gone") { cluster.onLoop { cluster.cloud.machineIds().none { it in leaving } }.takeIf { it } }
            cluster.process(second).resume()
            await("all jobs are over") { cluster.onLoop { cluster.unfinished.isEmpty() && cluster.jobs.size == JOBS }.takeIf { it } }
            await("all controllers answer") { cluster.controllers.all { it.isUp }.takeIf { it } }
            cluster.onLoop { cluster.queryAllControllers() }
            val breaches =
                cluster.onLoop {
                    cluster.invariants.violations + cluster.history.violations(cluster.jobs) +
                        cluster.history.drainViolations(SLACK_SECONDS)
                }
            assertEquals(emptyList<String>(), breaches)
        }
    }

    /** The machines on which something started last. */
    private fun busyMachines(cluster: LoopbackCluster): List<String> =
        cluster.history.starts
            .reversed()
            .map { it.machine }
            .distinct()
            .take(MACHINES_DRAINED)

    private fun savingJob(
        cluster: LoopbackCluster,
        number: Int,
    ) = cluster.job(number, 1 + number % 3, runSeconds = 20.0 + number % 5).copy(checkpointIntervalSeconds = 1.0, saveSeconds = 0.3)

    /** Asks until it is accepted, as an operator would. */
    private fun drain(
        cluster: LoopbackCluster,
        machine: String,
    ) {
        val body = """{"machine":"$machine","force":true}"""
        cluster.request(
            "operator",
            cluster.members.random(cluster.random),
            "POST",
            MachineRequests.DRAIN,
            body,
            ANSWER_SECONDS,
        ) { status, _ ->
            if (status == OK) {
                cluster.history.acceptedDrains += ExecutionHistory.AcceptedDrain({ it == machine }, cluster.clock.now)
            } else {
                cluster.clock.after(0.5) { drain(cluster, machine) }
            }
        }
    }

    private fun leaderOrNull(cluster: LoopbackCluster): String? = cluster.onLoop { cluster.leader()?.first }

    private fun leaderOf(cluster: LoopbackCluster): String = await("a leader") { leaderOrNull(cluster) }

    private companion object {
        const val JOBS = 20
        const val MACHINES_DRAINED = 5
        const val ANSWER_SECONDS = 5.0
        const val OK = 200

        /** Commands and answers of a busy machine take their time, and a fetch two seconds. */
        const val SLACK_SECONDS = 6.0
    }
}
