package burlridge.net

/** Divides the connections that a process may have open; each share is a fraction of the platform's limit. */
internal class ConnectionBudget(
    maxConnections: Int,
) {
    /** Maximum number of open connections from clients: users, health checks and workers. */
    val maxClients: Int = (maxConnections * CLIENTS_SHARE).toInt()

    /** Above this number, a worker's connection is closed after its response; the worker reconnects for its next heartbeat. */
    val clientSoftLimit: Int = (maxConnections * CLIENT_SOFT_LIMIT_SHARE).toInt()

    /** Maximum number of established connections that are not accepted yet; they use a socket too. */
    val backlog: Int = (maxConnections * BACKLOG_SHARE).toInt().coerceAtLeast(1)

    /** Maximum number of concurrent calls to workers. A call to a hung machine stays open until its timeout. */
    val maxCalls: Int = (maxConnections * CONCURRENT_CALLS_SHARE).toInt().coerceAtLeast(1)

    /** Maximum number of idle connections kept for later calls. */
    val maxIdle: Int = (maxConnections * IDLE_SHARE).toInt().coerceAtLeast(1)

    private companion object {
        const val CLIENTS_SHARE = 0.64
        const val CLIENT_SOFT_LIMIT_SHARE = 0.6
        const val BACKLOG_SHARE = 0.06

        // The remaining 0.03 is for other controllers, the key-value store, the cloud and connections that are closing.
        const val CONCURRENT_CALLS_SHARE = 0.2
        const val IDLE_SHARE = 0.07
    }
}
