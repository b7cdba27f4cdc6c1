package burlridge.balance

import burlridge.allocation.JobRegistry
import burlridge.core.StepContext
import burlridge.fleet.Fleet
import burlridge.job.JobSpec
import burlridge.leadership.Leadership
import burlridge.placement.CapacityReservation
import burlridge.placement.Placement
import burlridge.placement.PlacementPolicy
import burlridge.placement.PlacementReason
import burlridge.settings.BalanceSettings
import burlridge.store.Listing
import burlridge.store.StoreClient
import burlridge.worker.DrainReason
import burlridge.worker.Machine
import burlridge.worker.WorkerManager
import com.fasterxml.jackson.databind.JsonNode

/** What the rest of a controller lends to this package. */
internal class BalanceDependencies(
    val store: StoreClient,
    val leadership: Leadership,
    val registry: JobRegistry,
    val workers: WorkerManager,
    val fleet: Fleet,
    val placement: Placement,
)

/** Drains that last and moves of running tasks, for the one member that leads; the others only pass requests on. */
internal class Balance(
    private val context: StepContext,
    private val settings: BalanceSettings,
    private val ports: BalanceDependencies,
    private val placeSoon: () -> Unit,
) : PlacementPolicy {
    private val workers = ports.workers
    private val index = DrainIndex()
    private val drains: Drains = Drains(context, ports.store, ports.leadership, ::rebuildIndex)
    private val decisions = DecisionLog(context, settings.decisions)
    private val moves = Moves(context, settings, ports.store, ports.leadership, ports.registry, workers, decisions)
    private val evacuation = GracefulEviction(context, settings, ports.registry, workers, moves) { ports.placement.moveTargetFinder() }
    private val relief =
        HotspotMitigation(context, settings, ports.registry, workers, moves, decisions) { ports.placement.moveTargetFinder() }
    private val slowStart =
        SlowStart(context, settings, ports.registry) { type ->
            ports.fleet.catalog
                ?.types
                ?.get(type)
                ?.bootSeconds ?: 0.0
        }
    private val safety = DrainSafety(context.settings, ports.registry, workers, ports.fleet)
    private val times = context.settings.workers
    private val retentionMillis = (times.leaseSeconds * RETENTION_LEASES * MILLIS_PER_SECOND).toLong()
    private var sweepAt = 0.0
    private var progress: Map<Drain, DrainProgress> = emptyMap()

    /** Machines in a drained network that were seen to join; each holds new rentals of its kind off once. */
    private val joined = HashSet<String>()

    init {
        ports.placement.policy = this
        ports.fleet.isZoneDrained = index::isDrained
        workers.onSlow = { machine ->
            decisions.add(Decision.LeftForSlowness(machine.id))
            drains.request(DrainTarget.Named(machine.id), DrainCause.SLOW) {}
        }
        if (settings.hotFactor > 0) {
            workers.onHeard = relief::heard
            workers.outcomes.onRan = relief::ended
        }
    }

    override fun reservations(): List<CapacityReservation> = moves.kept()

    override fun isAvoided(machine: Machine): Boolean = machine.id in relief.hot

    override fun onPlaced(
        taskName: String,
        machine: String,
        reason: PlacementReason,
    ) = decisions.add(Decision.Placed(taskName, machine, reason))

    /** Why what is known of a task or machine was decided, by this leader. */
    fun explain(subject: String): JsonNode = decisions.explain(subject)

    override fun remainingStarts(machine: Machine): Int = slowStart.startsLeft(machine)

    override fun fetchSeconds(
        machine: Machine,
        spec: JobSpec,
        aloneSeconds: Double,
    ): Double = if (settings.coldReports > 0) slowStart.fetchSeconds(machine, spec, aloneSeconds) else aloneSeconds

    private fun rebuildIndex() {
        index.rebuild(drains.all)
        progress = emptyMap()
        sweepAt = 0.0
    }

    fun clear() {
        drains.clear()
        moves.clear()
        evacuation.clear()
        relief.clear()
        decisions.clear()
        joined.clear()
    }

    /** What earlier leaders left, read before anything is placed. */
    fun load(listings: Map<String, Listing>) {
        listings[Drain.PREFIX]?.rows?.forEach(drains::load)
        listings[MoveBatch.PREFIX]?.rows?.forEach(moves::load)
    }

    /** Takes covered machines out of service, and puts back those that no drain covers any more; before every placement round. */
    fun applyCordons() {
        if (drains.isEmpty) return
        for (machine in workers.machines.values) {
            val drain = if (index.isEmpty) null else index.covering(machine)
            if (drain != null) cordon(machine, drain) else uncordon(machine)
        }
    }

    private fun cordon(
        machine: Machine,
        drain: Drain,
    ) {
        if (machine.drainReason == null) {
            decisions.add(Decision.Covered(machine.id, drain))
            if (drain.cause == DrainCause.SLOW) workers.evictStraggler(machine) else machine.drainReason = DrainReason.OPERATOR
        }
        // Where the cloud puts new machines cannot be chosen by network: what it gave there is not asked for again at once.
        if (drain.target is DrainTarget.InNetwork && machine.idleSince >= machine.knownSince && joined.add(machine.id)) {
            ports.fleet.holdOff(machine)
        }
    }

    private fun uncordon(machine: Machine) {
        if (machine.drainReason != DrainReason.OPERATOR) return
        machine.drainReason = null
        decisions.add(Decision.BackInService(machine.id))
    }

    fun tick() {
        if (context.now < sweepAt) return
        sweepAt = context.now + times.reportSeconds / SWEEPS_PER_REPORT
        moves.tick()
        relief.tick()
        if (moves.openMoves.isNotEmpty()) placeSoon()
        if (drains.isEmpty) return
        applyCordons()
        workers.machines.values.forEach { if (it.drainReason == DrainReason.SLOW) workers.evictStraggler(it) }
        progress = if (index.isEmpty) emptyMap() else evacuation.sweep(index::covering)
        drains.all.forEach(::advance)
    }

    private fun advance(drain: Drain) {
        when (drain.state) {
            DrainState.REQUESTED -> drains.advance(drain, DrainState.DRAINING)
            DrainState.DRAINING -> if (isEmptied(drain)) drains.advance(drain, DrainState.DRAINED)
            DrainState.DRAINED -> if (drain.target is DrainTarget.Named && isOld(drain)) drains.forget(drain)
            DrainState.CANCELLED -> if (isOld(drain)) drains.forget(drain)
        }
    }

    /** A new leader may not know yet which machines there are, nor where those are that only claims name. */
    private fun isEmptied(drain: Drain): Boolean {
        if (drain in progress || !ports.fleet.isListed) return false
        // One that only claims name, and that has none left, is gone: nothing is ever heard of it again.
        val withTasks =
            workers.machines.values.filter {
                !ports.registry.allocations.byMachine[it.id]
                    .isNullOrEmpty()
            }
        return withTasks.none { it.type.isEmpty() || (drain.target is DrainTarget.InNetwork && it.address == null) }
    }

    private fun isOld(drain: Drain): Boolean = context.wallMillis - drain.changedMillis > retentionMillis

    // --- what operators ask

    fun drain(
        target: DrainTarget,
        forced: Boolean,
        onResult: (DrainChange) -> Unit,
    ) {
        val problem = safety.unknown(target) ?: if (forced) null else safety.lastOf(target, index)
        if (problem != null) onResult(DrainChange.Refused(problem)) else drains.request(target, DrainCause.OPERATOR, onResult)
    }

    fun undrain(
        target: DrainTarget,
        onResult: (DrainChange) -> Unit,
    ) = drains.cancel(target) { change ->
        if (change is DrainChange.Written && target is DrainTarget.Named) putBack(target.machine)
        placeSoon()
        onResult(change)
    }

    /** A machine that was found slow serves again, until it is found slow once more. */
    private fun putBack(id: String) {
        val machine = workers.machines[id]?.takeIf { it.drainReason == DrainReason.SLOW } ?: return
        machine.drainReason = null
    }

    fun report(): BalanceReport =
        BalanceReport(
            context.settings.member,
            drains.all.map { DrainReport(it, progress[it] ?: DrainProgress()) },
            noticed(),
            relief.hot.associateWith { relief.picture.slowdown(it, context.now) },
            moves.openMoves,
            moves.spentLately,
            settings.movesPerMinute,
            (drains.damaged + moves.damaged).toList(),
        )

    /** Machines that the cloud takes back; their workers repeat the notice in every report, so that it needs no row. */
    private fun noticed(): List<String> =
        workers.machines.values
            .filter { it.reclaimAt != null }
            .map { it.id }

    internal companion object {
        /** Rows that a new leader reads beside its others. */
        val PREFIXES: List<String> = listOf(Drain.PREFIX, MoveBatch.PREFIX)
        private const val SWEEPS_PER_REPORT = 10
        private const val MILLIS_PER_SECOND = 1000

        /** How long the row of a drain that is over can still be looked at, in worker leases. */
        private const val RETENTION_LEASES = 10
    }
}
