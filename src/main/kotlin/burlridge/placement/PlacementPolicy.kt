package burlridge.placement

import burlridge.job.JobSpec
import burlridge.worker.Machine

/** How load balancing influences placement. Where there is none, no capacity is reserved and no machine avoided. */
internal interface PlacementPolicy {
    /** Capacity that only the tasks named may use. */
    fun reservations(): List<CapacityReservation>

    /** Whether [machine] receives only tasks that would otherwise wait too long. */
    fun isAvoided(machine: Machine): Boolean

    /** A task was placed otherwise than by best fit. */
    fun onPlaced(
        taskName: String,
        machine: String,
        reason: PlacementReason,
    )

    /** How many more tasks may be started on [machine] now; [MachineCapacity.UNLIMITED_STARTS] for any number. */
    fun remainingStarts(machine: Machine): Int

    /** The seconds until the image of [spec] is on [machine], which takes [aloneSeconds] if nothing else is fetched there. */
    fun fetchSeconds(
        machine: Machine,
        spec: JobSpec,
        aloneSeconds: Double,
    ): Double
}
