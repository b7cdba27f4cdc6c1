package burlridge.balance

import burlridge.allocation.Job
import burlridge.allocation.JobRegistry
import burlridge.fleet.Fleet
import burlridge.job.JobSpec
import burlridge.settings.Settings
import burlridge.worker.Machine
import burlridge.worker.WorkerManager

/** Whether a drain may begin. */
internal sealed interface DrainCheck {
    /** Nothing is wrong with it. */
    data object Allowed : DrainCheck

    /** It may not begin; [reason] is one line for the operator. */
    data class Refused(
        val reason: String,
    ) : DrainCheck
}

/** Checks a drain before it begins. */
internal class DrainSafety(
    settings: Settings,
    private val registry: JobRegistry,
    private val workers: WorkerManager,
    private val fleet: Fleet,
) {
    private val guaranteedTeams =
        settings.teams.values
            .filter { it.cpus > 0 || it.gpus > 0 }
            .mapTo(HashSet()) { it.name }

    /** Refuses a machine or zone that is not known; a network may have no machines now and get some later. */
    fun checkExists(target: DrainTarget): DrainCheck =
        when (target) {
            is DrainTarget.SingleMachine -> allowedIf(target.machine in workers.machines) { "unknown machine ${target.machine}" }
            is DrainTarget.Zone -> allowedIf(target.zone in zones()) { "unknown zone ${target.zone}" }
            is DrainTarget.Network -> DrainCheck.Allowed
        }

    private fun allowedIf(
        condition: Boolean,
        reason: () -> String,
    ): DrainCheck = if (condition) DrainCheck.Allowed else DrainCheck.Refused(reason())

    private fun zones(): Set<String> {
        val rented = workers.machines.values.map { it.zone }
        return rented.toSet() +
            fleet.catalog
                ?.types
                ?.values
                ?.flatMap { it.zones }
                .orEmpty()
    }

    /** Refuses a drain that takes the last machine on which a task of a guaranteed team, or a waiting task, fits. */
    fun checkCapacityRemains(
        target: DrainTarget,
        activeDrains: DrainIndex,
    ): DrainCheck {
        val servingMachines =
            workers.machines.values.filter {
                it.isUp && !it.isLeaseExpired && !it.isDraining && it.reclaimAt == null &&
                    activeDrains.covering(it) == null
            }
        val (drainedMachines, remainingMachines) = servingMachines.partition(target::matches)
        if (drainedMachines.isEmpty()) return DrainCheck.Allowed
        if (remainingMachines.isEmpty() && guaranteedTeams.isNotEmpty()) {
            return refused(
                "it takes the last machine, and ${guaranteedTeams.sorted().joinToString()} is guaranteed room; force it if that is meant",
            )
        }
        val strandedJob =
            registry.jobs.values.firstOrNull {
                needsCapacity(it) && drainedMachines.any { machine -> canHold(machine, it.spec) } &&
                    remainingMachines.none { machine -> canHold(machine, it.spec) }
            }
                ?: return DrainCheck.Allowed
        val owner = "${strandedJob.spec.id} (team ${strandedJob.spec.team})"
        return refused("it takes the last machine that can hold a task of $owner; force it if that is meant")
    }

    private fun refused(reason: String): DrainCheck = DrainCheck.Refused(reason)

    private fun needsCapacity(job: Job): Boolean = !job.isEnding && (job.unallocatedCount > 0 || job.spec.team in guaranteedTeams)

    private fun canHold(
        machine: Machine,
        spec: JobSpec,
    ): Boolean {
        val machineSize =
            fleet.catalog
                ?.types
                ?.get(machine.type)
                ?.size ?: return false
        return spec.taskResources.fits(machineSize) && spec.allows(machine.type, machine.zone, machine.spot)
    }
}
