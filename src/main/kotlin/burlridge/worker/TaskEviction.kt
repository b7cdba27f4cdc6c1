package burlridge.worker

import burlridge.allocation.Allocation
import burlridge.allocation.AllocationPhase
import burlridge.allocation.GangRules
import burlridge.allocation.Job
import burlridge.allocation.JobRegistry
import burlridge.core.StepContext
import burlridge.job.JobSpec

/** Stops tasks on slow machines and on spot machines that the cloud reclaims. */
internal class TaskEviction(
    private val context: StepContext,
    private val registry: JobRegistry,
    private val leases: LeaseMonitor,
    private val gangStopper: GangStopper,
) {
    /** Called for each machine that is taken out of service because its tasks are slow. */
    var onStragglerEvicted: (Machine) -> Unit = {}

    private val stragglers = StragglerDetector(registry)
    private var nextCheckAt = 0.0

    /**
     * Takes machines out of service whose tasks run much longer than other tasks of the same jobs, since the tasks complete sooner if they
     * are restarted elsewhere. If many machines seem slow at once, the comparison is considered wrong and nothing is done.
     */
    fun evictStragglers(machines: Collection<Machine>) {
        if (context.now < nextCheckAt) return
        nextCheckAt = context.now + context.settings.workers.reportSeconds / CHECKS_PER_HEARTBEAT_INTERVAL
        val inService = machines.filter { it.isUp && !it.isLeaseExpired && !it.isDraining && !leases.isSilent(it) }
        val slow = inService.filter { stragglers.isSlow(it) }
        if (slow.size > inService.size * MAX_STRAGGLER_SHARE) return
        for (machine in slow) {
            context.info("straggler machine evicted", "machine" to machine.id, "slowFactor" to StragglerDetector.SLOW_FACTOR)
            evictStraggler(machine)
            onStragglerEvicted(machine)
        }
    }

    /** Takes the slow [machine] out of service and stops the tasks running on it. */
    fun evictStraggler(machine: Machine) {
        machine.drainReason = DrainReason.SLOW
        stragglers.runningOn(machine).forEach { stopOnSlow(machine, it) }
    }

    private fun stopOnSlow(
        machine: Machine,
        allocation: Allocation,
    ) {
        val job = registry.jobs[allocation.job] ?: return
        val spec = job.spec
        if (spec.gang) {
            gangStopper.stop(job, StopReason.MACHINE_SLOW, machine.id, mustSave = false)
        } else if (allocation.stopGraceSeconds == null) {
            allocation.stopGraceSeconds = if (spec.checkpointIntervalSeconds > 0) saveGraceSeconds(spec) else 0.0
        }
    }

    /** Stops the tasks on the reclaimed [machine] that can save their progress. The others may complete before it is reclaimed. */
    fun evictReclaimed(machine: Machine) {
        val gangs = LinkedHashSet<Job>()
        val allocations = registry.allocations.byMachine[machine.id]?.values
        for (allocation in allocations.orEmpty()) {
            val job = registry.jobs[allocation.job] ?: continue
            if (job.spec.gang) gangs += job else stopOnReclaimed(machine, allocation, job.spec)
        }
        gangs.forEach { gangStopper.stop(it, StopReason.MACHINE_RECLAIMED, machine.id, mustSave = true) }
    }

    private fun stopOnReclaimed(
        machine: Machine,
        allocation: Allocation,
        spec: JobSpec,
    ) {
        val canSave = allocation.phase == AllocationPhase.RUNNING && spec.checkpointIntervalSeconds > 0
        if (!canSave || allocation.stopGraceSeconds != null) return
        allocation.stopGraceSeconds = saveGraceSeconds(spec)
        context.info(
            "task stop requested",
            "task" to allocation.taskName,
            "machine" to machine.id,
            "reason" to StopReason.MACHINE_RECLAIMED.text,
        )
    }

    private fun saveGraceSeconds(spec: JobSpec): Double = spec.saveSeconds * GangRules.CHECKPOINT_GRACE_FACTOR

    private companion object {
        const val CHECKS_PER_HEARTBEAT_INTERVAL = 2
        const val MAX_STRAGGLER_SHARE = 0.25
    }
}
