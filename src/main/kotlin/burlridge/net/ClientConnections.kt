package burlridge.net

/**
 * The connections from users, probes and workers, the one longest idle first. A machine that lost its power never closes its
 * connection, so the places of the dead must be taken back. Only of those: a worker that is about to report, or has just connected,
 * would lose its request.
 */
internal class ClientConnections<T : Any>(
    private val most: Int,
    private val crowded: Int,
    private val reclaimAfterSeconds: Double,
) {
    private val idleSince = LinkedHashMap<T, Double>()
    private val busy = HashSet<T>()
    val size: Int get() = idleSince.size + busy.size

    /** Whether a worker's connection should be closed with its answer. */
    val isCrowded: Boolean get() = size > crowded
    val isFull: Boolean get() = size >= most

    fun opened(
        connection: T,
        now: Double,
    ) {
        idleSince[connection] = now
    }

    fun requested(connection: T) {
        if (idleSince.remove(connection) != null) busy.add(connection)
    }

    fun answered(
        connection: T,
        now: Double,
    ) {
        if (busy.remove(connection)) idleSince[connection] = now
    }

    fun closed(connection: T) {
        idleSince.remove(connection)
        busy.remove(connection)
    }

    /** The one that can be spared: the longest quiet, and for longer than a live worker ever is. */
    fun reclaimable(now: Double): T? =
        idleSince.entries
            .firstOrNull()
            ?.takeIf { now > it.value + reclaimAfterSeconds }
            ?.key
}
