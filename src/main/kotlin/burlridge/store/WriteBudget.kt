package burlridge.store

/** A bucket of permits that refills at [rate] a second and holds one second's worth. */
internal class Bucket(
    private var rate: Double,
    private var level: Double = rate,
) {
    private var at = 0.0

    fun refill(
        now: Double,
        newRate: Double = rate,
    ) {
        rate = newRate
        level = minOf(maxOf(rate, 1.0), level + (now - at) * rate)
        at = now
    }

    fun take(amount: Double): Boolean {
        // A transaction larger than the bucket goes when the bucket is full.
        if (level < minOf(amount, maxOf(rate, 1.0))) return false
        level -= amount
        return true
    }

    fun drain() {
        level = minOf(level, 0.0)
    }
}

/** Who goes first when the store's limits bind; declared from first to last. */
internal enum class Urgency { LEADERSHIP, USER, CLAIM, FINISH, CLEANUP }
