package burlridge.worker

/** A request that the worker of [machine] answers with its report, which is therefore no older than the request. */
internal class ReportRequest(
    val machine: Machine,
    /** When the request was sent, in seconds of this member's monotonic clock. */
    val sentAt: Double,
) {
    private val agentEpoch = machine.agentEpoch
    private val sequence = machine.sequence

    /**
     * Whether the [response] shows that the worker has begun anew, without its memory: it is later than the newest report that was known
     * when the request was sent, and yet its agent epoch and sequence number are not higher.
     */
    fun showsNewWorker(response: Heartbeat): Boolean =
        response.agentEpoch < agentEpoch || (response.agentEpoch == agentEpoch && response.sequence <= sequence)
}
