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
 * Empties machines that operators drain: tasks that certainly end soon are left to finish, the rest are moved as far as their job class
 * permits.
 */
internal class GracefulEviction(
    private val context: StepContext,
    private val settings: BalanceSettings,
    private val registry: JobRegistry,
    private val workers: WorkerManager,
    private val moves: MoveExecutor,
    private val targets: () -> MoveTargetFinder,
) {
    private val finishSeconds = settings.finishReports * context.settings.workers.reportSeconds
    private val capacityWaitSeconds = settings.capacityWaitLeases * context.settings.workers.leaseSeconds

    /** Since when each task has found no capacity elsewhere, by task name. */
    private var withoutTargetSince = HashMap<String, Double>()

    /** Forgets what this term has seen. */
    fun clear() = withoutTargetSince.clear()

    /** One sweep over the machines that drains cover, by [covering]; returns the progress of each drain. */
    fun sweep(covering: (Machine) -> Drain?): Map<Drain, DrainProgress> {
        val progress = HashMap<Drain, DrainProgress>()
        val sweep = Sweep()
        for (machine in workers.machines.values.toList()) {
            val drain = covering(machine) ?: continue
            val drainProgress = progress.getOrPut(drain) { DrainProgress() }
            drainProgress.machines++
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
        private val gangs = HashSet<String>()
        private val withoutTarget = HashMap<String, Double>()
        private val targetFinder by lazy(LazyThreadSafetyMode.NONE) { targets() }

        fun assess(
            machine: Machine,
            job: Job,
            allocation: Allocation,
        ): EvictionDelay =
            when {
                allocation.phase <= AllocationPhase.COMMITTED -> EvictionDelay.STARTING

                allocation.stopGraceSeconds != null || allocation.phase == AllocationPhase.CHECKPOINTING ||
                    allocation.job in gangs -> EvictionDelay.STOPPING

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
            val count = moves.countOf(taskName) + 1
            return when {
                moves.isOpen(taskName) -> EvictionDelay.STOPPING
                permission == MovePermission.NEVER -> EvictionDelay.NOT_PERMITTED
                permission == MovePermission.SAVED && job.spec.checkpointIntervalSeconds <= 0 -> EvictionDelay.NO_CHECKPOINTS
                count > settings.movesPerTask -> EvictionDelay.MOVE_LIMIT_REACHED
                moves.writing || planned.size >= moves.maxMovesPerRow -> EvictionDelay.OVER_BUDGET
                else -> plan(machine, job, allocation, task, count)
            }
        }

        private fun plan(
            machine: Machine,
            job: Job,
            allocation: Allocation,
            task: Int,
            count: Int,
        ): EvictionDelay {
            val spec = job.spec
            val tasks = if (spec.gang) spec.taskCount else 1
            val move = Move(allocation.job, task, allocation.attempt, spec.team, spec.jobClass, machine.id, null, count, tasks)
            if (!moves.permits(move)) return EvictionDelay.OVER_BUDGET
            // A gang is placed as a whole once it has stopped, so no capacity is reserved for it.
            val target = if (spec.gang) null else targetFinder.reserveTarget(job, allocation)
            if (target == null && !spec.gang && !hasWaitedForCapacity(move.taskName)) return EvictionDelay.NO_CAPACITY
            moves.spend(move)
            planned += move.copy(to = target?.id)
            if (spec.gang) gangs += allocation.job
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

    /** Whether the task certainly ends within the operators' limit, judged by tasks of its job that have ended, or by the owner's estimate. */
    private fun endsSoon(
        job: Job,
        allocation: Allocation,
    ): Boolean {
        // Of a task that an earlier leader started it is only known that it has run since this leader loaded it.
        val since =
            allocation.startedAt ?: allocation.allocatedAt.takeIf {
                allocation.isInherited &&
                    allocation.phase == AllocationPhase.RUNNING
            }
        val ranSeconds = since?.let { context.now - it } ?: 0.0
        val leftSeconds = (job.meanRunSeconds ?: job.spec.estimatedRunSeconds) * ESTIMATE_MARGIN - ranSeconds
        return leftSeconds in 0.0..finishSeconds
    }

    private companion object {
        /** Run times within one job differ, and estimates are often wrong by half. */
        const val ESTIMATE_MARGIN = 1.5
    }
}
