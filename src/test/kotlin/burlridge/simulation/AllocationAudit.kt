package burlridge.simulation

import burlridge.allocation.Allocation
import burlridge.allocation.JobRegistry
import burlridge.job.Resources
import kotlin.math.abs

/**
 * Compares what a leader counts as used by each team, machine and zone with the attempts that may still run: of each task, the latest
 * attempt in a batch row, unless it has ended.
 */
internal class AllocationAudit(
    private val registry: JobRegistry,
) {
    private val table = registry.allocations
    private val mayRun: List<Allocation> =
        table.notEnded.groupBy { it.taskName }.map { (_, attempts) -> attempts.maxBy { it.attempt } }

    /** Returns a description of each difference. */
    fun differences(): List<String> =
        openAllocationDifferences() +
            usageDifferences("team", table.usageByTeam) { it.charge.team } +
            usageDifferences("machine", table.usageByMachine) { it.machine } +
            zoneDifferences()

    private fun openAllocationDifferences(): List<String> {
        val open = table.byMachine.values.flatMap { it.values }
        val missing = (mayRun - open.toSet()).map { "${describe(it)} may run and is not open" }
        val extra = (open - mayRun.toSet()).map { "${describe(it)} is open and cannot run" }
        return missing + extra
    }

    private fun usageDifferences(
        kind: String,
        counted: Map<String, Resources>,
        keyOf: (Allocation) -> String,
    ): List<String> {
        val expected = mayRun.groupBy(keyOf).mapValues { (_, all) -> all.fold(Resources.NONE) { sum, one -> sum + one.charge.resources } }
        return (counted.keys + expected.keys).mapNotNull { key ->
            val difference = (counted[key] ?: Resources.NONE) - (expected[key] ?: Resources.NONE)
            val isEqual = listOf(difference.cpus, difference.gpus, difference.memoryGb).all { abs(it) < TOLERANCE }
            if (isEqual) null else "$kind $key: counted ${counted[key]}, expected ${expected[key]}"
        }
    }

    private fun zoneDifferences(): List<String> {
        val expectedByJob = mayRun.groupBy { it.job }
        return registry.jobs.values.mapNotNull { job ->
            val counted =
                job.allocations.values
                    .groupingBy { it.zone }
                    .eachCount()
            val expected = expectedByJob[job.spec.id].orEmpty().groupingBy { it.zone }.eachCount()
            if (counted == expected) null else "zones of ${job.spec.id}: counted $counted, expected $expected"
        }
    }

    private fun describe(allocation: Allocation) = "${allocation.taskName} attempt ${allocation.attempt} on ${allocation.machine}"

    private companion object {
        /** Allows for rounding in sums, far below the smallest amount that a task takes. */
        const val TOLERANCE = 1e-6
    }
}
