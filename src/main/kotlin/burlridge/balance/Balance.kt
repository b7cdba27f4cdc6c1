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
 * Entry point of drains, moves of running tasks, mitigation of hot machines and slow start. Active on the leader; followers only forward
 * requests. Used only if the operators' settings have a section `[balance]`.
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
    private val workerTimes = context.settings.workers
    private val retentionMillis = (workerTimes.leaseSeconds * RETENTION_LEASES * MILLIS_PER_SECOND).toLong()
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

    override fun isAvoided(machine: Machine): Boolean = machine.id in hotspots.hotMachines

    override fun onPlaced(
        taskName: String,
        machine: String,
        reason: PlacementReason,
    ) = decisions.add(Decision.TaskPlaced(taskName, machine, reason))

    /** Returns the decisions of this term about the task or machine [subject], with their reasons, as JSON. */
    fun explain(subject: String): JsonNode = decisions.explain(subject)

    override fun remainingStarts(machine: Machine): Int = slowStart.remainingStarts(machine)

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

    /** Clears all state; called when a term begins or ends. */
    fun clear() {
        drains.clear()
        moves.clear()
        eviction.clear()
        hotspots.clear()
        decisions.clear()
        cordons.clear()
    }

    /** Loads the rows of earlier leaders; called before the first placement of a term. */
    fun load(listings: Map<String, Listing>) {
        listings[Drain.PREFIX]?.rows?.forEach(drains::load)
        listings[MoveBatch.PREFIX]?.rows?.forEach(moves::load)
    }

    /** Cordons machines covered by a drain and uncordons those no longer covered; called before every placement round. */
    fun applyCordons() {
        if (!drains.isEmpty) cordons.apply()
    }

    /** Advances moves and drains [SWEEPS_PER_HEARTBEAT_INTERVAL] times per heartbeat interval. */
    fun tick() {
        if (context.now < nextSweepAt) return
        nextSweepAt = context.now + workerTimes.reportSeconds / SWEEPS_PER_HEARTBEAT_INTERVAL
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
            DrainState.DRAINED -> if (drain.target is DrainTarget.SingleMachine && isExpired(drain)) drains.deleteRow(drain)
            DrainState.CANCELLED -> if (isExpired(drain)) drains.deleteRow(drain)
        }
    }

    /**
     * Whether no machine covered by [drain] is left. A new leader may not have read the list of machines yet, and does not know the zone
     * and address of machines that it knows from allocations only; the result is false until that is settled.
     */
    private fun isEmptied(drain: Drain): Boolean {
        if (drain in progress || !dependencies.fleet.isInventoryCurrent) return false
        // A machine known from allocations only, with none of them left, no longer exists and sends no heartbeats, so it is ignored.
        val withTasks =
            workers.machines.values.filter {
                !dependencies.registry.allocations.byMachine[it.id]
                    .isNullOrEmpty()
            }
        return withTasks.none { it.type.isEmpty() || (drain.target is DrainTarget.Network && it.address == null) }
    }

    private fun isExpired(drain: Drain): Boolean = context.wallMillis - drain.changedMillis > retentionMillis

    /** Begins a drain of [target]. Unless [forced], it is refused if it would leave a task without any machine that it fits on. */
    fun drain(
        target: DrainTarget,
        forced: Boolean,
        onResult: (DrainChange) -> Unit,
    ) {
        val existence = drainSafety.checkExists(target)
        val check = if (existence == DrainCheck.Allowed && !forced) drainSafety.checkCapacityRemains(target, index) else existence
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

    /** Puts the straggler [id] back in service, until it is detected as a straggler again. */
    private fun clearStragglerMark(id: String) {
        val machine = workers.machines[id]?.takeIf { it.drainReason == DrainReason.SLOW } ?: return
        machine.drainReason = null
    }

    /** Returns the state of drains and moves, for operators. */
    fun report(): BalanceReport =
        BalanceReport(
            context.settings.member,
            drains.all.map { DrainReport(it, progress[it] ?: DrainProgress()) },
            machinesWithReclaimNotice(),
            hotspots.hotMachines.associateWith { hotspots.loadTracker.slowdown(it, context.now) },
            moves.openMoves,
            moves.tasksMovedInWindow,
            settings.movesPerMinute,
            (drains.damagedRows + moves.damagedRows).toList(),
        )

    /** Spot machines that the cloud reclaims. Their workers repeat the reclaim notice in every heartbeat, so it is not stored in a row. */
    private fun machinesWithReclaimNotice(): List<String> =
        workers.machines.values
            .filter { it.reclaimAt != null }
            .map { it.id }

    internal companion object {
        /** Key prefixes of the rows that a new leader reads for this package. */
        val PREFIXES: List<String> = listOf(Drain.PREFIX, MoveBatch.PREFIX)
        private const val SWEEPS_PER_HEARTBEAT_INTERVAL = 10
        private const val MILLIS_PER_SECOND = 1000

        /** Time for which the row of a finished drain is kept, in worker leases. */
        private const val RETENTION_LEASES = 10
    }
}
