package burlridge.loopback

private const val LONGEST_SECONDS = 90L
private const val LOOK_MILLIS = 20L
private const val NANOS_PER_SECOND = 1_000_000_000L

/** Looks until [look] gives something other than null or false; a bound on the wait is all that time decides here. */
internal fun <T : Any> await(
    what: String,
    longestSeconds: Long = LONGEST_SECONDS,
    look: () -> T?,
): T {
    val until = System.nanoTime() + longestSeconds * NANOS_PER_SECOND
    while (true) {
        val found = look()
        if (found != null && found != false) return found
        check(System.nanoTime() < until) { "waited $longestSeconds s for: $what" }
        Thread.sleep(LOOK_MILLIS)
    }
}
