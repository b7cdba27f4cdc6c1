package burlridge.worker

import burlridge.allocation.AllocationPhase
import burlridge.allocation.GangRules
import burlridge.allocation.GangState
import burlridge.allocation.Job
import burlridge.allocation.JobRegistry
import burlridge.core.StepContext

/** Tasks are taken off machines that are slow or that the cloud takes back. */
internal class TaskEviction(
    private val context: StepContext,
    private val registry: JobRegistry,
    private val workers: WorkerManager,
) {
    private val stragglers = StragglerDetector(registry)
    private var slowAt = 0.0

    /**
     * A machine whose tasks take much longer than others of the same jobs is given up: what runs there starts again elsewhere
     * sooner than it would end. Not where many seem slow at once: then it is our measure that is wrong.
     */
    fun evictStragglers(machines: Collection<Machine>) {
        if (context.now < slowAt) return
        slowAt = context.now + context.settings.workers.reportSeconds / 2
        val up = machines.filter { it.up && !it.leaseExpired && !it.draining && !workers.isSilent(it) }
        val slow = up.filter { stragglers.isSlow(it) }
        if (slow.size > up.size * MOST_SLOW) return
        for (machine in slow) {
            context.info(
                "machine ${machine.id} is slow: its tasks take over ${StragglerDetector.SLOW} times as long as " +
                    "others of their jobs; leaving it",
            )
            evict(machine)
            workers.onSlow(machine)
        }
    }

    /** Takes a slow [machine] out of service, and stops what is seen to run there. */
    fun evict(machine: Machine) {
        machine.drainReason = DrainReason.SLOW
        stragglers.running(machine).forEach { allocation ->
            val job = registry.jobs[allocation.job] ?: return@forEach
            val spec = job.spec
            when {
                spec.gang -> {
                    stopGang(job, "machine ${machine.id} is slow", mustSave = false)
                }

                allocation.stopGraceSeconds == null -> {
                    allocation.stopGraceSeconds =
                        if (spec.checkpointSeconds > 0) spec.saveSeconds * GangRules.CHECKPOINT_GRACE_FACTOR else 0.0
                }
            }
        }
    }

    /** Tasks that can save do so before the cloud takes the machine; the others may yet finish. */
    fun drain(machine: Machine) {
        val gangs = LinkedHashSet<Job>()
        for (allocation in registry.allocations.byMachine[machine.id]
            ?.values
            .orEmpty()) {
            val job = registry.jobs[allocation.job] ?: continue
            val spec = job.spec
            if (spec.gang) {
                gangs += job
                continue
            }
            if (allocation.phase == AllocationPhase.RUNNING && spec.checkpointSeconds > 0 && allocation.stopGraceSeconds == null) {
                allocation.stopGraceSeconds = spec.saveSeconds * GangRules.CHECKPOINT_GRACE_FACTOR
                context.info("task ${allocation.taskName} is stopped on ${machine.id}: the cloud takes the machine back")
            }
        }
        gangs.forEach { stopGang(it, "the cloud takes ${machine.id} back", mustSave = true) }
    }

    /**
     * Stops a gang in order: every task is told at once, since the save fails unless all hear of it within a short time. One that
     * cannot be told, or cannot save where it [mustSave], is left to run: it may yet end before its machine does.
     */
    fun stopGang(
        job: Job,
        reason: String,
        mustSave: Boolean,
    ) {
        val state = GangRules.state(job)
        if (state != GangState.RUNNING && state != GangState.AWAITING_GANG) return
        val on =
            job.allocations.values
                .mapNotNull { workers.machines[it.machine] }
                .distinct()
        if (state == GangState.RUNNING) {
            if (mustSave && job.spec.checkpointSeconds <= 0) return
            if (!on.all {
                    it.up && it.isResponsive && !it.leaseExpired && it.refusals == 0 &&
                        !workers.isSilent(
                            it,
                        ) && workers.reaches(it)
                }
            ) {
                return
            }
        }
        context.info("gang ${job.spec.id} run ${job.highestAttempt} is stopped: $reason")
        GangRules.stop(job).filter { it.phase == AllocationPhase.COMMITTED }.forEach { workers.lose(it, reason) }
        on.forEach { workers.command(it) }
    }

    private companion object {
        const val MOST_SLOW = 0.25
    }
}
