package burlridge.store

/** A bucket of permits that refills at a rate and holds one second's worth, or [burst] where that is more. */
internal class Bucket(
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

    fun take(amount: Double): Boolean {
        // A transaction larger than the bucket goes when the bucket is full.
        if (level < minOf(amount, burst)) return false
        level -= amount
        return true
    }

    fun drain() {
        level = minOf(level, 0.0)
    }
}

/** Who goes first when the store's limits bind; declared from first to last. */
internal enum class Urgency { LEADERSHIP, USER, CLAIM, FINISH, CLEANUP }
