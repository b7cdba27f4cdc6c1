package burlridge.job

/** The priority of a job, declared from highest to lowest; [wireName] is its name in requests and rows. */
internal enum class Priority(
    val wireName: String,
) {
    PRODUCTION("prod"),
    HIGH("high"),
    NORMAL("normal"),
    LOW("best_effort"),
    ;

    internal companion object {
        /** The priority named [wireName]; null if there is none. */
        fun of(wireName: String): Priority? = entries.firstOrNull { it.wireName == wireName }
    }
}
