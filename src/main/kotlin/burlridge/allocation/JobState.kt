package burlridge.allocation

/** The state of a job; [wire] is its name in rows and in the answers to users. */
internal enum class JobState(
    val wire: String,
) {
    QUEUED("queued"),
    RUNNING("running"),
    DONE("done"),
    CANCELLED("withdrawn"),
}
