package burlridge.worker

import burlridge.core.HttpResponse
import burlridge.core.HttpStatus
import burlridge.core.StepContext
import burlridge.leadership.Leadership
import burlridge.leadership.StepDownReason

/** The parts that a heartbeat is passed to. */
internal class HeartbeatHandlers(
    val reconciler: TaskReconciler,
    val cleanup: TaskCleanup,
    val leases: LeaseMonitor,
    val losses: AllocationLosses,
    val reachability: ZoneReachability,
)

/** Processes heartbeats in the order of their agent epoch and sequence number, and answers them with the fencing token and commands. */
internal class HeartbeatProcessor(
    private val context: StepContext,
    private val leadership: Leadership,
    private val machines: MachineRegistry,
    private val handlers: HeartbeatHandlers,
    private val requestPlacement: () -> Unit,
) {
    private val unlistedReports =
        UnlistedReports(
            (context.settings.processLimits.memoryMb * BYTES_PER_MB * UNLISTED_MEMORY_SHARE).toLong(),
            machines::isVouchedFor,
            machines.byId::containsKey,
        )

    /** Called for each machine whose worker may have begun anew, to ask it for a report. */
    var onWorkerInDoubt: (Machine) -> Unit = {}

    /** Called for each machine that sent a new heartbeat, after its allocations have been reconciled. */
    var onReconciled: (Machine) -> Unit = {}

    /** Clears all state when a term begins or ends. */
    fun clear() = unlistedReports.clear()

    /** Answers the heartbeat [body], which came directly from its worker, or through the member [relayedBy] if that is not null. */
    fun onRequest(
        body: String,
        relayedBy: String?,
    ): HttpResponse {
        context.count("worker.reports")
        val known = LastHeartbeat.machineIdIn(body)?.let { machines.byId[it] }
        val sequence = known?.lastHeartbeat?.sequenceIfUnchanged(body)
        if (known != null &&
            sequence != null
        ) {
            return respond(known, relayedBy, isNew = onOwnReport(known) { acceptUnchanged(known, sequence) })
        }
        context.count("worker.reports_read")
        val heartbeat = Heartbeat.decode(body) ?: return HttpResponse.error(HttpStatus.BAD_REQUEST, "not a report")
        if (machines.isRemoved(heartbeat.machine)) return HttpResponse.unavailable("this machine has been returned")
        if (!unlistedReports.admits(heartbeat.machine, body.length, context.now)) return refuseUnlisted(heartbeat)
        val machine = machines.getOrRegister(heartbeat.machine)
        val isNew = onOwnReport(machine) { accept(machine, heartbeat) }
        if (!isNew && heartbeat.token < machine.seenToken) onTokenForgotten(machine)
        if (isNew) machine.lastHeartbeat = LastHeartbeat.of(body, machine.sequence)
        return respond(machine, relayedBy, isNew)
    }

    private fun refuseUnlisted(heartbeat: Heartbeat): HttpResponse {
        context.count("worker.reports_refused")
        context.infoLimited("unlisted machine refused", "machine" to heartbeat.machine, "address" to heartbeat.address)
        return HttpResponse.unavailable("too many machines report that the cloud does not list")
    }

    /**
     * Calls [accept] for a report that the worker of [machine] sent on its own. Such a report may have been held up on its way, or be a late
     * copy from before this term: it tells the present state only if it was expected by now and shows a token of this leader.
     */
    private fun onOwnReport(
        machine: Machine,
        accept: () -> Boolean,
    ): Boolean {
        val isExpected = context.now <= machine.lastMessageAt + context.settings.workers.reportSeconds * MAX_REPORT_INTERVALS
        val isNew = accept()
        if (isNew && isExpected && machine.isResponsive) machine.observedAt = context.now
        return isNew
    }

    /** Processes the [body] of a worker's response to an inspection, which mostly differs from its last heartbeat only in the sequence number. */
    fun onInspected(
        request: ReportRequest,
        body: String,
    ) {
        val machine = request.machine
        val sequence = machine.lastHeartbeat?.sequenceIfUnchanged(body)
        if (sequence != null) {
            if (acceptUnchanged(machine, sequence)) machine.observedAt = maxOf(machine.observedAt, request.sentAt)
        } else {
            Heartbeat.decode(body)?.takeIf { it.machine == machine.id }?.let { onRequestedReport(request, it) }
        }
    }

    /** Processes the heartbeat with which a worker responds to [request]. It does not renew the lease of the worker. */
    fun onRequestedReport(
        request: ReportRequest,
        heartbeat: Heartbeat,
    ) {
        val machine = request.machine
        if (request.showsNewWorker(heartbeat)) {
            replaceWorker(machine, heartbeat)
        } else if (!accept(machine, heartbeat)) {
            return
        }
        machine.observedAt = maxOf(machine.observedAt, request.sentAt)
        // The next heartbeat may equal the one before this response, so it must be decoded in full.
        machine.lastHeartbeat = null
        if (machines.areAllocationsLoaded) handlers.reconciler.reconcile(machine)
    }

    /**
     * Handles a heartbeat that seems old and shows a lower token than the worker had seen. It is a late copy, or the worker has begun anew
     * and would execute late copies of commands. It is given a token above theirs, and its response to a question tells which it is.
     */
    private fun onTokenForgotten(machine: Machine) {
        machines.fenceStarts(machine)
        onWorkerInDoubt(machine)
    }

    /**
     * Begins anew with a worker that has lost its memory: the tasks that it had are gone, but it would execute late copies of commands.
     * Nothing is placed on [machine], and no task is considered lost, until the worker has seen a token above those of all commands.
     */
    private fun replaceWorker(
        machine: Machine,
        heartbeat: Heartbeat,
    ) {
        context.infoLimited("worker began anew", "machine" to machine.id, "epoch" to heartbeat.agentEpoch, "token" to heartbeat.token)
        machine.unsettledToken = maxOf(machine.unsettledToken, machine.token)
        machines.requireNewToken(machine)
        machine.agentEpoch = heartbeat.agentEpoch
        machine.sequence = heartbeat.sequence
        machine.seenToken = heartbeat.token
        machine.epochChangedAt = context.now
        machine.isLeaseExpired = false
        machine.leaseRenewedAt = context.now
        recordMessage(machine)
        updateDescription(machine, heartbeat)
        if (machines.areAllocationsLoaded) handlers.losses.releaseUndispatched(machine, LossReason.WORKER_NEW)
    }

    /** Accepts a heartbeat that differs from the previous one only in its [sequence] number; returns false if it is not newer. */
    private fun acceptUnchanged(
        machine: Machine,
        sequence: Long,
    ): Boolean {
        if (sequence <= machine.sequence) return false
        machine.sequence = sequence
        recordMessage(machine)
        return true
    }

    private fun recordMessage(machine: Machine) {
        machine.lastMessageAt = context.now
        machine.unresponsiveSince = if (machine.isResponsive) null else machine.unresponsiveSince ?: context.now
    }

    private fun respond(
        machine: Machine,
        relayedBy: String?,
        isNew: Boolean,
    ): HttpResponse {
        if (isNew) {
            machine.relayedBy = relayedBy
            if (relayedBy == null) handlers.reachability.onHeartbeat(machine.zone)
        }
        if (FencingToken.termOf(machine.seenToken) > leadership.term) {
            leadership.stepDown(StepDownReason.HigherTokenSeen(machine.id))
            return HttpResponse.unavailable("not the leader")
        }
        // A heartbeat that arrives after a newer response to a command still renews the worker's lease when it is answered.
        machine.leaseRenewedAt = context.now
        if (isNew) {
            machine.lastHeartbeatAt = context.now
            machine.isLeaseExpired = false
        }
        val commands = if (isNew && machines.areAllocationsLoaded) reconcile(machine) else emptyList()
        return HttpResponse(
            HttpStatus.OK,
            WorkerCommandCodec.response(machine.token, commands),
            sendDeadline = leadership.responseDeadline,
        )
    }

    /** Reconciles the allocations of [machine], and returns the commands to send with the response. */
    private fun reconcile(machine: Machine): List<WorkerCommand> {
        handlers.reconciler.reconcile(machine)
        onReconciled(machine)
        val commands = handlers.cleanup.stops(machine) + handlers.cleanup.removals(machine)
        requestPlacement()
        return commands
    }

    /** Updates [machine] from [heartbeat]; returns false if it is not newer than the latest one. */
    private fun accept(
        machine: Machine,
        heartbeat: Heartbeat,
    ): Boolean {
        val isNewEpoch = heartbeat.agentEpoch != machine.agentEpoch
        if (heartbeat.agentEpoch < machine.agentEpoch || (!isNewEpoch && heartbeat.sequence <= machine.sequence)) return false
        if (heartbeat.token < machine.seenToken) {
            replaceWorker(machine, heartbeat)
            return true
        }
        if (isNewEpoch && machine.isUp && machines.areAllocationsLoaded) {
            handlers.losses.markAllLost(machine, LossReason.EPOCH_ENDED, beforeEpoch = heartbeat.agentEpoch)
        }
        val isFirst = machine.sequence < 0
        if (isFirst) {
            machine.upSince = context.now
        } else if (isNewEpoch) {
            machine.epochChangedAt = context.now
        }
        if (isNewEpoch || isFirst) {
            // The lease begins with the epoch, at the latest now. Only a new epoch may clear the expiry here: a response to a command
            // renews no lease, and a task started after it would be considered lost while it still runs.
            machine.isLeaseExpired = false
            machine.leaseRenewedAt = maxOf(machine.leaseRenewedAt, context.now)
        }
        machine.agentEpoch = heartbeat.agentEpoch
        machine.sequence = heartbeat.sequence
        val wasFenced = handlers.leases.isFenced(machine)
        machine.seenToken = maxOf(machine.seenToken, heartbeat.token)
        // Until the worker has seen a token of this term, a response of an earlier leader may have renewed its lease.
        if (!wasFenced) machine.leaseRenewedAt = maxOf(machine.leaseRenewedAt, context.now)
        recordMessage(machine)
        updateDescription(machine, heartbeat)
        return true
    }

    private fun updateDescription(
        machine: Machine,
        heartbeat: Heartbeat,
    ) {
        val wasReclaimed = machine.reclaimAt != null
        machine.update(heartbeat, context.now)
        if (!wasReclaimed && machine.reclaimAt != null) {
            context.info("machine is reclaimed by the cloud", "machine" to machine.id, "inSeconds" to heartbeat.noticeSeconds)
        }
    }

    private companion object {
        const val BYTES_PER_MB = 1024 * 1024

        /** The longest time between two heartbeats of a worker that reaches this member, in heartbeat intervals. */
        const val MAX_REPORT_INTERVALS = 1.5

        /** A decoded heartbeat takes several times its length, and the heap is a part of the memory. */
        const val UNLISTED_MEMORY_SHARE = 1.0 / 64
    }
}
