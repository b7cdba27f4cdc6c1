package burlridge.loopback

import burlridge.balance.MachineRequests
import burlridge.simulation.ExecutionHistory
import burlridge.simulation.WorkerTimes
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.io.TempDir
import java.io.File

/**
 * Three real controllers: a third of the machines is drained under load while the leader is killed and the next one is frozen for longer
 * than a lease. Asserts the responses to users and where tasks ran; the timeouts of waits are upper bounds, not measurements.
 */
internal class BalanceLoopbackTest {
    @Test
    fun `a drain of a third of the machines survives a killed and a frozen leader`(
        @TempDir directory: File,
    ) {
        val config =
            LoopbackConfig(
                controllers = 3,
                machines = 16,
                times = WorkerTimes(reportSeconds = 1.0, leaseSeconds = 6.0, cancelSeconds = 14.0),
                operatorSettings = "[balance]\nfinish_reports = 0.5\n",
                directory = directory,
                jvmFlags = listOf("-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-Xmx96m"),
            )
        LoopbackCluster(config, 2).use { cluster ->
            await("the machines are up") { cluster.workersAtTerm(1) >= 12 }
            cluster.onLoop {
                repeat(JOB_COUNT) { i -> cluster.clock.after(i * 0.4) { cluster.submit(checkpointingJob(cluster, i)) } }
            }
            await("jobs are running") { cluster.onLoop { recentlyUsedMachines(cluster).size == DRAINED_MACHINE_COUNT }.takeIf { it } }
            val drainedMachines = cluster.onLoop { recentlyUsedMachines(cluster) }
            cluster.onLoop { drainedMachines.forEach { drain(cluster, it) } }
            await(
                "the drains are accepted",
            ) { cluster.onLoop { cluster.history.acceptedDrains.size == drainedMachines.size }.takeIf { it } }
            // The tasks run for long enough that some are left to be moved even if the test host is slow.
            await("the first move") { cluster.onLoop { cluster.history.stops.isNotEmpty() }.takeIf { it } }
            val firstLeader = leaderOf(cluster)
            cluster.process(firstLeader).kill()
            val secondLeader = await("a leader after the kill") { leaderOrNull(cluster)?.takeIf { it != firstLeader } }
            cluster.process(firstLeader).start()
            cluster.process(secondLeader).freeze()
            await("a leader after the freeze") { leaderOrNull(cluster)?.takeIf { it != secondLeader } }
            await(
                "the drained machines are returned",
            ) { cluster.onLoop { cluster.cloud.machineIds().none { it in drainedMachines } }.takeIf { it } }
            cluster.process(secondLeader).resume()
            await("all jobs have ended") { cluster.onLoop { cluster.unfinished.isEmpty() && cluster.jobs.size == JOB_COUNT }.takeIf { it } }
            await("all controllers answer") { cluster.controllers.all { it.isUp }.takeIf { it } }
            cluster.onLoop { cluster.queryAllControllers() }
            val violations =
                cluster.onLoop {
                    cluster.invariants.violations + cluster.history.violations(cluster.jobs) +
                        cluster.history.drainViolations(SLACK_SECONDS)
                }
            assertEquals(emptyList<String>(), violations)
        }
    }

    /** Returns the machines on which tasks started most recently. */
    private fun recentlyUsedMachines(cluster: LoopbackCluster): List<String> =
        cluster.history.starts
            .reversed()
            .map { it.machine }
            .distinct()
            .take(DRAINED_MACHINE_COUNT)

    private fun checkpointingJob(
        cluster: LoopbackCluster,
        number: Int,
    ) = cluster.job(number, 1 + number % 3, runSeconds = 20.0 + number % 5).copy(checkpointIntervalSeconds = 1.0, saveSeconds = 0.3)

    /** Requests the drain of [machine], and repeats the request until it is accepted. */
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
            RESPONSE_TIMEOUT_SECONDS,
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
        const val JOB_COUNT = 20
        const val DRAINED_MACHINE_COUNT = 5
        const val RESPONSE_TIMEOUT_SECONDS = 5.0
        const val OK = 200

        /** Allows for slow commands and responses on a busy host, and two seconds for a fetch. */
        const val SLACK_SECONDS = 6.0
    }
}
