package burlridge.balance

import burlridge.core.StepContext
import burlridge.job.JobSpec
import burlridge.placement.CapacityReservation
import burlridge.placement.PlacementPolicy
import burlridge.placement.PlacementReason
import burlridge.settings.BalanceSettings
import burlridge.store.Listing
import burlridge.worker.DrainReason
import burlridge.worker.Machine
import com.fasterxml.jackson.databind.JsonNode

/**
 * Drains, moves of running tasks, hot machines and slow start, for the member that leads; followers only forward requests. Off unless the
 * operators' settings have a section `[balance]`.
 */
internal class Balance(
    private val context: StepContext,
    private val settings: BalanceSettings,
    private val dependencies: BalanceDependencies,
    private val requestPlacement: () -> Unit,
) : PlacementPolicy {
    private val workers = dependencies.workers
    private val index = DrainIndex()
    private val drains: DrainRegistry = DrainRegistry(context, dependencies.store, dependencies.leadership, ::rebuildIndex)
    private val decisions = DecisionLog(context, settings.maxDecisions)
    private val moves =
        MoveExecutor(context, settings, dependencies.store, dependencies.leadership, dependencies.registry, workers, decisions)
    private val eviction =
        GracefulEviction(context, settings, dependencies.registry, workers, moves) { dependencies.placement.moveTargetFinder() }
    private val hotspots =
        HotspotMitigation(context, settings, dependencies.registry, workers, moves, decisions) { dependencies.placement.moveTargetFinder() }
    private val slowStart =
        SlowStart(context, settings, dependencies.registry) { type ->
            dependencies.fleet.catalog
                ?.types
                ?.get(type)
                ?.bootSeconds ?: 0.0
        }
    private val cordons = Cordons(index, workers, dependencies.fleet, decisions)
    private val drainSafety = DrainSafety(context.settings, dependencies.registry, workers, dependencies.fleet)
    private val times = context.settings.workers
    private val retentionMillis = (times.leaseSeconds * RETENTION_LEASES * MILLIS_PER_SECOND).toLong()
    private var nextSweepAt = 0.0
    private var progress: Map<Drain, DrainProgress> = emptyMap()

    init {
        dependencies.placement.policy = this
        dependencies.fleet.isZoneDrained = index::isDrained
        workers.onStragglerEvicted = { machine ->
            decisions.add(Decision.StragglerEvicted(machine.id))
            drains.request(DrainTarget.SingleMachine(machine.id), DrainCause.SLOW) {}
        }
        if (settings.hotFactor > 0) {
            workers.onHeartbeatReconciled = hotspots::onHeartbeat
            workers.outcomes.onTaskCompleted = hotspots::onTaskCompleted
        }
    }

    override fun reservations(): List<CapacityReservation> = moves.reservations()

    override fun isAvoided(machine: Machine): Boolean = machine.id in hotspots.hot

    override fun onPlaced(
        taskName: String,
        machine: String,
        reason: PlacementReason,
    ) = decisions.add(Decision.TaskPlaced(taskName, machine, reason))

    /** The decisions of this term about the task or machine [subject], with reasons, as JSON. */
    fun explain(subject: String): JsonNode = decisions.explain(subject)

    override fun remainingStarts(machine: Machine): Int = slowStart.startsLeft(machine)

    override fun fetchSeconds(
        machine: Machine,
        spec: JobSpec,
        uncontendedSeconds: Double,
    ): Double = if (settings.coldReports > 0) slowStart.fetchSeconds(machine, spec, uncontendedSeconds) else uncontendedSeconds

    private fun rebuildIndex() {
        index.rebuild(drains.all)
        progress = emptyMap()
        nextSweepAt = 0.0
    }

    /** Forgets everything: a new term begins, or this one has ended. */
    fun clear() {
        drains.clear()
        moves.clear()
        eviction.clear()
        hotspots.clear()
        decisions.clear()
        cordons.clear()
    }

    /** Loads the rows of earlier leaders, before anything is placed. */
    fun load(listings: Map<String, Listing>) {
        listings[Drain.PREFIX]?.rows?.forEach(drains::load)
        listings[MoveBatch.PREFIX]?.rows?.forEach(moves::load)
    }

    /** Takes covered machines out of service, and puts back those that no drain covers any more; before every scheduling cycle. */
    fun applyCordons() {
        if (!drains.isEmpty) cordons.apply()
    }

    /** Advances moves and drains, ten times per heartbeat interval. */
    fun tick() {
        if (context.now < nextSweepAt) return
        nextSweepAt = context.now + times.reportSeconds / SWEEPS_PER_REPORT
        moves.tick()
        hotspots.tick()
        if (moves.openMoves.isNotEmpty()) requestPlacement()
        if (drains.isEmpty) return
        cordons.apply()
        workers.machines.values.forEach { if (it.drainReason == DrainReason.SLOW) workers.evictStraggler(it) }
        progress = if (index.isEmpty) emptyMap() else eviction.sweep(index::covering)
        drains.all.forEach(::advance)
    }

    private fun advance(drain: Drain) {
        when (drain.state) {
            DrainState.REQUESTED -> drains.advance(drain, DrainState.DRAINING)
            DrainState.DRAINING -> if (isEmptied(drain)) drains.advance(drain, DrainState.DRAINED)
            DrainState.DRAINED -> if (drain.target is DrainTarget.SingleMachine && isExpired(drain)) drains.forget(drain)
            DrainState.CANCELLED -> if (isExpired(drain)) drains.forget(drain)
        }
    }

    /** A new leader may not know yet which machines exist, nor where those are that are known from allocations only. */
    private fun isEmptied(drain: Drain): Boolean {
        if (drain in progress || !dependencies.fleet.isInventoryCurrent) return false
        // A machine known from allocations only, with none left, is gone and never reports again.
        val withTasks =
            workers.machines.values.filter {
                !dependencies.registry.allocations.byMachine[it.id]
                    .isNullOrEmpty()
            }
        return withTasks.none { it.type.isEmpty() || (drain.target is DrainTarget.Network && it.address == null) }
    }

    private fun isExpired(drain: Drain): Boolean = context.wallMillis - drain.changedMillis > retentionMillis

    /** Begins a drain of [target]; unless [forced] it is refused where it would leave a task without any machine that fits. */
    fun drain(
        target: DrainTarget,
        forced: Boolean,
        onResult: (DrainChange) -> Unit,
    ) {
        val exists = drainSafety.checkExists(target)
        val check = if (exists == DrainCheck.Allowed && !forced) drainSafety.checkCapacityRemains(target, index) else exists
        when (check) {
            is DrainCheck.Refused -> onResult(DrainChange.Refused(check.reason))
            DrainCheck.Allowed -> drains.request(target, DrainCause.OPERATOR, onResult)
        }
    }

    /** Cancels the drain of [target]. */
    fun undrain(
        target: DrainTarget,
        onResult: (DrainChange) -> Unit,
    ) = drains.cancel(target) { change ->
        if (change is DrainChange.Written && target is DrainTarget.SingleMachine) clearStragglerMark(target.machine)
        requestPlacement()
        onResult(change)
    }

    /** Lets a machine that was found to be a straggler serve again, until it is found to be one once more. */
    private fun clearStragglerMark(id: String) {
        val machine = workers.machines[id]?.takeIf { it.drainReason == DrainReason.SLOW } ?: return
        machine.drainReason = null
    }

    /** The state of drains and moves, for operators. */
    fun report(): BalanceReport =
        BalanceReport(
            context.settings.member,
            drains.all.map { DrainReport(it, progress[it] ?: DrainProgress()) },
            machinesWithReclaimNotice(),
            hotspots.hot.associateWith { hotspots.loadTracker.slowdown(it, context.now) },
            moves.openMoves,
            moves.spentLately,
            settings.movesPerMinute,
            (drains.damaged + moves.damaged).toList(),
        )

    /** Spot machines that the cloud reclaims; their workers repeat the notice in every heartbeat, so it needs no row. */
    private fun machinesWithReclaimNotice(): List<String> =
        workers.machines.values
            .filter { it.reclaimAt != null }
            .map { it.id }

    internal companion object {
        /** Prefixes of the rows that a new leader reads for this package. */
        val PREFIXES: List<String> = listOf(Drain.PREFIX, MoveBatch.PREFIX)
        private const val SWEEPS_PER_REPORT = 10
        private const val MILLIS_PER_SECOND = 1000

        /** How long the row of a finished drain is kept, in worker leases. */
        private const val RETENTION_LEASES = 10
    }
}
