package burlridge.worker

import burlridge.allocation.Allocation
import burlridge.allocation.JobRegistry

/** Whether the job of [allocation] is over, or its user has asked to cancel it. */
internal fun JobRegistry.isCancelled(allocation: Allocation): Boolean = jobs[allocation.job]?.isCancelling ?: true

/** Whether [allocation] is of a gang whose tasks save their progress together when it is stopped. */
internal fun JobRegistry.savesAsGang(allocation: Allocation): Boolean =
    (allocation.stopGraceSeconds ?: 0.0) > 0 && jobs[allocation.job]?.spec?.gang == true

internal fun JobRegistry.hasAllocationsOn(machine: Machine): Boolean = !allocations.byMachine[machine.id].isNullOrEmpty()
