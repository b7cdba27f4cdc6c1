package burlridge.allocation

/** The phases of an allocation, in chronological order; they are compared by that order. */
internal enum class AllocationPhase {
    /** The outcome of writing its batch row is not known yet. */
    COMMITTING,

    /** Its batch row is written, and no start command has been sent. */
    COMMITTED,

    /** A start command has been sent, and its outcome is not known yet. */
    DISPATCHED,

    /** The worker has accepted the task and is fetching its image. */
    FETCHING,

    /** The worker has the image and is waiting for the rest of the gang. */
    AWAITING_GANG,
    RUNNING,
    CHECKPOINTING,
    ENDED,
}
