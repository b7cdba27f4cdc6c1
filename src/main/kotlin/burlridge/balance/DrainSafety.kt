package burlridge.balance

import burlridge.allocation.Job
import burlridge.allocation.JobRegistry
import burlridge.fleet.Fleet
import burlridge.job.JobSpec
import burlridge.settings.Settings
import burlridge.worker.Machine
import burlridge.worker.WorkerManager

/** Says what is wrong with a drain before it is begun. */
internal class DrainSafety(
    settings: Settings,
    private val registry: JobRegistry,
    private val workers: WorkerManager,
    private val fleet: Fleet,
) {
    private val guaranteed =
        settings.teams.values
            .filter { it.cpus > 0 || it.gpus > 0 }
            .mapTo(HashSet()) { it.name }

    /** A machine or zone that nobody knows; a network may be empty now and have machines later. */
    fun unknown(target: DrainTarget): String? =
        when (target) {
            is DrainTarget.Named -> "unknown machine ${target.machine}".takeIf { target.machine !in workers.machines }
            is DrainTarget.InZone -> "unknown zone ${target.zone}".takeIf { target.zone !in zones() }
            is DrainTarget.InNetwork -> null
        }

    private fun zones(): Set<String> {
        val rented = workers.machines.values.map { it.zone }
        return rented.toSet() +
            fleet.catalog
                ?.types
                ?.values
                ?.flatMap { it.zones }
                .orEmpty()
    }

    /** What loses the last machine that can hold it: a task of a guaranteed team, or one that waits. */
    fun lastOf(
        target: DrainTarget,
        drained: DrainIndex,
    ): String? {
        val serving =
            workers.machines.values.filter {
                it.up && !it.leaseExpired && !it.draining && it.reclaimAt == null &&
                    drained.covering(it) == null
            }
        val (leaving, staying) = serving.partition(target::matches)
        if (leaving.isEmpty()) return null
        if (staying.isEmpty() && guaranteed.isNotEmpty()) {
            return "it takes the last machine, and ${guaranteed.sorted().joinToString()} is guaranteed room; force it if that is meant"
        }
        val stranded =
            registry.jobs.values.firstOrNull {
                isOwedRoom(it) && leaving.any { m -> holds(m, it.spec) } &&
                    staying.none { m -> holds(m, it.spec) }
            }
        return stranded?.let {
            "it takes the last machine that can hold a task of ${it.spec.id} (team ${it.spec.team}); force it if that is meant"
        }
    }

    private fun isOwedRoom(job: Job): Boolean = job.pendingEndState == null && (job.unallocatedCount > 0 || job.spec.team in guaranteed)

    private fun holds(
        machine: Machine,
        spec: JobSpec,
    ): Boolean {
        val whole =
            fleet.catalog
                ?.types
                ?.get(machine.type)
                ?.size ?: return false
        return spec.size.fits(whole) && spec.allows(machine.type, machine.zone, machine.spot)
    }
}
