package burlridge.worker

import burlridge.allocation.Allocation
import burlridge.allocation.JobRegistry

/** Whether the job of [allocation] has ended or is being cancelled. */
internal fun JobRegistry.isCancelled(allocation: Allocation): Boolean = jobs[allocation.job]?.isCancelling ?: true

/** Whether [allocation] belongs to a gang that is being stopped and whose tasks save their progress together. */
internal fun JobRegistry.savesAsGang(allocation: Allocation): Boolean =
    (allocation.stopGraceSeconds ?: 0.0) > 0 && jobs[allocation.job]?.spec?.gang == true

/** Whether any open allocation is on [machine]. */
internal fun JobRegistry.hasAllocationsOn(machine: Machine): Boolean = !allocations.byMachine[machine.id].isNullOrEmpty()
