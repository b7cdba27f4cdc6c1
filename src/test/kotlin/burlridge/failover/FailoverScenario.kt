package burlridge.failover

import burlridge.job.JobSpec
import burlridge.settings.FailoverSettings
import burlridge.settings.OperatorSettings
import burlridge.simulation.SimulatedCluster
import burlridge.simulation.job
import burlridge.simulation.submit
import org.junit.jupiter.api.Assertions.assertEquals

/** Operator settings with failover enabled, for the tests in a simulated cluster. */
internal val withFailover: OperatorSettings = OperatorSettings(failover = FailoverSettings())

internal fun failoverCluster(
    seed: Int,
    operator: OperatorSettings = withFailover,
): SimulatedCluster = SimulatedCluster(seed, operator = operator, members = listOf("drover-0", "drover-1", "drover-2"))

/** Submits [count] jobs of three tasks, one every 1.5 s from second 5 on. */
internal fun SimulatedCluster.submitJobs(count: Int = 20): List<JobSpec> =
    (0 until count).map { i -> job(i, 3, runSeconds = 6.0 + i % 5).also { clock.after(5.0 + i * 1.5) { submit(it) } } }

/** Asserts that no invariant was broken, no two members led at once, and each of [jobs] has one final state, the same from all members. */
internal fun SimulatedCluster.assertNoViolations(jobs: List<JobSpec>) {
    assertEquals(emptyList<String>(), invariants.violations, logTail())
    assertEquals(emptyList<String>(), simultaneousLeaders, logTail())
    assertEquals(emptyList<String>(), history.violations(jobs.map { it.id }), logTail())
}

/** Returns the end of the log, for the message of a failed assertion. */
internal fun SimulatedCluster.logTail(): String = log.takeLast(40).joinToString("\n")

/** Returns the number of log lines that contain [text]. */
internal fun SimulatedCluster.logLineCount(text: String): Int = log.count { text in it }

/** Returns the number of handovers that were started for a reason that begins with [reason]. */
internal fun SimulatedCluster.handoversStarted(reason: String): Int = log.count { "handover started" in it && "reason=\"$reason" in it }
