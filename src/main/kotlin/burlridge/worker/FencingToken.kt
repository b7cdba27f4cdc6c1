package burlridge.worker

/**
 * The layout of a fencing token: the term of its leader in the high bits, the leader's own counter in the low ones. A worker executes no
 * command whose token is below the highest that it has seen.
 */
internal object FencingToken {
    private const val TERM_SHIFT = 20

    /** The lowest token of the leader of [term]. */
    fun first(term: Long): Long = term shl TERM_SHIFT

    /** The term of the leader that gave out [token]. */
    fun termOf(token: Long): Long = token shr TERM_SHIFT
}
