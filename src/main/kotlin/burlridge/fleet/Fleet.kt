package burlridge.fleet

import burlridge.allocation.JobRegistry
import burlridge.core.StepContext
import burlridge.leadership.Leadership
import burlridge.store.Row
import burlridge.store.StoreClient
import burlridge.worker.Machine
import burlridge.worker.WorkerManager

/** The machines of the cloud: their types, the list of those that are rented, and the renting and returning of them. */
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

    /** Whether operators want no machines in a zone: then none is rented there. */
    var isZoneDrained: (String) -> Boolean by scaleOut::isZoneDrained

    /** Whether the machines of the cloud have been taken over from a list that was read in this leader's term. */
    val isListed: Boolean get() = inventory.isCurrent

    /** Whether idle machines that are not needed are returned. */
    val returnsIdleMachines: Boolean get() = !demand.keepsAllMachines

    init {
        workers.outcomes.cacheGbOfType = { type -> catalog?.types?.get(type)?.cacheGb ?: 0.0 }
    }

    /** Keeps the catalog fresh; on every member. */
    fun tickCatalog() = catalogs.tick()

    /** Keeps the list of machines fresh, and rents and returns machines; on the leader alone. */
    fun tick() {
        inventory.tick()
        scaleOut.settle()
        if (!inventory.hasList || context.now < nextPlanAt) return
        nextPlanAt = context.now + PLAN_SECONDS
        catalog?.let { planner.plan(it) }
    }

    /** Gangs that surely come soon, and for which capacity is to be reserved. */
    fun expectedGangs(): List<CapacityDemand.Need> = catalog?.let { demand.expectedGangs(it) }.orEmpty()

    /** Requests no more machines like [machine] for a while. */
    fun holdOff(machine: Machine) = scaleOut.backOff(machine.offering)

    /** Takes over the rental of an earlier leader in [row]. */
    fun load(row: Row) = scaleOut.load(row)

    /** Forgets everything but the catalog, when leadership ends. */
    fun clear() {
        scaleOut.clear()
        inventory.clear()
        catalogs.clear()
    }

    private companion object {
        const val PLAN_SECONDS = 1.0
    }
}
