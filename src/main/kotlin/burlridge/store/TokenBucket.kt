package burlridge.store

/** A bucket of permits that refills at a rate and holds one second's worth, or [burst] where that is more. */
internal class TokenBucket(
    private val burst: Double,
) {
    private var level = burst
    private var at = 0.0

    fun refill(
        now: Double,
        rate: Double,
    ) {
        level = minOf(maxOf(rate, burst), level + (now - at) * rate)
        at = now
    }

    /** A transaction larger than the bucket goes when the bucket is full. */
    fun holds(amount: Double): Boolean = level >= minOf(amount, burst)

    fun take(amount: Double): Boolean {
        if (!holds(amount)) return false
        level -= amount
        return true
    }

    fun drain() {
        level = minOf(level, 0.0)
    }
}

/** Who goes first when the store's limits bind; declared from first to last. */
internal enum class RequestPriority { LEADERSHIP, USER, CLAIM, FINISH, CLEANUP }
