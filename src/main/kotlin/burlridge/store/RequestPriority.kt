package burlridge.store

/**
 * Order in which requests are sent while the rate limits of the key-value store hold them back, declared from first to last. Requests are
 * counted under the metric [counter].
 */
internal enum class RequestPriority(
    val counter: String,
) {
    /** Elections, leases and the reads of a new leader. */
    LEADERSHIP("store.requests.leadership"),

    /** Requests that a user waits for. */
    USER("store.requests.user"),

    /** Records that must be stored before their side effect: allocations, moves, drains, rentals. */
    CLAIM("store.requests.claim"),

    /** End and progress of jobs. */
    FINISH("store.requests.finish"),

    /** Requests that can wait and only save space or time. */
    CLEANUP("store.requests.cleanup"),
}
