package burlridge.worker

/** Why an allocation, or a machine with everything on it, is lost; [text] stands for it in log lines. */
internal enum class LossReason(
    val text: String,
) {
    /** No start was sent, and commands do not reach the machine. */
    MACHINE_UNREACHABLE("machine_unreachable"),

    /** No start was sent, and the machine has stopped reporting. */
    MACHINE_SILENT("machine_silent"),

    /** No start was sent, and the machine reports without having seen the token that it must see first. */
    MACHINE_UNRESPONSIVE("machine_unresponsive"),

    /** No start was sent, and the machine is being drained. */
    MACHINE_DRAINED("machine_drained"),

    /** No start was sent, and the attempt of its gang is over. */
    GANG_ENDED("gang_ended"),

    /** No start was sent before its gang was stopped. */
    GANG_STOPPED("gang_stopped"),

    /** A heartbeat without the task, of which no start can still arrive. */
    NOT_ON_WORKER("not_on_worker"),

    /** The worker has begun a new agent epoch, without any tasks. */
    EPOCH_ENDED("epoch_ended"),

    /** The worker's lease has certainly expired, and with it all its tasks ended. */
    LEASE_EXPIRED("lease_expired"),

    /** The cloud's list no longer has the machine. */
    NOT_LISTED("not_listed"),

    /** The machine was returned to the cloud. */
    RETURNED("returned"),
}
