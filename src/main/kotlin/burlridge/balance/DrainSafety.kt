package burlridge.balance

import burlridge.allocation.Job
import burlridge.allocation.JobRegistry
import burlridge.fleet.Fleet
import burlridge.job.JobSpec
import burlridge.settings.Settings
import burlridge.worker.Machine
import burlridge.worker.WorkerManager

/** The result of checking a drain before it begins. */
internal sealed interface DrainCheck {
    /** The drain may begin. */
    data object Allowed : DrainCheck

    /** The drain may not begin; [reason] is one line of text for the operator. */
    data class Refused(
        val reason: String,
    ) : DrainCheck
}

/** Checks that the target of a drain exists and that the drain leaves enough machines for the tasks. */
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

    /** Refuses an unknown machine or zone. A network is always accepted, since machines may join in it later. */
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

    /**
     * Refuses a drain that leaves no machine to a team with guaranteed capacity, or no machine that one of its tasks or a waiting task of
     * any team fits on.
     */
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
