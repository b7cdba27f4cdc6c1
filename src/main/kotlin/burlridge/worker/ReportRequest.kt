package burlridge.worker

/** A request that the worker of [machine] answers with its report, which is therefore no older than the request. */
internal class ReportRequest(
    val machine: Machine,
    /** When the request was sent, in seconds of this member's monotonic clock. */
    val sentAt: Double,
)
