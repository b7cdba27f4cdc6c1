package burlridge.failover

import burlridge.job.JobSpec
import burlridge.settings.FailoverSettings
import burlridge.settings.OperatorSettings
import burlridge.simulation.SimulatedCluster
import burlridge.simulation.job
import burlridge.simulation.submit
import org.junit.jupiter.api.Assertions.assertEquals

/** What the tests of failover in the simulated cluster share. */
internal val withFailover: OperatorSettings = OperatorSettings(failover = FailoverSettings())

internal fun failoverCluster(
    seed: Int,
    operator: OperatorSettings = withFailover,
): SimulatedCluster = SimulatedCluster(seed, operator = operator, members = listOf("drover-0", "drover-1", "drover-2"))

/** Submits [count] jobs of three tasks, one every 1.5 s from the fifth second on. */
internal fun SimulatedCluster.submitJobs(count: Int = 20): List<JobSpec> =
    (0 until count).map { i -> job(i, 3, runSeconds = 6.0 + i % 5).also { clock.after(5.0 + i * 1.5) { submit(it) } } }

/** No invariant was broken, no two members led at once, and each of [jobs] has one final answer, the same from all members. */
internal fun SimulatedCluster.assertCorrect(jobs: List<JobSpec>) {
    assertEquals(emptyList<String>(), invariants.broken, tail())
    assertEquals(emptyList<String>(), simultaneousLeaders, tail())
    assertEquals(emptyList<String>(), history.breaches(jobs.map { it.id }), tail())
}

/** The end of the log, for a failed assertion. */
internal fun SimulatedCluster.tail(): String = log.takeLast(40).joinToString("\n")

/** How many lines of log contain [text]. */
internal fun SimulatedCluster.logged(text: String): Int = log.count { text in it }

/** How many handovers were started for a reason that begins with [reason]. */
internal fun SimulatedCluster.handoversStarted(reason: String): Int = log.count { "handover started" in it && "reason=\"$reason" in it }
