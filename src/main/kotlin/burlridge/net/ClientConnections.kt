package burlridge.net

/**
 * The open connections from users, health checks and workers, the longest idle first. A machine that lost its power never closes its
 * connection, so connections of the dead must be reclaimed. Only those: a worker that is about to send a heartbeat would lose it.
 */
internal class ClientConnections<T : Any>(
    private val maxOpen: Int,
    private val softLimit: Int,
    private val reclaimAfterSeconds: Double,
) {
    private val idleSince = LinkedHashMap<T, Double>()
    private val busy = HashSet<T>()

    /** All open connections. */
    val size: Int get() = idleSince.size + busy.size

    /** Whether a worker's connection should be closed with its response. */
    val isAboveSoftLimit: Boolean get() = size > softLimit

    /** Whether no more may be accepted. */
    val isFull: Boolean get() = size >= maxOpen

    /** [connection] was accepted at [now], in seconds of the steady clock. */
    fun onOpened(
        connection: T,
        now: Double,
    ) {
        idleSince[connection] = now
    }

    /** A request has come on [connection]. */
    fun onRequest(connection: T) {
        if (idleSince.remove(connection) != null) busy.add(connection)
    }

    /** The request on [connection] was answered at [now]. */
    fun onResponse(
        connection: T,
        now: Double,
    ) {
        if (busy.remove(connection)) idleSince[connection] = now
    }

    /** [connection] has ended. */
    fun onClosed(connection: T) {
        idleSince.remove(connection)
        busy.remove(connection)
    }

    /** The longest idle connection if it has been idle for longer than a live worker ever is; otherwise null. */
    fun reclaimable(now: Double): T? =
        idleSince.entries
            .firstOrNull()
            ?.takeIf { now > it.value + reclaimAfterSeconds }
            ?.key
}
