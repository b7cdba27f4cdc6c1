package burlridge.store

/** A token bucket for rate limiting. It is refilled at a given rate up to the tokens of one second, or to [burst] if that is more. */
internal class TokenBucket(
    private val burst: Double,
) {
    private var tokens = burst
    private var refilledAt = 0.0

    /** Adds the tokens for the time since the last refill, at [ratePerSecond]; [now] is in seconds. */
    fun refill(
        now: Double,
        ratePerSecond: Double,
    ) {
        tokens = minOf(maxOf(ratePerSecond, burst), tokens + (now - refilledAt) * ratePerSecond)
        refilledAt = now
    }

    /** Whether [amount] tokens can be taken. More than [burst] can be taken once [burst] are available; the balance becomes negative. */
    fun canTake(amount: Double): Boolean = tokens >= minOf(amount, burst)

    /** Takes [amount] tokens if possible, and returns whether it did. */
    fun take(amount: Double): Boolean {
        if (!canTake(amount)) return false
        tokens -= amount
        return true
    }

    /** Removes all tokens; a negative balance remains. */
    fun drain() {
        tokens = minOf(tokens, 0.0)
    }
}
