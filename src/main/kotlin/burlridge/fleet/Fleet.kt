package burlridge.fleet

import burlridge.allocation.JobRegistry
import burlridge.core.StepContext
import burlridge.leadership.Leadership
import burlridge.store.Row
import burlridge.store.StoreClient
import burlridge.worker.Machine
import burlridge.worker.WorkerManager

/** Facade for the machines of the cloud: their types, the list of the rented ones, and renting and returning them. */
internal class Fleet(
    private val context: StepContext,
    store: StoreClient,
    leadership: Leadership,
    registry: JobRegistry,
    workers: WorkerManager,
) {
    private val cloud = CloudApi(context, leadership)
    private val catalogs = CatalogCache(context, store, leadership, registry, cloud)
    private val inventory = InventorySync(context, leadership, registry, workers, cloud)
    private val scaleOut = ScaleOut(context, store, leadership, workers, cloud)
    private val scaleIn = ScaleIn(context, leadership, registry, workers, scaleOut, cloud)
    private val demand = CapacityDemand(context, registry)
    private val planner = CapacityPlanner(registry, workers, demand, scaleOut, scaleIn)
    private var nextPlanAt = 0.0

    /** Null until it has been read. */
    val catalog: Catalog? get() = catalogs.catalog

    /** Returns whether operators have drained a zone, so that no machines are rented there. */
    var isZoneDrained: (String) -> Boolean by scaleOut::isZoneDrained

    /** Whether a complete list of the cloud's machines, read in this leader's term, has been applied. */
    val isInventoryCurrent: Boolean get() = inventory.isCurrent

    /** Whether idle machines that are not needed are returned. */
    val returnsIdleMachines: Boolean get() = !demand.keepsAllMachines

    init {
        workers.outcomes.cacheGbOfType = { type -> catalog?.types?.get(type)?.cacheGb ?: 0.0 }
    }

    /** Refreshes the catalog if that is due; called on every member. */
    fun tickCatalog() = catalogs.tick()

    /** Refreshes the list of machines, and rents and returns machines; called on the leader only. */
    fun tick() {
        inventory.tick()
        scaleOut.settle()
        if (!inventory.hasList || context.now < nextPlanAt) return
        nextPlanAt = context.now + PLAN_SECONDS
        catalog?.let { planner.plan(it) }
    }

    /** Gangs that are expected soon and for which capacity is to be reserved. */
    fun expectedGangs(): List<CapacityDemand.Need> = catalog?.let { demand.expectedGangs(it) }.orEmpty()

    /** Requests no more machines of the offering of [machine] until a backoff time has passed. */
    fun backOff(machine: Machine) = scaleOut.backOff(machine.offering)

    /** Loads the rental of an earlier leader from [row]. */
    fun loadRental(row: Row) = scaleOut.loadRental(row)

    /** Discards all state but the catalog, when leadership ends. */
    fun clear() {
        scaleOut.clear()
        inventory.clear()
        catalogs.clear()
    }

    private companion object {
        const val PLAN_SECONDS = 1.0
    }
}
