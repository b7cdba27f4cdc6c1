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

/** What a move costs and gains, in seconds until the task's end. */
internal data class MoveGain(
    /** Work that is left, in seconds on a machine of the usual pace. */
    val leftSeconds: Double,
    /** How many times as long it takes where it is. */
    val slowdown: Double,
    /** Work that is done again. */
    val lostSeconds: Double,
    val saveSeconds: Double,
    val fetchSeconds: Double,
    /** Until the stop is proven and the start has arrived. */
    val changeSeconds: Double,
) {
    /** The slowdown is an estimate: only a part of it is sure. */
    val gainSeconds: Double get() = leftSeconds * (slowdown - 1.0) * SURE_PART - costSeconds
    val costSeconds: Double get() = lostSeconds + saveSeconds + fetchSeconds + changeSeconds

    private companion object {
        const val SURE_PART = 0.7
    }
}

/**
 * Keeps new work off hot machines, and empties part of their room where that surely gains: one task of a machine at a time, the one that
 * gains most, onto a machine that is not hot. Where much of the fleet looks hot, or is not heard, the picture is wrong and nothing is done.
 */
internal class HotspotMitigation(
    private val context: StepContext,
    private val settings: BalanceSettings,
    private val registry: JobRegistry,
    private val workers: WorkerManager,
    private val moves: Moves,
    private val decisions: DecisionLog,
    private val targets: () -> MoveTargetFinder,
) {
    private val times = context.settings.workers
    val picture: LoadTracker = LoadTracker(settings, minOf(times.leaseSeconds, LONGEST_HALF_LIFE_SECONDS))
    private var judgeAt = 0.0

    /** Machines that get nothing new, by name; empty where the picture is not to be relied on. */
    var hot: Set<String> = emptySet()
        private set

    fun clear() {
        picture.clear()
        hot = emptySet()
    }

    /** A fresh report of [machine] has been taken over. */
    fun heard(machine: Machine) {
        for (allocation in registry.allocations.byMachine[machine.id]
            ?.values
            .orEmpty()) {
            val since = allocation.startedAt?.takeIf { allocation.phase == AllocationPhase.RUNNING } ?: continue
            val job = registry.jobs[allocation.job] ?: continue
            picture.runs(machine.id, job, machine.lastMessageAt - since, context.now)
        }
    }

    fun ended(
        machine: Machine,
        job: Job,
        ranSeconds: Double,
    ) = picture.ended(machine.id, job, ranSeconds, context.now)

    fun tick() {
        if (settings.hotFactor <= 0.0 || context.now < judgeAt) return
        judgeAt = context.now + times.reportSeconds / 2
        picture.keepOnly(workers.machines.keys)
        val before = hot
        hot = judge()
        (hot - before).forEach { id ->
            decisions.add(Decision.BecameHot(id, picture.slowdown(id, context.now)))
            context.infoRateLimited(
                "hot machines",
                "machine $id is hot: its tasks take %.1f times as long".format(picture.slowdown(id, context.now)),
            )
        }
        (before - hot).forEach { decisions.add(Decision.Cooled(it, picture.slowdown(it, context.now))) }
        if (hot.isNotEmpty() && settings.relieveHot && !moves.writing) relieve()
    }

    private fun judge(): Set<String> {
        val up = workers.machines.values.filter { it.up && !it.leaseExpired && !it.draining }
        val loads = up.associateWith { picture.load(it, workers.isSilent(it) || !it.isResponsive, context.now) }
        val hotOnes = loads.filterValues { it == Load.HOT }.keys
        val zonesWithoutHeartbeats = up.count { workers.isSilent(it) || !it.isResponsive }
        val isWrong = hotOnes.size > maxOf(1.0, up.size * MOST_HOT) || zonesWithoutHeartbeats > up.size * MOST_UNHEARD
        return if (isWrong) emptySet() else hotOnes.mapTo(HashSet()) { it.id }
    }

    private fun relieve() {
        val room by lazy(LazyThreadSafetyMode.NONE) { targets() }
        val planned = ArrayList<Move>()
        for (id in hot) {
            if (planned.size >= moves.mostPerRow) break
            val machine = workers.machines[id] ?: continue
            val (job, allocation) = mostGaining(machine) ?: continue
            val spec = job.spec
            val count = moves.countOf(allocation.taskName) + 1
            val move =
                Move(allocation.job, allocation.task, allocation.attempt, spec.team, spec.jobClass, id, null, count, 1, MoveReason.HOT)
            if (count > settings.movesPerTask || !moves.permits(move)) continue
            val target = room.reserveTarget(job, allocation) { candidate -> isWorth(job, allocation, machine, candidate) } ?: continue
            moves.spend(move)
            planned += move.copy(to = target.id)
        }
        if (planned.isNotEmpty()) moves.plan(planned)
    }

    private fun mostGaining(machine: Machine): Pair<Job, Allocation>? =
        registry.allocations.byMachine[machine.id]
            ?.values
            .orEmpty()
            .mapNotNull { allocation -> registry.jobs[allocation.job]?.takeIf { mayMove(it, allocation) }?.let { it to allocation } }
            .maxByOrNull { (job, allocation) ->
                gain(job, allocation, machine, fetchSeconds = 0.0)?.gainSeconds
                    ?: Double.NEGATIVE_INFINITY
            }?.takeIf { (job, allocation) ->
                (gain(job, allocation, machine, fetchSeconds = 0.0)?.gainSeconds ?: 0.0) > leastGainSeconds
            }

    private val leastGainSeconds = settings.gainReports * times.reportSeconds

    private fun mayMove(
        job: Job,
        allocation: Allocation,
    ): Boolean {
        if (job.spec.gang || job.pendingEndState != null || allocation.phase != AllocationPhase.RUNNING ||
            allocation.stopGraceSeconds != null
        ) {
            return false
        }
        if (moves.isOpen(allocation.taskName)) return false
        return when (settings.permission(job.spec.jobClass)) {
            MovePermission.NEVER -> false
            MovePermission.SAVED -> job.spec.checkpointSeconds > 0
            MovePermission.REPEAT -> true
        }
    }

    private fun isWorth(
        job: Job,
        allocation: Allocation,
        from: Machine,
        to: MoveTargetFinder.Candidate,
    ): Boolean {
        if (to.machine.id in hot || picture.slowdown(to.machine.id, context.now) > settings.coolFactor) return false
        return (gain(job, allocation, from, to.fetchSeconds)?.gainSeconds ?: 0.0) > leastGainSeconds
    }

    private fun gain(
        job: Job,
        allocation: Allocation,
        machine: Machine,
        fetchSeconds: Double,
    ): MoveGain? {
        val expectedSeconds = picture.expectedRunSeconds(job) ?: return null
        val ranSeconds = context.now - (allocation.startedAt ?: return null)
        val slowdown = picture.slowdown(machine.id, context.now)
        // One that should be over by now may end at any moment: nothing is sure to be gained.
        val leftSeconds = (expectedSeconds - ranSeconds / slowdown).takeIf { it > 0.0 } ?: return null
        val saves = job.spec.checkpointSeconds > 0
        return MoveGain(
            leftSeconds,
            slowdown,
            if (saves) 0.0 else ranSeconds,
            if (saves) job.spec.saveSeconds else 0.0,
            fetchSeconds,
            times.reportSeconds / 2,
        )
    }

    private companion object {
        /** Where more of the fleet than this looks hot, or is not heard, the picture is wrong. */
        const val MOST_HOT = 0.25
        const val MOST_UNHEARD = 0.5

        /** A mark must fade well before the 90 s within which a job gets what room there is. */
        const val LONGEST_HALF_LIFE_SECONDS = 20.0
    }
}
