package burlridge.loopback

private const val DEFAULT_TIMEOUT_SECONDS = 90L
private const val POLL_INTERVAL_MILLIS = 20L
private const val NANOS_PER_SECOND = 1_000_000_000L

/** Polls until [poll] returns something other than null or false, and returns that; fails only when [timeoutSeconds] have passed. */
internal fun <T : Any> await(
    description: String,
    timeoutSeconds: Long = DEFAULT_TIMEOUT_SECONDS,
    poll: () -> T?,
): T {
    val deadline = System.nanoTime() + timeoutSeconds * NANOS_PER_SECOND
    while (true) {
        val result = poll()
        if (result != null && result != false) return result
        check(System.nanoTime() < deadline) { "waited $timeoutSeconds s for: $description" }
        Thread.sleep(POLL_INTERVAL_MILLIS)
    }
}
