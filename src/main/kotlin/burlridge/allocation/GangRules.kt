package burlridge.allocation

/** How far the present attempt of a gang has come. */
internal enum class GangState {
    /** No task has an allocation: the next attempt may be allocated. */
    IDLE,

    /** The rows of an attempt are being written, and no start command has been sent. */
    COMMITTING,

    /** Start commands are on their way, or tasks fetch their image or wait for the others. */
    AWAITING_GANG,
    RUNNING,

    /** All tasks are to save and stop. */
    STOPPING,

    /** A task is gone; the others are to be stopped. */
    BROKEN,
}

/**
 * The tasks of a gang share an attempt number and their fate: once one is done all are, and once one is gone the attempt is over. The other
 * tasks are then stopped, and the next attempt is allocated only after every one of them is known to be gone. An attempt number is never
 * used twice, so that late reports of an earlier attempt are recognized.
 *
 * The protocol allows a task that is lost while its gang still waits to be replaced under the same number. That is not done: whether a gang
 * has started is known only after the fact, and a new attempt on the same machines finds the image there.
 */
internal object GangRules {
    /** How far the present attempt of the gang [job] has come. */
    fun state(job: Job): GangState {
        val allocations = job.allocations.values
        return when {
            allocations.isEmpty() -> GangState.IDLE
            allocations.any { it.phase == AllocationPhase.COMMITTING } -> GangState.COMMITTING
            allocations.size < job.spec.tasks || allocations.any { it.stopGraceSeconds == 0.0 } -> GangState.BROKEN
            allocations.any { it.stopGraceSeconds != null } -> GangState.STOPPING
            allocations.any { it.phase == AllocationPhase.RUNNING || it.phase == AllocationPhase.CHECKPOINTING } -> GangState.RUNNING
            else -> GangState.AWAITING_GANG
        }
    }

    /**
     * Marks the remaining tasks of [job]'s present attempt, one of which is gone, to be stopped at once, except where the gang is saving:
     * then each ends by itself. Returns the allocations whose start command has not been sent, to be released.
     */
    fun abort(job: Job): List<Allocation> {
        val remaining = job.allocations.values.filter { !it.hasEnded }
        remaining.filter { it.phase >= AllocationPhase.DISPATCHED && it.stopGraceSeconds == null }.forEach { it.stopGraceSeconds = 0.0 }
        return remaining.filter {
            it.phase == AllocationPhase.COMMITTED || (it.phase == AllocationPhase.COMMITTING && it.isPersisted)
        }
    }

    /**
     * Marks every task of [job] to save and stop, or to stop at once where the gang has not begun or cannot save. Returns the allocations
     * newly marked; their machines have to receive the command within a short time of each other.
     */
    fun stop(job: Job): List<Allocation> {
        val canSave = state(job) == GangState.RUNNING && job.spec.checkpointSeconds > 0
        val stopped = job.allocations.values.filter { !it.hasEnded && it.stopGraceSeconds == null }
        stopped.forEach { it.stopGraceSeconds = if (canSave) job.spec.saveSeconds * CHECKPOINT_GRACE_FACTOR else 0.0 }
        return stopped
    }

    /** Whether [attempt] of [job] lacks a task: then its rows were never all written, and no start command was sent. */
    fun isPartiallyAllocated(
        job: Job,
        attempt: List<Allocation>,
    ): Boolean = attempt.mapTo(HashSet()) { it.task }.size < job.spec.tasks

    /** A task that saves is given this many times what the save should take. */
    const val CHECKPOINT_GRACE_FACTOR = 2.0
}
