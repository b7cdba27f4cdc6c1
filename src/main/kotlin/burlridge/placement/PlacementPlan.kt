package burlridge.placement

import burlridge.allocation.Allocation
import burlridge.allocation.Job
import burlridge.allocation.QuotaCharge
import burlridge.job.JobSpec
import burlridge.job.Resources
import burlridge.worker.Machine

/** State of one placement round: the capacity and quota that are left, and the allocations made so far. */
internal class PlacementPlan(
    /** Sorted by size, the smallest machines first. */
    val pools: List<MachinePool>,
    private val usageByTeam: HashMap<String, Resources>,
) {
    /** The allocations made so far, and the ids of their jobs. */
    val allocations: ArrayList<Allocation> = ArrayList()
    val jobIds: HashSet<String> = HashSet()

    /** Reservations that hold capacity and quota in this plan. */
    val reservations: ArrayList<CapacityReservation> = ArrayList()
    private val tasksPlacedFromReservation = HashSet<String>()
    private val unplaceableRequests = ArrayList<ResourceRequest>()

    /** Built on first use: only rounds with reservations need it, and most rounds have none. */
    private val capacityByMachine: Map<String, MachineCapacity> by lazy(LazyThreadSafetyMode.NONE) {
        pools.flatMap { it.candidates }.associateBy { it.machine.id }
    }

    /** Free capacity of [machine]; null if nothing is free there or the machine is not usable. */
    fun capacityOn(machine: String): MachineCapacity? = capacityByMachine[machine]

    /** Resources that the allocations and reservations of [team] take, including those of this plan. */
    fun usageOf(team: String): Resources = usageByTeam[team] ?: Resources.NONE

    /** Replaces the resources that [team] uses, including those of this plan. */
    fun setUsage(
        team: String,
        usage: Resources,
    ) {
        usageByTeam[team] = usage
    }

    /** Adds an allocation of [task]; the caller takes its capacity and quota. */
    fun allocate(
        spec: JobSpec,
        task: Int,
        attempt: Int,
        machine: Machine,
    ) {
        jobIds += spec.id
        val charge = QuotaCharge(spec.team, spec.taskResources)
        allocations += Allocation(spec.id, task, attempt, machine.id, machine.agentEpoch, machine.zone, charge)
    }

    /** Records that no machine is left in this round that satisfies the request of [spec]. */
    fun markUnplaceable(spec: JobSpec) {
        unplaceableRequests += ResourceRequest.of(spec)
    }

    /** Whether an earlier job with the same or a less strict request has found no machine in this round. */
    fun isUnplaceable(spec: JobSpec): Boolean = unplaceableRequests.any { it.isNoStricterThan(spec) }

    /** Takes capacity and quota for [reservation]; does nothing if the capacity is not free. */
    fun reserve(reservation: CapacityReservation) {
        val spec = reservation.job.spec
        val capacity = capacityOn(reservation.machine.id)?.takeIf { spec.taskResources.fits(it.free) } ?: return
        capacity.take(spec.taskResources)
        usageByTeam.merge(spec.team, spec.taskResources, Resources::plus)
        reservations += reservation
    }

    /** Releases the capacity and quota of [reservation], whose task is about to be placed. */
    fun release(reservation: CapacityReservation) {
        val spec = reservation.job.spec
        capacityOn(reservation.machine.id)?.release(spec.taskResources)
        usageByTeam.merge(spec.team, spec.taskResources, Resources::minus)
        reservations -= reservation
    }

    /** Records that [taskName] was placed on the capacity reserved for it. */
    fun markPlacedFromReservation(taskName: String) {
        tasksPlacedFromReservation += taskName
    }

    /** Whether this plan has placed [taskName] on the capacity reserved for it. */
    fun isPlacedFromReservation(taskName: String): Boolean = taskName in tasksPlacedFromReservation

    /**
     * Number of tasks of [job] in each zone. Counts the tasks that are allocated, those that this plan has placed from reservations and
     * those that have a reservation; a task that is moving counts in both zones.
     */
    fun taskCountByZone(job: Job): HashMap<String, Int> {
        val counts = HashMap<String, Int>()
        job.allocations.values.forEach { counts.merge(it.zone, 1, Int::plus) }
        if (tasksPlacedFromReservation.isNotEmpty()) allocations.forEach { if (it.job == job.spec.id) counts.merge(it.zone, 1, Int::plus) }
        reservations.forEach { if (it.job === job) counts.merge(it.machine.zone, 1, Int::plus) }
        return counts
    }

    /** The pools whose machines [spec] may use and that are large enough for one of its tasks. */
    fun poolsFor(spec: JobSpec): List<MachinePool> =
        pools.filter {
            spec.taskResources.fits(it.total) &&
                spec.allows(it.representative.type, it.representative.zone, it.representative.spot)
        }
}
