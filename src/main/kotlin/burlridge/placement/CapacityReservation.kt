package burlridge.placement

import burlridge.allocation.Job
import burlridge.worker.Machine

/** Capacity on [machine] that is reserved for a task moving there, until the task has left its current machine. */
internal class CapacityReservation(
    val job: Job,
    val task: Int,
    val machine: Machine,
) {
    val taskName: String get() = "${job.spec.id}/$task"
}
