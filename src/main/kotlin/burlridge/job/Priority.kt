package burlridge.job

/** How urgent a job is, from the most to the least urgent; [wire] is its name in requests and rows. */
internal enum class Priority(
    val wire: String,
) {
    PRODUCTION("prod"),
    HIGH("high"),
    NORMAL("normal"),
    LOW("best_effort"),
    ;

    internal companion object {
        /** The priority named [wire]; null where there is none. */
        fun of(wire: String): Priority? = entries.firstOrNull { it.wire == wire }
    }
}
