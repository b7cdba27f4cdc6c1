package burlridge.worker

/**
 * Layout of a fencing token: the term of the leader in the high bits, the leader's own counter in the low bits. A worker executes no
 * command whose token is lower than the highest that it has seen.
 */
internal object FencingToken {
    private const val TERM_SHIFT = 20

    /** Returns the lowest token of the leader of [term]. */
    fun first(term: Long): Long = term shl TERM_SHIFT

    /** Returns the term of the leader that issued [token]. */
    fun termOf(token: Long): Long = token shr TERM_SHIFT
}
