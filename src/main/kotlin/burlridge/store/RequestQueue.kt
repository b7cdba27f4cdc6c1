package burlridge.store

import burlridge.core.StepContext

/**
 * Sends requests by priority within this member's share of the rate limits that apply to all members together: one on requests, and one on
 * changed rows.
 */
internal class RequestQueue(
    private val context: StepContext,
) {
    private class QueuedRequest(
        val priority: RequestPriority,
        val changeCount: Int,
        val queuedAt: Double,
        val maxWaitSeconds: Double,
        val onDropped: () -> Unit,
        val send: () -> Unit,
    )

    /** Why the writes of one priority stopped being sent. */
    private enum class WriteStopReason { QUEUE_EMPTY, NO_CHANGE_TOKENS, NO_REQUEST_TOKENS }

    private val settings = context.settings

    // User requests come in bursts, and rarely to all members in the same second: each member may briefly exceed its share.
    private val changeTokens = TokenBucket(settings.storeLimits.writeRps / BURST_DIVISOR)
    private val requestTokens = TokenBucket(settings.storeLimits.rps / BURST_DIVISOR)
    private val writes = RequestPriority.entries.associateWith { ArrayDeque<QueuedRequest>() }
    private val reads = RequestPriority.entries.associateWith { ArrayDeque<QueuedRequest>() }
    private val allQueues = writes.values + reads.values
    private var pausedUntil = 0.0

    /** Whether this member leads. The leader has a larger share of the limits than the other members. */
    var isLeader: Boolean = false

    /**
     * Queues a request that changes [changeCount] rows (0 for a read), and sends what the limits allow now. Calls [send] when it is the
     * request's turn, or [onDropped] once it has waited longer than [maxWaitSeconds].
     */
    fun enqueue(
        priority: RequestPriority,
        changeCount: Int,
        maxWaitSeconds: Double,
        onDropped: () -> Unit,
        send: () -> Unit,
    ) {
        val queues = if (changeCount == 0) reads else writes
        queues.getValue(priority).addLast(QueuedRequest(priority, changeCount, context.now, maxWaitSeconds, onDropped, send))
        sendQueued()
    }

    /** Pauses sending after the store has throttled a request, and removes all tokens, so that no burst follows the pause. */
    fun pause() {
        changeTokens.drain()
        requestTokens.drain()
        pausedUntil = context.now + THROTTLE_PAUSE_SECONDS
    }

    /** Drops requests that have waited too long, and sends those that the limits allow now. */
    fun sendQueued() {
        refill()
        dropExpired()
        if (context.now >= pausedUntil) sendByPriority()
    }

    private fun refill() {
        val share = if (isLeader) LEADER_SHARE else (1 - LEADER_SHARE) / (settings.controllerCount - 1).coerceAtLeast(1)
        changeTokens.refill(context.now, settings.storeLimits.writeRps * share)
        requestTokens.refill(context.now, settings.storeLimits.rps * share)
    }

    private fun dropExpired() {
        for (queue in allQueues) {
            while (queue.isNotEmpty() && isExpired(queue.first())) queue.removeFirst().onDropped()
        }
    }

    private fun isExpired(request: QueuedRequest): Boolean = context.now - request.queuedAt > request.maxWaitSeconds

    private fun sendByPriority() {
        var canWrite = true
        for (priority in RequestPriority.entries) {
            // A read never waits for change tokens: when reads did, polls went unanswered behind a burst of submissions.
            if (!sendReads(reads.getValue(priority))) return
            if (!canWrite) continue
            when (sendWrites(writes.getValue(priority))) {
                WriteStopReason.QUEUE_EMPTY -> Unit

                // A write of a lower priority must not take the tokens that this one waits for.
                WriteStopReason.NO_CHANGE_TOKENS -> canWrite = false

                WriteStopReason.NO_REQUEST_TOKENS -> return
            }
        }
    }

    /** Sends all reads of [queue]; returns false if the request tokens do not suffice. */
    private fun sendReads(queue: ArrayDeque<QueuedRequest>): Boolean {
        while (queue.isNotEmpty()) if (!sendFirst(queue)) return false
        return true
    }

    private fun sendWrites(queue: ArrayDeque<QueuedRequest>): WriteStopReason {
        while (queue.isNotEmpty()) {
            val cost = queue.first().changeCount.toDouble()
            if (!changeTokens.canTake(cost)) return WriteStopReason.NO_CHANGE_TOKENS
            if (!sendFirst(queue)) return WriteStopReason.NO_REQUEST_TOKENS
            changeTokens.take(cost)
        }
        return WriteStopReason.QUEUE_EMPTY
    }

    private fun sendFirst(queue: ArrayDeque<QueuedRequest>): Boolean {
        if (!requestTokens.take(1.0)) return false
        val request = queue.removeFirst()
        context.count(request.priority.counter)
        request.send()
        return true
    }

    private companion object {
        const val THROTTLE_PAUSE_SECONDS = 0.25

        /** A member's burst is the shared limit per second divided by this. */
        const val BURST_DIVISOR = 5

        /** The leader's share of the limits; the other members write only submissions. */
        const val LEADER_SHARE = 0.6
    }
}
