package burlridge.allocation

/** The state of a job; [wireName] is its name in rows and in responses to users. */
internal enum class JobState(
    val wireName: String,
) {
    QUEUED("queued"),
    RUNNING("running"),
    DONE("done"),
    CANCELLED("withdrawn"),
}
