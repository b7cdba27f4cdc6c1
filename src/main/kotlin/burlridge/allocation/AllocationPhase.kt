package burlridge.allocation

/** How far an allocation has come; the order of the constants is compared. */
internal enum class AllocationPhase {
    /** The outcome of writing its batch row is not known yet. */
    COMMITTING,

    /** Its batch row is written, and no start command has been sent. */
    COMMITTED,

    /** A start command has been sent, its outcome open. */
    DISPATCHED,

    /** The worker has accepted the task and fetches its image. */
    FETCHING,

    /** The worker has the image and waits for the rest of the gang. */
    AWAITING_GANG,
    RUNNING,
    CHECKPOINTING,
    ENDED,
}
