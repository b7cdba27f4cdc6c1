package burlridge.balance

import burlridge.allocation.Allocation
import burlridge.allocation.AllocationPhase
import burlridge.allocation.Job
import burlridge.allocation.JobRegistry
import burlridge.core.StepContext
import burlridge.placement.MoveTargetFinder
import burlridge.settings.BalanceSettings
import burlridge.settings.MovePermission
import burlridge.worker.DrainReason
import burlridge.worker.LossReason
import burlridge.worker.Machine
import burlridge.worker.WorkerManager

/**
 * Evicts the tasks from machines that operators drain: tasks that are certain to end soon are left to finish, the others are moved if the
 * settings permit it for their job class.
 */
internal class GracefulEviction(
    private val context: StepContext,
    private val settings: BalanceSettings,
    private val registry: JobRegistry,
    private val workers: WorkerManager,
    private val moves: MoveExecutor,
    private val newTargetFinder: () -> MoveTargetFinder,
) {
    private val finishSeconds = settings.finishReports * context.settings.workers.reportSeconds
    private val capacityWaitSeconds = settings.capacityWaitLeases * context.settings.workers.leaseSeconds

    /** Time since which no capacity elsewhere has been found for a task, by task name. */
    private var withoutTargetSince = HashMap<String, Double>()

    /** Clears all state; called when a term begins or ends. */
    fun clear() = withoutTargetSince.clear()

    /** Sweeps over all machines for which [covering] returns a drain, plans moves, and returns the progress of each drain. */
    fun sweep(covering: (Machine) -> Drain?): Map<Drain, DrainProgress> {
        val progress = HashMap<Drain, DrainProgress>()
        val sweep = Sweep()
        for (machine in workers.machines.values.toList()) {
            val drain = covering(machine) ?: continue
            val drainProgress = progress.getOrPut(drain) { DrainProgress() }
            drainProgress.machineCount++
            if (machine.drainReason != DrainReason.OPERATOR) continue
            workers.releaseUndispatched(machine, LossReason.MACHINE_DRAINED)
            for (allocation in registry.allocations.byMachine[machine.id]
                ?.values
                .orEmpty()) {
                val job = registry.jobs[allocation.job]?.takeIf { !it.isCancelling } ?: continue
                drainProgress.addRemaining(sweep.assess(machine, job, allocation))
            }
        }
        sweep.finish()
        return progress
    }

    private inner class Sweep {
        private val planned = ArrayList<Move>()
        private val stoppedGangs = HashSet<String>()
        private val withoutTarget = HashMap<String, Double>()
        private val targetFinder by lazy(LazyThreadSafetyMode.NONE) { newTargetFinder() }

        fun assess(
            machine: Machine,
            job: Job,
            allocation: Allocation,
        ): EvictionDelay =
            when {
                allocation.phase <= AllocationPhase.COMMITTED -> EvictionDelay.STARTING

                allocation.stopGraceSeconds != null || allocation.phase == AllocationPhase.CHECKPOINTING ||
                    allocation.job in stoppedGangs -> EvictionDelay.STOPPING

                workers.isSilent(machine) || !machine.isResponsive || machine.isLeaseExpired -> EvictionDelay.NO_HEARTBEAT

                endsSoon(job, allocation) -> EvictionDelay.FINISHING

                else -> tryMove(machine, job, allocation)
            }

        private fun tryMove(
            machine: Machine,
            job: Job,
            allocation: Allocation,
        ): EvictionDelay {
            val task = if (job.spec.gang) Move.WHOLE_GANG else allocation.task
            val taskName = "${allocation.job}/$task"
            val permission = settings.permission(job.spec.jobClass)
            val moveNumber = moves.moveCountOf(taskName) + 1
            return when {
                moves.isOpen(taskName) -> EvictionDelay.STOPPING
                permission == MovePermission.NEVER -> EvictionDelay.NOT_PERMITTED
                permission == MovePermission.SAVED && job.spec.checkpointIntervalSeconds <= 0 -> EvictionDelay.NO_CHECKPOINTS
                moveNumber > settings.movesPerTask -> EvictionDelay.MOVE_LIMIT_REACHED
                moves.isWriting || planned.size >= moves.maxMovesPerRow -> EvictionDelay.OVER_BUDGET
                else -> plan(machine, job, allocation, task, moveNumber)
            }
        }

        private fun plan(
            machine: Machine,
            job: Job,
            allocation: Allocation,
            task: Int,
            moveNumber: Int,
        ): EvictionDelay {
            val spec = job.spec
            val taskCount = if (spec.gang) spec.taskCount else 1
            val move = Move(allocation.job, task, allocation.attempt, spec.team, spec.jobClass, machine.id, null, moveNumber, taskCount)
            if (!moves.permits(move)) return EvictionDelay.OVER_BUDGET
            // A gang is placed again as a whole after it has stopped, so no capacity is reserved for it.
            val target = if (spec.gang) null else targetFinder.reserveTarget(job, allocation)
            if (target == null && !spec.gang && !hasWaitedForCapacity(move.taskName)) return EvictionDelay.NO_CAPACITY
            moves.charge(move)
            planned += move.copy(to = target?.id)
            if (spec.gang) stoppedGangs += allocation.job
            return EvictionDelay.STOPPING
        }

        private fun hasWaitedForCapacity(taskName: String): Boolean {
            val since = withoutTargetSince[taskName] ?: context.now
            withoutTarget[taskName] = since
            return context.now >= since + capacityWaitSeconds
        }

        fun finish() {
            withoutTargetSince = withoutTarget
            if (planned.isNotEmpty()) moves.plan(planned)
        }
    }

    /**
     * Whether the task is expected to end within [finishSeconds], by the mean run time of the tasks of its job that have ended, or else by
     * the owner's estimate.
     */
    private fun endsSoon(
        job: Job,
        allocation: Allocation,
    ): Boolean {
        // For a task started under an earlier leader, only the time since this leader loaded its allocation is known.
        val since =
            allocation.startedAt ?: allocation.allocatedAt.takeIf {
                allocation.isInherited &&
                    allocation.phase == AllocationPhase.RUNNING
            }
        val elapsedSeconds = since?.let { context.now - it } ?: 0.0
        val remainingSeconds = (job.meanRunSeconds ?: job.spec.estimatedRunSeconds) * ESTIMATE_MARGIN - elapsedSeconds
        return remainingSeconds in 0.0..finishSeconds
    }

    private companion object {
        /** Factor on the expected run time: run times within one job vary, and estimates are often wrong by half. */
        const val ESTIMATE_MARGIN = 1.5
    }
}
