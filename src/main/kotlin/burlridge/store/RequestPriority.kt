package burlridge.store

/**
 * Which requests go first while the rate limits of the key-value store bind; declared from first to last. Requests are counted under
 * [counter].
 */
internal enum class RequestPriority(
    val counter: String,
) {
    /** Elections, leases, and what a new leader reads. */
    LEADERSHIP("store.requests.leadership"),

    /** What a user waits for. */
    USER("store.requests.user"),

    /** Claims that must be stored before their side effect: allocations, moves, drains, rentals. */
    CLAIM("store.requests.claim"),

    /** The ends and the progress of jobs. */
    FINISH("store.requests.finish"),

    /** What can wait, and only saves space or time. */
    CLEANUP("store.requests.cleanup"),
}
