package burlridge.worker

/** Reason why an allocation, or a machine with all its allocations, is lost; [text] is its name in log lines. */
internal enum class LossReason(
    val text: String,
) {
    /** No start was sent, and commands do not reach the machine. */
    MACHINE_UNREACHABLE("machine_unreachable"),

    /** No start was sent, and the machine has stopped sending heartbeats. */
    MACHINE_SILENT("machine_silent"),

    /** No start was sent, and the machine sends heartbeats without having seen the required fencing token. */
    MACHINE_UNRESPONSIVE("machine_unresponsive"),

    /** No start was sent, and the machine is being drained. */
    MACHINE_DRAINED("machine_drained"),

    /** No start was executed, and the attempt of its gang has ended. */
    GANG_ENDED("gang_ended"),

    /** No start was sent before its gang was stopped. */
    GANG_STOPPED("gang_stopped"),

    /** A heartbeat does not contain the task, and no start of it can still arrive. */
    NOT_ON_WORKER("not_on_worker"),

    /** No start was sent before the worker began anew. */
    WORKER_NEW("worker_new"),

    /** The worker has begun a new agent epoch, which starts without any tasks. */
    EPOCH_ENDED("epoch_ended"),

    /** The worker's lease has certainly expired, so all its tasks have ended. */
    LEASE_EXPIRED("lease_expired"),

    /** The cloud's list no longer contains the machine. */
    NOT_LISTED("not_listed"),

    /** The machine was returned to the cloud. */
    RETURNED("returned"),
}
