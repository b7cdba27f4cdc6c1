package burlridge.allocation

/**
 * The assignment of one attempt of a task to a machine, identified by job, task and attempt. Times are in seconds of this leader's
 * monotonic clock.
 */
internal class Allocation(
    val job: String,
    val task: Int,
    val attempt: Int,
    val machine: String,
    val agentEpoch: Long,
    /** The machine's zone, stored because a new leader needs it to place spread and one-zone jobs before the machine's first heartbeat. */
    val zone: String,
    val charge: QuotaCharge,
    var phase: AllocationPhase = AllocationPhase.COMMITTING,
) {
    /** The task's name in commands and heartbeats. */
    val taskName: String get() = "$job/$task"

    /** The batch whose row stores it; null until that batch is created or loaded. */
    var batch: AllocationBatch? = null

    /** Whether it ended without its task being done. */
    var isLost: Boolean = false

    /** Whether its row has been written. */
    var isPersisted: Boolean = false

    /** Whether it was made by an earlier leader. */
    var isInherited: Boolean = false
    var allocatedAt: Double = 0.0

    /** When it was first reported running; null until then, and always for an inherited allocation. */
    var startedAt: Double? = null

    /** Grace period in which the task is to save and stop, 0 to stop at once; null if it is not to be stopped. */
    var stopGraceSeconds: Double? = null

    /** When a stop command was last sent. */
    var stopSentAt: Double = NEVER

    /** Whether the worker has acknowledged a stop command. */
    var isStopAcknowledged: Boolean = false
    val hasEnded: Boolean get() = phase == AllocationPhase.ENDED

    /** Ends this allocation; a loss is to be marked in its row. */
    fun end(isLost: Boolean) {
        phase = AllocationPhase.ENDED
        this.isLost = isLost
        if (isLost) batch?.isStale = true
    }

    private companion object {
        /** A time earlier than any real one. */
        const val NEVER = -1e9
    }
}
