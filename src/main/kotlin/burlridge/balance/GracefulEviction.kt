package burlridge.balance

import burlridge.allocation.Allocation
import burlridge.allocation.AllocationPhase
import burlridge.allocation.Job
import burlridge.allocation.JobRegistry
import burlridge.allocation.JobState
import burlridge.core.StepContext
import burlridge.placement.MoveTargetFinder
import burlridge.settings.BalanceSettings
import burlridge.settings.MovePermission
import burlridge.worker.DrainReason
import burlridge.worker.Machine
import burlridge.worker.WorkerManager

/** Why a task is still on a machine that is drained. */
internal enum class StayReason(
    val text: String,
) {
    STOPPING("being stopped"),
    FINISHING("surely ends soon"),
    NOT_PERMITTED("its class is never moved"),
    DOES_NOT_SAVE("does not save and may not be repeated"),
    MOVED_OFTEN("has been moved as often as it may"),
    OVER_BUDGET("waits for the budget of moves"),
    NO_ROOM("waits for room elsewhere"),
    UNHEARD("its machine is not heard, so nothing can be proven of it"),
    NOT_YET("its start is under way"),
}

/** What is left on the machines of one drain. */
internal class DrainProgress {
    var machines = 0
    val tasks = java.util.EnumMap<StayReason, Int>(StayReason::class.java)

    fun stays(
        reason: StayReason,
        count: Int = 1,
    ) {
        tasks.merge(reason, count, Int::plus)
    }
}

/** Empties the machines that operators drain: what surely ends soon finishes, and the rest is moved as far as its class permits. */
internal class GracefulEviction(
    private val context: StepContext,
    private val settings: BalanceSettings,
    private val registry: JobRegistry,
    private val workers: WorkerManager,
    private val moves: Moves,
    private val targets: () -> MoveTargetFinder,
) {
    private val finishSeconds = settings.finishReports * context.settings.workers.reportSeconds
    private val roomSeconds = settings.roomLeases * context.settings.workers.leaseSeconds

    /** Since when a task has found no room elsewhere. */
    private var roomlessSince = HashMap<String, Double>()

    fun clear() = roomlessSince.clear()

    /** One sweep over the machines that drains cover; what it finds is the progress of each drain. */
    fun sweep(covering: (Machine) -> Drain?): Map<Drain, DrainProgress> {
        val progress = HashMap<Drain, DrainProgress>()
        val sweep = Sweep()
        for (machine in workers.machines.values.toList()) {
            val drain = covering(machine) ?: continue
            val here = progress.getOrPut(drain) { DrainProgress() }
            here.machines++
            if (machine.drainReason != DrainReason.OPERATOR) continue
            workers.releaseUndispatched(machine, "never sent, and its machine is drained")
            for (allocation in registry.allocations.byMachine[machine.id]
                ?.values
                .orEmpty()) {
                val job = registry.jobs[allocation.job]?.takeIf { it.pendingEndState != JobState.CANCELLED } ?: continue
                here.stays(sweep.look(machine, job, allocation))
            }
        }
        sweep.finish()
        return progress
    }

    private inner class Sweep {
        private val planned = ArrayList<Move>()
        private val gangs = HashSet<String>()
        private val roomless = HashMap<String, Double>()
        private val room by lazy(LazyThreadSafetyMode.NONE) { targets() }

        fun look(
            machine: Machine,
            job: Job,
            allocation: Allocation,
        ): StayReason =
            when {
                allocation.phase <= AllocationPhase.COMMITTED -> StayReason.NOT_YET

                allocation.stopGraceSeconds != null || allocation.phase == AllocationPhase.CHECKPOINTING ||
                    allocation.job in gangs -> StayReason.STOPPING

                workers.isSilent(machine) || !machine.isResponsive || machine.leaseExpired -> StayReason.UNHEARD

                endsSoon(job, allocation) -> StayReason.FINISHING

                else -> tryMove(machine, job, allocation)
            }

        private fun tryMove(
            machine: Machine,
            job: Job,
            allocation: Allocation,
        ): StayReason {
            val task = if (job.spec.gang) Move.WHOLE_GANG else allocation.task
            val taskName = "${allocation.job}/$task"
            val permission = settings.permission(job.spec.jobClass)
            val count = moves.countOf(taskName) + 1
            return when {
                moves.isOpen(taskName) -> StayReason.STOPPING
                permission == MovePermission.NEVER -> StayReason.NOT_PERMITTED
                permission == MovePermission.SAVED && job.spec.checkpointSeconds <= 0 -> StayReason.DOES_NOT_SAVE
                count > settings.movesPerTask -> StayReason.MOVED_OFTEN
                moves.writing || planned.size >= moves.mostPerRow -> StayReason.OVER_BUDGET
                else -> plan(machine, job, allocation, task, count)
            }
        }

        private fun plan(
            machine: Machine,
            job: Job,
            allocation: Allocation,
            task: Int,
            count: Int,
        ): StayReason {
            val spec = job.spec
            val tasks = if (spec.gang) spec.tasks else 1
            val move = Move(allocation.job, task, allocation.attempt, spec.team, spec.jobClass, machine.id, null, count, tasks)
            if (!moves.permits(move)) return StayReason.OVER_BUDGET
            // A gang finds its seats only once it is gone: no room is kept for it.
            val target = if (spec.gang) null else room.reserveTarget(job, allocation)
            if (target == null && !spec.gang && !waitedLong(move.taskName)) return StayReason.NO_ROOM
            moves.spend(move)
            planned += move.copy(to = target?.id)
            if (spec.gang) gangs += allocation.job
            return StayReason.STOPPING
        }

        private fun waitedLong(taskName: String): Boolean {
            val since = roomlessSince[taskName] ?: context.now
            roomless[taskName] = since
            return context.now >= since + roomSeconds
        }

        fun finish() {
            roomlessSince = roomless
            if (planned.isNotEmpty()) moves.plan(planned)
        }
    }

    /** Whether its run surely ends within the operators' limit, by those of its job that have ended or by its owner's estimate. */
    private fun endsSoon(
        job: Job,
        allocation: Allocation,
    ): Boolean {
        // Of a task that an earlier leader started, what is known is that it has run since this one knows of it.
        val since =
            allocation.startedAt ?: allocation.allocatedAt.takeIf {
                allocation.isInherited &&
                    allocation.phase == AllocationPhase.RUNNING
            }
        val ranSeconds = since?.let { context.now - it } ?: 0.0
        val leftSeconds = (job.meanRunSeconds ?: job.spec.estimateSeconds) * UNSURE - ranSeconds
        return leftSeconds in 0.0..finishSeconds
    }

    private companion object {
        /** Runs of one job differ, and estimates are often wrong by half. */
        const val UNSURE = 1.5
    }
}
