package burlridge.net

/** The connections on which a message has begun and is not complete, the earliest first. */
internal class UnfinishedMessages(
    private val timeoutNanos: Long,
) {
    private val begunAtNanos = LinkedHashMap<Connection, Long>()

    /** Records that a part of a message has arrived on [connection]; its time counts from the first part. */
    fun onPartRead(
        connection: Connection,
        nowNanos: Long,
    ) {
        begunAtNanos.putIfAbsent(connection, nowNanos)
    }

    /** Records that the message on [connection] is complete, or that the connection has been closed. */
    fun onEnded(connection: Connection) {
        begunAtNanos.remove(connection)
    }

    /** Removes and returns the connections whose message has not been completed in time. */
    fun removeExpired(nowNanos: Long): List<Connection> {
        val expired =
            begunAtNanos.entries
                .takeWhile { nowNanos - it.value > timeoutNanos }
                .map { it.key }
        expired.forEach { begunAtNanos.remove(it) }
        return expired
    }
}
