package burlridge.net

/** How the connections that a process may have open are shared out; each part is a ratio to the platform's limit. */
internal class ConnectionBudget(
    most: Int,
) {
    /** Open at most from outside: users, probes and workers. */
    val clients: Int = (most * CLIENTS_PART).toInt()

    /** From here on a worker's connection is closed with its answer: it comes again with its next report. */
    val crowded: Int = (most * CROWDED_PART).toInt()

    /** Connections that are established but not accepted yet take a socket too. */
    val backlog: Int = (most * BACKLOG_PART).toInt().coerceAtLeast(1)

    /** Calls to workers under way at once. Hundreds of machines that hang hold theirs until they are given up. */
    val commands: Int = (most * COMMANDS_PART).toInt().coerceAtLeast(1)

    /** Connections kept open for later calls. */
    val kept: Int = (most * KEPT_PART).toInt().coerceAtLeast(1)

    private companion object {
        const val CLIENTS_PART = 0.64
        const val CROWDED_PART = 0.6
        const val BACKLOG_PART = 0.06

        // The rest, a fortieth, is for members, state service, cloud and whatever is just being closed.
        const val COMMANDS_PART = 0.2
        const val KEPT_PART = 0.07
    }
}
