package burlridge.placement

import burlridge.allocation.Job
import burlridge.job.JobSpec
import burlridge.worker.Machine

/** Room that is kept on a machine for a task that is to start there once it is gone from where it was. */
internal class CapacityReservation(
    val job: Job,
    val task: Int,
    val machine: Machine,
)

/** What placement is told by those who balance load; where nobody does, nothing is kept and no machine avoided. */
internal interface PlacementPolicy {
    /** For which tasks room is kept; it is given to nobody else. */
    fun reservations(): List<CapacityReservation>

    /** Whether [machine] gets nothing new but what would else wait too long. */
    fun isAvoided(machine: Machine): Boolean

    /** Told of each task that is placed otherwise than by best fit. */
    fun onPlaced(
        taskName: String,
        machine: String,
        reason: PlacementReason,
    )

    /** How many more starts [machine] may get now. */
    fun remainingStarts(machine: Machine): Int

    /** How long the image of [spec] takes to be on [machine], where it takes [aloneSeconds] if nothing else is fetched there. */
    fun fetchSeconds(
        machine: Machine,
        spec: JobSpec,
        aloneSeconds: Double,
    ): Double
}
