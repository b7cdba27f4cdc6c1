package burlridge.net

/**
 * Bounds the memory that messages take while they are received. Without it, clients that send a part of a request each and wait would
 * together use up the heap, which ends the process.
 */
internal class ReceiveBudget(
    private val maxBytes: Long,
) {
    /** Bytes that are held for messages that are not complete. */
    var usedBytes: Long = 0
        private set

    /** Counts [bytes] more; returns false, and counts nothing, if they exceed the budget. */
    fun tryAcquire(bytes: Int): Boolean {
        if (usedBytes + bytes > maxBytes) return false
        usedBytes += bytes
        return true
    }

    /** Returns [bytes] that were acquired. */
    fun release(bytes: Int) {
        usedBytes -= bytes
    }

    internal companion object {
        private const val DEFAULT_HEAP_SHARE = 0.125

        /** A budget of [share] of the heap of this process. */
        fun ofHeap(share: Double = DEFAULT_HEAP_SHARE): ReceiveBudget = ReceiveBudget((Runtime.getRuntime().maxMemory() * share).toLong())
    }
}

/** Why a message is not received to its end. */
internal enum class ReceiveRefusal {
    /** It is longer than [ReceiveLimit.maxMessageBytes]. */
    TOO_LONG,

    /** Messages that are not complete use up the budget. */
    BUDGET_EXHAUSTED,

    /** It was not complete in time. */
    TOO_SLOW,
}

/** The limits of one connection: the length of a message as received, head and framing included, and the budget that it shares. */
internal class ReceiveLimit(
    val budget: ReceiveBudget,
    val maxMessageBytes: Int,
)

/** Counts what one connection holds of messages that are not complete. */
internal class HeldBytes(
    private val limit: ReceiveLimit,
) {
    private var held = 0

    /** Sizes of the last read and of the one before it, which may both hold bytes of the message after the one that they complete. */
    private var lastRead = 0
    private var readBefore = 0

    /** Counts a read of [bytes]; returns why they cannot be taken, or null if they can. */
    fun add(bytes: Int): ReceiveRefusal? {
        if (held + bytes > limit.maxMessageBytes) return ReceiveRefusal.TOO_LONG
        if (!limit.budget.tryAcquire(bytes)) return ReceiveRefusal.BUDGET_EXHAUSTED
        held += bytes
        readBefore = lastRead
        lastRead = bytes
        return null
    }

    /** Returns what a complete message held. With [hasUnread], the last reads have also brought the beginning of the next one. */
    fun onMessageCompleted(hasUnread: Boolean) {
        val kept = if (hasUnread) minOf(lastRead + readBefore, held) else 0
        limit.budget.release(held - kept)
        held = kept
    }

    /** Returns everything; may be called repeatedly. */
    fun releaseAll() = onMessageCompleted(hasUnread = false)
}
