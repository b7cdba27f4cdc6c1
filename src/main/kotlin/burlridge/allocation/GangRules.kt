package burlridge.allocation

/** How far the present attempt of a gang has come. */
internal enum class GangState {
    /** No task is anywhere: the next attempt may be claimed. */
    IDLE,

    /** The rows of an attempt are being written, and nothing has been sent. */
    COMMITTING,

    /** Tasks are on their way, fetch their image or wait for the others. */
    AWAITING_GANG,
    RUNNING,

    /** All were told to stop, and save. */
    STOPPING,

    /** A task is gone; the others are stopped. */
    BROKEN,
}

/**
 * The tasks of a gang share their run number, the attempt, and their fate: one `done` is all done, and one that is gone ends the
 * attempt. The others are then stopped, and nothing of the next attempt is claimed before every one of them is known to be gone,
 * with whatever that takes for any task. A number is never used for a second attempt, so that what comes late of an earlier one
 * is told from this one. The protocol lets a task that is lost while its gang still waits be replaced under the same number; that
 * is not done, since whether a gang has started is known only after the fact, and a new attempt on the same machines finds the
 * image there.
 */
internal object GangRules {
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
     * A task of [job]'s present attempt is gone: the others have no further use. What has not left is returned, to be released;
     * the rest is to be halted, except where the gang was told to save: then each ends by itself.
     */
    fun broken(job: Job): List<Allocation> {
        val left = job.allocations.values.filter { !it.ended }
        left.filter { it.phase >= AllocationPhase.DISPATCHED && it.stopGraceSeconds == null }.forEach { it.stopGraceSeconds = 0.0 }
        return left.filter { it.phase == AllocationPhase.COMMITTED || (it.phase == AllocationPhase.COMMITTING && it.durable) }
    }

    /**
     * Tells every task of [job] to save and end, or to end at once where it has not begun or cannot save. Returns whose machines
     * must hear of it straight away: they all have to within a short time.
     */
    fun stop(job: Job): List<Allocation> {
        val saves = state(job) == GangState.RUNNING && job.spec.checkpointSeconds > 0
        val told = job.allocations.values.filter { !it.ended && it.stopGraceSeconds == null }
        told.forEach { it.stopGraceSeconds = if (saves) job.spec.saveSeconds * GRACE else 0.0 }
        return told
    }

    /** Of an attempt whose rows are not all there nothing was ever sent. */
    fun isPartiallyAllocated(
        job: Job,
        allocations: List<Allocation>,
    ): Boolean = allocations.mapTo(HashSet()) { it.task }.size < job.spec.tasks

    /** A task that saves is given this many times what the save should take. */
    const val GRACE = 2.0
}
