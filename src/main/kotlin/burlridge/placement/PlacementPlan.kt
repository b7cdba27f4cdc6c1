package burlridge.placement

import burlridge.allocation.Allocation
import burlridge.allocation.Job
import burlridge.job.JobSpec
import burlridge.job.Resources
import burlridge.worker.Machine

/** A machine with room, and what of it is free. */
internal class MachineCapacity(
    val machine: Machine,
    val total: Resources,
    var free: Resources,
    /** Only for what would else wait too long. */
    val isAvoided: Boolean = false,
    /** How many more single tasks it may get now. */
    var remainingStarts: Int = Int.MAX_VALUE,
) {
    /** How many tasks of [size] find room. */
    fun fitCount(size: Resources): Int = free.holds(size)
}

/** The machines with room of one type, zone and kind. */
internal class MachinePool(
    val total: Resources,
    val first: Machine,
    val candidates: ArrayList<MachineCapacity> = ArrayList(),
) {
    /** Its machines, full ones as well. */
    var machineCount: Int = 0
}

/** What a job asks of a machine; where one job found no room, another that asks for no less need not look. */
internal data class ResourceRequest(
    val types: List<String>?,
    val zone: String?,
    val spot: Boolean,
    val size: Resources,
)

/** What one round has used up and found out. */
internal class PlacementPlan(
    val pools: List<MachinePool>,
    val used: HashMap<String, Resources>,
) {
    val allocations = ArrayList<Allocation>()
    val jobs = HashSet<String>()
    val unplaceable = ArrayList<ResourceRequest>()

    fun isUnplaceable(spec: JobSpec): Boolean =
        unplaceable.any { it.types == spec.types && it.zone == spec.zone && (it.spot || !spec.spot) && it.size.fits(spec.size) }

    /** Room that is kept for single tasks, and taken from all others. */
    val reservations = ArrayList<CapacityReservation>()

    /** Names of tasks that were placed where room was kept for them. */
    val placedFromReservation = HashSet<String>()
    private val capacityByMachine: Map<String, MachineCapacity> by lazy(LazyThreadSafetyMode.NONE) {
        pools.flatMap { it.candidates }.associateBy { it.machine.id }
    }

    fun capacityOn(machine: String): MachineCapacity? = capacityByMachine[machine]

    fun reserve(capacity: CapacityReservation) {
        val spec = capacity.job.spec
        val there = capacityOn(capacity.machine.id)?.takeIf { spec.size.fits(it.free) } ?: return
        there.free -= spec.size
        used.merge(spec.team, spec.size, Resources::plus)
        reservations += capacity
    }

    /**
     * In which zones the tasks of [job] count: where they may be, where this plan places them, and where room is kept for those that
     * move, which count in both zones.
     */
    fun zonesOf(job: Job): HashMap<String, Int> {
        val zones = HashMap<String, Int>()
        job.allocations.values.forEach { zones.merge(it.zone, 1, Int::plus) }
        if (placedFromReservation.isNotEmpty()) allocations.forEach { if (it.job == job.spec.id) zones.merge(it.zone, 1, Int::plus) }
        reservations.forEach { if (it.job === job) zones.merge(it.machine.zone, 1, Int::plus) }
        return zones
    }

    /** The task that it was kept for is about to take it, or no longer wants it. */
    fun release(capacity: CapacityReservation) {
        val spec = capacity.job.spec
        capacityOn(capacity.machine.id)?.let { it.free += spec.size }
        used.merge(spec.team, spec.size, Resources::minus)
        reservations -= capacity
    }

    fun used(team: String): Resources = used[team] ?: Resources.NONE

    /** The pools whose machines [spec] may use and that are large enough. */
    fun poolsFor(spec: JobSpec): List<MachinePool> =
        pools.filter { spec.size.fits(it.total) && spec.allows(it.first.type, it.first.zone, it.first.spot) }
}
