package burlridge.placement

import burlridge.allocation.Allocation
import burlridge.allocation.Job
import burlridge.allocation.QuotaCharge
import burlridge.job.JobSpec
import burlridge.job.Resources
import burlridge.worker.Machine

/** One placement round: the capacity and quota that are left, and the allocations that it makes. */
internal class PlacementPlan(
    /** The smallest machines first. */
    val pools: List<MachinePool>,
    private val usageByTeam: HashMap<String, Resources>,
) {
    /** The allocations made so far, and the ids of their jobs. */
    val allocations: ArrayList<Allocation> = ArrayList()
    val jobs: HashSet<String> = HashSet()

    /** Reservations that hold capacity and quota in this plan. */
    val reservations: ArrayList<CapacityReservation> = ArrayList()
    private val placedFromReservation = HashSet<String>()
    private val unplaceable = ArrayList<ResourceRequest>()

    /** Needed only where there are reservations, so not built in most rounds. */
    private val capacityByMachine: Map<String, MachineCapacity> by lazy(LazyThreadSafetyMode.NONE) {
        pools.flatMap { it.candidates }.associateBy { it.machine.id }
    }

    /** What is free on [machine]; null where nothing is, or it is not usable. */
    fun capacityOn(machine: String): MachineCapacity? = capacityByMachine[machine]

    /** What the allocations and reservations of [team] take, those of this plan included. */
    fun usageOf(team: String): Resources = usageByTeam[team] ?: Resources.NONE

    /** Replaces what a team uses in this plan. */
    fun setUsage(
        team: String,
        usage: Resources,
    ) {
        usageByTeam[team] = usage
    }

    /** Adds an allocation of [task]; its capacity and quota are taken by the caller. */
    fun allocate(
        spec: JobSpec,
        task: Int,
        attempt: Int,
        machine: Machine,
    ) {
        jobs += spec.id
        val charge = QuotaCharge(spec.team, spec.taskResources)
        allocations += Allocation(spec.id, task, attempt, machine.id, machine.agentEpoch, machine.zone, charge)
    }

    /** No machine is left that satisfies [spec]'s request. */
    fun markUnplaceable(spec: JobSpec) {
        unplaceable += ResourceRequest.of(spec)
    }

    /** Whether an earlier job that asks for no more has found no machine in this round. */
    fun isUnplaceable(spec: JobSpec): Boolean = unplaceable.any { it.isImpliedBy(spec) }

    /** Takes capacity and quota for [reservation], if they are still free. */
    fun reserve(reservation: CapacityReservation) {
        val spec = reservation.job.spec
        val capacity = capacityOn(reservation.machine.id)?.takeIf { spec.taskResources.fits(it.free) } ?: return
        capacity.take(spec.taskResources)
        usageByTeam.merge(spec.team, spec.taskResources, Resources::plus)
        reservations += reservation
    }

    /** Returns what [reservation] takes: its task is about to be placed. */
    fun release(reservation: CapacityReservation) {
        val spec = reservation.job.spec
        capacityOn(reservation.machine.id)?.release(spec.taskResources)
        usageByTeam.merge(spec.team, spec.taskResources, Resources::minus)
        reservations -= reservation
    }

    /** The task was placed on the capacity reserved for it. */
    fun markPlacedFromReservation(taskName: String) {
        placedFromReservation += taskName
    }

    /** Whether this plan has placed [taskName] where capacity was reserved for it. */
    fun isPlacedFromReservation(taskName: String): Boolean = taskName in placedFromReservation

    /**
     * The number of [job]'s tasks in each zone: those that are allocated, those that this plan places from reservations, and those that
     * have a reservation; a task that moves counts in both zones.
     */
    fun zonesOf(job: Job): HashMap<String, Int> {
        val zones = HashMap<String, Int>()
        job.allocations.values.forEach { zones.merge(it.zone, 1, Int::plus) }
        if (placedFromReservation.isNotEmpty()) allocations.forEach { if (it.job == job.spec.id) zones.merge(it.zone, 1, Int::plus) }
        reservations.forEach { if (it.job === job) zones.merge(it.machine.zone, 1, Int::plus) }
        return zones
    }

    /** The pools whose machines [spec] may use and that are large enough. */
    fun poolsFor(spec: JobSpec): List<MachinePool> =
        pools.filter { spec.taskResources.fits(it.total) && spec.allows(it.first.type, it.first.zone, it.first.spot) }
}
