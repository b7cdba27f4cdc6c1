package burlridge.failover

import burlridge.core.StepContext
import burlridge.leadership.Leadership

/** Input from another member that is counted and ignored. */
internal enum class RefusedInput(
    val counter: String,
    val event: String,
) {
    /** A heartbeat that is a duplicate, out of order, from the future or from an unknown member. */
    HEARTBEAT("failover.heartbeats_refused", "failover heartbeats refused"),

    /** A handover message from an unknown member. */
    MESSAGE("failover.messages_refused", "failover messages refused"),
}

/** Counts refused input and limits its log lines to one in [LOG_INTERVAL_LEASES] leases, so that a flood of it does not fill the log. */
internal class RefusalLog(
    private val context: StepContext,
    private val leadership: Leadership,
) {
    private var loggedAt = Double.NEGATIVE_INFINITY

    /** Counts an input sent in the name of [from], and logs it unless a line was logged within the interval. */
    fun record(
        input: RefusedInput,
        from: String,
    ) {
        context.count(input.counter)
        if (context.now < loggedAt + leadership.leaseTtlSeconds * LOG_INTERVAL_LEASES) return
        loggedAt = context.now
        context.info(input.event, "total" to context.counters.getLong(input.counter), "last_sender" to from.take(MAX_NAME_LENGTH))
    }

    private companion object {
        /** A sender's name is untrusted input. */
        const val MAX_NAME_LENGTH = 40
        const val LOG_INTERVAL_LEASES = 8.0
    }
}
