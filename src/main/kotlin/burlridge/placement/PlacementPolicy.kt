package burlridge.placement

import burlridge.job.JobSpec
import burlridge.worker.Machine

/** The influence of load balancing on placement. Without a policy no capacity is reserved and no machine is avoided. */
internal interface PlacementPolicy {
    /** Reserved capacity, which only the task of each reservation may use. */
    fun reservations(): List<CapacityReservation>

    /** Whether [machine] receives only tasks that would otherwise wait too long. */
    fun isAvoided(machine: Machine): Boolean

    /** Called when a task is placed by another rule than best fit. */
    fun onPlaced(
        taskName: String,
        machine: String,
        reason: PlacementReason,
    )

    /** Number of tasks that may still be started on [machine] now; [MachineCapacity.UNLIMITED_STARTS] for any number. */
    fun remainingStarts(machine: Machine): Int

    /** Seconds until the image of [spec] is on [machine]; the fetch takes [uncontendedSeconds] if nothing else is fetched there. */
    fun fetchSeconds(
        machine: Machine,
        spec: JobSpec,
        uncontendedSeconds: Double,
    ): Double
}
