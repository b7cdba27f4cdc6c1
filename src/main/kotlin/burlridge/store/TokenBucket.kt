package burlridge.store

/** A rate limiter whose tokens are refilled at a rate up to one second's worth, or to [burst] where that is more. */
internal class TokenBucket(
    private val burst: Double,
) {
    private var tokens = burst
    private var refilledAt = 0.0

    /** Adds the tokens of the time since the last refill, at [ratePerSecond]; [now] is in seconds. */
    fun refill(
        now: Double,
        ratePerSecond: Double,
    ) {
        tokens = minOf(maxOf(ratePerSecond, burst), tokens + (now - refilledAt) * ratePerSecond)
        refilledAt = now
    }

    /** Whether [amount] tokens can be taken. What costs more than [burst] can be taken once that many are there, on credit. */
    fun canTake(amount: Double): Boolean = tokens >= minOf(amount, burst)

    /** Takes [amount] tokens if it can, and says whether it did. */
    fun take(amount: Double): Boolean {
        if (!canTake(amount)) return false
        tokens -= amount
        return true
    }

    /** Leaves no tokens; debts remain. */
    fun drain() {
        tokens = minOf(tokens, 0.0)
    }
}
