package burlridge.loopback

private const val LONGEST_S = 90L
private const val LOOK_MS = 20L
private const val NS_A_S = 1_000_000_000L

/** Looks until [look] gives something other than null or false; a bound on the wait is all that time decides here. */
internal fun <T : Any> await(
    what: String,
    longestS: Long = LONGEST_S,
    look: () -> T?,
): T {
    val until = System.nanoTime() + longestS * NS_A_S
    while (true) {
        val found = look()
        if (found != null && found != false) return found
        check(System.nanoTime() < until) { "waited $longestS s for: $what" }
        Thread.sleep(LOOK_MS)
    }
}
