package burlridge.net

/**
 * The open connections from users, health checks and workers, the longest idle first. A machine that loses power never closes its
 * connection, so the connections of dead machines must be reclaimed. No other connection may be: a worker that is about to send a
 * heartbeat would lose it.
 */
internal class ClientConnections<T : Any>(
    private val maxOpen: Int,
    private val softLimit: Int,
    private val reclaimAfterSeconds: Double,
) {
    private val idleSince = LinkedHashMap<T, Double>()
    private val busy = HashSet<T>()

    /** Number of open connections. */
    val size: Int get() = idleSince.size + busy.size

    /** Whether a worker's connection should be closed after its response. */
    val isAboveSoftLimit: Boolean get() = size > softLimit

    /** Whether no further connection may be accepted. */
    val isFull: Boolean get() = size >= maxOpen

    /** Records that [connection] was accepted at [now], the monotonic time in seconds. */
    fun onOpened(
        connection: T,
        now: Double,
    ) {
        idleSince[connection] = now
    }

    /** Records that a request has arrived on [connection]. */
    fun onRequest(connection: T) {
        if (idleSince.remove(connection) != null) busy.add(connection)
    }

    /** Records that the request on [connection] was answered at [now]. */
    fun onResponse(
        connection: T,
        now: Double,
    ) {
        if (busy.remove(connection)) idleSince[connection] = now
    }

    /** Records that [connection] has been closed. */
    fun onClosed(connection: T) {
        idleSince.remove(connection)
        busy.remove(connection)
    }

    /** Returns the longest idle connection if it has been idle for longer than the connection of a live worker ever is; otherwise null. */
    fun reclaimable(now: Double): T? =
        idleSince.entries
            .firstOrNull()
            ?.takeIf { now > it.value + reclaimAfterSeconds }
            ?.key
}
