package burlridge.net

/** Divides the connections that a process may have open; each share is a ratio to the platform's limit. */
internal class ConnectionBudget(
    maxConnections: Int,
) {
    /** Maximum open from outside: users, health checks and workers. */
    val maxClients: Int = (maxConnections * CLIENTS_SHARE).toInt()

    /** Above this number a worker's connection is closed with its response; it reconnects for its next heartbeat. */
    val clientSoftLimit: Int = (maxConnections * CLIENT_SOFT_LIMIT_SHARE).toInt()

    /** Established but not yet accepted connections, which take a socket too. */
    val backlog: Int = (maxConnections * BACKLOG_SHARE).toInt().coerceAtLeast(1)

    /** Maximum of concurrent calls to workers. Machines that hang hold theirs until the timeout. */
    val maxConcurrentCalls: Int = (maxConnections * CONCURRENT_CALLS_SHARE).toInt().coerceAtLeast(1)

    /** Maximum of idle connections kept for later calls. */
    val maxIdle: Int = (maxConnections * IDLE_SHARE).toInt().coerceAtLeast(1)

    private companion object {
        const val CLIENTS_SHARE = 0.64
        const val CLIENT_SOFT_LIMIT_SHARE = 0.6
        const val BACKLOG_SHARE = 0.06

        // The rest, three hundredths, is for other controllers, the key-value store, the cloud and connections that are closing.
        const val CONCURRENT_CALLS_SHARE = 0.2
        const val IDLE_SHARE = 0.07
    }
}
