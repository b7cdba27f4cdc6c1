package burlridge.balance

import burlridge.allocation.Allocation
import burlridge.allocation.AllocationPhase
import burlridge.allocation.Job
import burlridge.allocation.JobRegistry
import burlridge.core.StepContext
import burlridge.placement.MoveTargetFinder
import burlridge.settings.BalanceSettings
import burlridge.settings.MovePermission
import burlridge.worker.Machine
import burlridge.worker.WorkerManager

/**
 * Keeps new tasks off hot machines and moves running tasks off them if that clearly shortens the run time: one task per machine at a time,
 * the one that gains most, to a machine that is not hot. Does nothing if a large share of the fleet looks hot or sends no heartbeats,
 * because the measurement is then unreliable.
 */
internal class HotspotMitigation(
    private val context: StepContext,
    private val settings: BalanceSettings,
    private val registry: JobRegistry,
    private val workers: WorkerManager,
    private val moves: MoveExecutor,
    private val decisions: DecisionLog,
    private val newTargetFinder: () -> MoveTargetFinder,
) {
    private val workerTimes = context.settings.workers
    val loadTracker: LoadTracker = LoadTracker(settings, minOf(workerTimes.leaseSeconds, MAX_HALF_LIFE_SECONDS))
    private var nextAssessmentAt = 0.0

    /** Ids of the machines that receive no new tasks; empty while the measurement is unreliable. */
    var hotMachines: Set<String> = emptySet()
        private set

    /** Clears all measurements; called when a term begins or ends. */
    fun clear() {
        loadTracker.clear()
        hotMachines = emptySet()
    }

    /** Records the run times so far of the tasks on [machine], after a new heartbeat has been processed. */
    fun onHeartbeat(machine: Machine) {
        for (allocation in registry.allocations.byMachine[machine.id]
            ?.values
            .orEmpty()) {
            val since = allocation.startedAt?.takeIf { allocation.phase == AllocationPhase.RUNNING } ?: continue
            val job = registry.jobs[allocation.job] ?: continue
            loadTracker.recordRunning(machine.id, job, machine.lastMessageAt - since, context.now)
        }
    }

    /** Records that a task of [job] completed on [machine] after [elapsedSeconds]. */
    fun onTaskCompleted(
        machine: Machine,
        job: Job,
        elapsedSeconds: Double,
    ) = loadTracker.recordCompleted(machine.id, job, elapsedSeconds, context.now)

    /** Updates the set of hot machines and plans moves off them, twice per heartbeat interval. */
    fun tick() {
        if (settings.hotFactor <= 0.0 || context.now < nextAssessmentAt) return
        nextAssessmentAt = context.now + workerTimes.reportSeconds / 2
        loadTracker.retainOnly(workers.machines.keys)
        val previouslyHot = hotMachines
        hotMachines = findHotMachines()
        (hotMachines - previouslyHot).forEach { id ->
            decisions.add(Decision.MachineBecameHot(id, loadTracker.slowdown(id, context.now)))
            context.infoLimited("machine hot", "machine" to id, "slowdown" to "%.1f".format(loadTracker.slowdown(id, context.now)))
        }
        (previouslyHot - hotMachines).forEach { decisions.add(Decision.MachineCooledDown(it, loadTracker.slowdown(it, context.now))) }
        if (hotMachines.isNotEmpty() && settings.relieveHot && !moves.isWriting) moveTasksOffHotMachines()
    }

    private fun findHotMachines(): Set<String> {
        val servingMachines = workers.machines.values.filter { it.isUp && !it.isLeaseExpired && !it.isDraining }
        val loads = servingMachines.associateWith { loadTracker.load(it, workers.isSilent(it) || !it.isResponsive, context.now) }
        val hotCandidates = loads.filterValues { it == LoadLevel.HOT }.keys
        val silentCount = servingMachines.count { workers.isSilent(it) || !it.isResponsive }
        val isUnreliable =
            hotCandidates.size > maxOf(1.0, servingMachines.size * MAX_HOT_SHARE) || silentCount > servingMachines.size * MAX_SILENT_SHARE
        return if (isUnreliable) emptySet() else hotCandidates.mapTo(HashSet()) { it.id }
    }

    private fun moveTasksOffHotMachines() {
        val targetFinder = lazy(LazyThreadSafetyMode.NONE) { newTargetFinder() }
        val planned = ArrayList<Move>()
        for (id in hotMachines) {
            if (planned.size >= moves.maxMovesPerRow) break
            planMove(id, targetFinder)?.let { planned += it }
        }
        if (planned.isNotEmpty()) moves.plan(planned)
    }

    /**
     * Plans the move of one task off the hot machine [id], reserves capacity for it and charges it to the budgets. Returns null if no move
     * is worthwhile or permitted.
     */
    private fun planMove(
        id: String,
        targetFinder: Lazy<MoveTargetFinder>,
    ): Move? {
        val machine = workers.machines[id] ?: return null
        val (job, allocation) = mostBeneficialMove(machine) ?: return null
        val spec = job.spec
        val moveNumber = moves.moveCountOf(allocation.taskName) + 1
        val move =
            Move(allocation.job, allocation.task, allocation.attempt, spec.team, spec.jobClass, id, null, moveNumber, 1, MoveReason.HOT)
        if (moveNumber > settings.movesPerTask || !moves.permits(move)) return null
        val target = targetFinder.value.reserveTarget(job, allocation) { isWorthwhile(job, allocation, machine, it) } ?: return null
        moves.charge(move)
        return move.copy(to = target.id)
    }

    private fun mostBeneficialMove(machine: Machine): Pair<Job, Allocation>? =
        registry.allocations.byMachine[machine.id]
            ?.values
            .orEmpty()
            .mapNotNull { allocation -> registry.jobs[allocation.job]?.takeIf { isMovable(it, allocation) }?.let { it to allocation } }
            .maxByOrNull { (job, allocation) ->
                gain(job, allocation, machine, fetchSeconds = 0.0)?.gainSeconds
                    ?: Double.NEGATIVE_INFINITY
            }?.takeIf { (job, allocation) ->
                (gain(job, allocation, machine, fetchSeconds = 0.0)?.gainSeconds ?: 0.0) > minGainSeconds
            }

    private val minGainSeconds = settings.gainReports * workerTimes.reportSeconds

    private fun isMovable(
        job: Job,
        allocation: Allocation,
    ): Boolean {
        if (job.spec.gang || job.isEnding || allocation.phase != AllocationPhase.RUNNING ||
            allocation.stopGraceSeconds != null
        ) {
            return false
        }
        if (moves.isOpen(allocation.taskName)) return false
        return when (settings.permission(job.spec.jobClass)) {
            MovePermission.NEVER -> false
            MovePermission.SAVED -> job.spec.checkpointIntervalSeconds > 0
            MovePermission.REPEAT -> true
        }
    }

    private fun isWorthwhile(
        job: Job,
        allocation: Allocation,
        from: Machine,
        to: MoveTargetFinder.Candidate,
    ): Boolean {
        if (to.machine.id in hotMachines || loadTracker.slowdown(to.machine.id, context.now) > settings.coolFactor) return false
        return (gain(job, allocation, from, to.fetchSeconds)?.gainSeconds ?: 0.0) > minGainSeconds
    }

    private fun gain(
        job: Job,
        allocation: Allocation,
        machine: Machine,
        fetchSeconds: Double,
    ): MoveGain? {
        val expectedSeconds = loadTracker.expectedRunSeconds(job) ?: return null
        val elapsedSeconds = context.now - (allocation.startedAt ?: return null)
        val slowdown = loadTracker.slowdown(machine.id, context.now)
        // A task that should have ended by now may end at any moment, so a move gains nothing for certain.
        val remainingSeconds = (expectedSeconds - elapsedSeconds / slowdown).takeIf { it > 0.0 } ?: return null
        val hasCheckpoints = job.spec.checkpointIntervalSeconds > 0
        return MoveGain(
            remainingSeconds,
            slowdown,
            if (hasCheckpoints) 0.0 else elapsedSeconds,
            if (hasCheckpoints) job.spec.saveSeconds else 0.0,
            fetchSeconds,
            workerTimes.reportSeconds / 2,
        )
    }

    private companion object {
        /** The measurement is unreliable if a larger share of the fleet looks hot, or is silent. */
        const val MAX_HOT_SHARE = 0.25
        const val MAX_SILENT_SHARE = 0.5

        /** A hot mark must decay well before the 90 s within which a waiting job must be given existing capacity. */
        const val MAX_HALF_LIFE_SECONDS = 20.0
    }
}
