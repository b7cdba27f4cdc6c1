package burlridge.allocation

/** The state of the current attempt of a gang. */
internal enum class GangState {
    /** No task has an allocation: the next attempt may be allocated. */
    IDLE,

    /** The rows of an attempt are being written, and no start command has been sent. */
    COMMITTING,

    /** Start commands are in flight, or tasks are fetching their image or waiting for the others. */
    AWAITING_GANG,
    RUNNING,

    /** All tasks are to save and stop. */
    STOPPING,

    /** A task was lost; the others are to be stopped. */
    BROKEN,
}

/**
 * The tasks of a gang share an attempt number and end together: once one is done, all are, and once one is lost, the attempt has failed.
 * The other tasks are then stopped, and the next attempt is allocated only after all of them are known to have ended. An attempt number is
 * never reused, so that a late heartbeat with a task of an earlier attempt is recognized.
 *
 * The protocol allows a task that is lost while its gang is still waiting to be replaced under the same attempt number. This is not done:
 * whether a gang has started is known only afterwards, and a new attempt on the same machines finds the image there.
 */
internal object GangRules {
    /** The state of the current attempt of the gang [job]. */
    fun state(job: Job): GangState {
        val allocations = job.allocations.values
        return when {
            allocations.isEmpty() -> GangState.IDLE
            allocations.any { it.phase == AllocationPhase.COMMITTING } -> GangState.COMMITTING
            allocations.size < job.spec.taskCount || allocations.any { it.stopGraceSeconds == 0.0 } -> GangState.BROKEN
            allocations.any { it.stopGraceSeconds != null } -> GangState.STOPPING
            allocations.any { it.phase == AllocationPhase.RUNNING || it.phase == AllocationPhase.CHECKPOINTING } -> GangState.RUNNING
            else -> GangState.AWAITING_GANG
        }
    }

    /**
     * Marks the remaining tasks of [job]'s current attempt, which has lost a task, to be stopped at once, unless the gang is saving
     * its progress already: then each task ends by itself. Returns the allocations whose start command has not been sent, to be released.
     */
    fun abort(job: Job): List<Allocation> {
        val remaining = job.allocations.values.filter { !it.hasEnded }
        remaining.filter { it.phase >= AllocationPhase.DISPATCHED && it.stopGraceSeconds == null }.forEach { it.stopGraceSeconds = 0.0 }
        return remaining.filter {
            it.phase == AllocationPhase.COMMITTED || (it.phase == AllocationPhase.COMMITTING && it.isPersisted)
        }
    }

    /**
     * Marks every task of [job] to save and stop, or to stop at once if the gang has not begun or cannot save. Returns the newly marked
     * allocations; their machines must receive the stop command within a short time of each other.
     */
    fun stop(job: Job): List<Allocation> {
        val canSave = state(job) == GangState.RUNNING && job.spec.checkpointIntervalSeconds > 0
        val stopped = job.allocations.values.filter { !it.hasEnded && it.stopGraceSeconds == null }
        stopped.forEach { it.stopGraceSeconds = if (canSave) job.spec.saveSeconds * CHECKPOINT_GRACE_FACTOR else 0.0 }
        return stopped
    }

    /** Whether [attempt] of [job] lacks a task, which means that not all of its rows were written and no start command was sent. */
    fun isPartiallyAllocated(
        job: Job,
        attempt: List<Allocation>,
    ): Boolean = attempt.mapTo(HashSet()) { it.task }.size < job.spec.taskCount

    /** Grace period of a task that is to save, as a multiple of the time that the save should take. */
    const val CHECKPOINT_GRACE_FACTOR = 2.0
}
