package burlridge.allocation

/** The row of a job that has ended. */
internal data class FinishedJobRow(
    val jobState: JobState,
    /** The fingerprint of its specification, used to recognize a repeated submission. */
    val fingerprint: String,
    val taskCount: Int,
) {
    internal companion object {
        private const val KEY_PREFIX = "over/"

        fun key(job: String): String = KEY_PREFIX + job
    }
}
