package burlridge.balance

import burlridge.allocation.JobRegistry
import burlridge.fleet.Fleet
import burlridge.leadership.Leadership
import burlridge.placement.Placement
import burlridge.store.StoreClient
import burlridge.worker.WorkerManager

/** The components of a controller that [Balance] depends on. */
internal class BalanceDependencies(
    val store: StoreClient,
    val leadership: Leadership,
    val registry: JobRegistry,
    val workers: WorkerManager,
    val fleet: Fleet,
    val placement: Placement,
)
