package burlridge.allocation

/** The decision to run one attempt of one task on one machine; job, task and attempt identify it. Times are in this leader's seconds. */
internal class Allocation(
    val job: String,
    val task: Int,
    val attempt: Int,
    val machine: String,
    val agentEpoch: Long,
    /** Stored with the allocation: a new leader needs it before the machine's first heartbeat to place spread and one-zone jobs. */
    val zone: String,
    val charge: QuotaCharge,
    var phase: AllocationPhase = AllocationPhase.COMMITTING,
) {
    /** Job and task, as in commands and heartbeats. */
    val taskName: String get() = "$job/$task"

    /** The batch in whose row it stands; null until it is written or loaded. */
    var batch: AllocationBatch? = null

    /** It ended without its task being done. */
    var isLost: Boolean = false

    /** Its row has been written. */
    var isPersisted: Boolean = false

    /** It was made by an earlier leader. */
    var isInherited: Boolean = false
    var allocatedAt: Double = 0.0

    /** When it was first reported running; null where that was before this leader's time, or has not been. */
    var startedAt: Double? = null

    /** The time that the task is given to save and stop, 0 to stop at once; null while it is not to be stopped. */
    var stopGraceSeconds: Double? = null

    /** When the last stop command was sent. */
    var stopSentAt: Double = NEVER

    /** The worker has acknowledged a stop command. */
    var isStopAcknowledged: Boolean = false
    val hasEnded: Boolean get() = phase == AllocationPhase.ENDED

    private companion object {
        /** A time before any other. */
        const val NEVER = -1e9
    }
}
