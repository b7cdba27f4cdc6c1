package burlridge.failover

import burlridge.core.Effect
import burlridge.core.StepContext
import burlridge.leadership.ElectionCause
import burlridge.leadership.Leadership
import burlridge.leadership.StepDownReason
import burlridge.message.FailoverStatus
import burlridge.message.PeerMessage
import burlridge.settings.FailoverSettings
import burlridge.store.Listing
import burlridge.store.StoreClient
import burlridge.worker.WorkerResponseCount

/**
 * Failure detection, standby replica and planned handover of one member, driven by the controller's `step`. A suspicion only triggers
 * preparations: no member leads until the fencing token in the key-value store allows it.
 */
internal class Failover(
    private val context: StepContext,
    private val settings: FailoverSettings,
    store: StoreClient,
    private val leadership: Leadership,
    /** Key prefixes of the rows that a new leader reads. */
    prefixes: List<String>,
    private val controller: ControllerState,
) {
    /** State of the rest of the controller that failover depends on. */
    internal interface ControllerState {
        /** Whether no work of this leader is in flight. */
        fun isQuiesced(): Boolean

        /** Number of task starts sent to workers so far. */
        val startsSent: Long

        /** Number of workers that were answered in this term; no workers are known until the rows are read. */
        fun workerResponseCount(): WorkerResponseCount
    }

    private val member = context.settings.member
    private val cluster = ClusterView(context, settings, leadership)
    private val replica =
        StandbyReplica(
            context,
            store,
            prefixes,
            (context.settings.processLimits.memoryMb * BYTES_PER_MB * settings.replicaMemoryShare).toLong(),
            context.settings.workers.reportSeconds * settings.refreshReports,
        )
    private val handovers = HandoverCoordinator(context, settings, store, leadership, cluster, controller, ::trace)
    private val refusals = RefusalLog(context, leadership)
    private val history = LeaderHistory(context)
    private var sequence = 0L

    /** Wall-clock time of the first tick of this process, in milliseconds; 0 before that. */
    private var incarnation = 0L
    private var suspectedLeader: String? = null

    /** Null unless this member leads. */
    private var takeover: TakeoverProgress? = null

    val isDraining: Boolean get() = handovers.isDraining

    /** Whether no new work may be started because a handover is about to take place. */
    val isQuiescing: Boolean get() = handovers.isQuiescing

    /** Whether this member can be stopped without interrupting the service. */
    val isDrained: Boolean get() = handovers.isDrained

    /** Runs the periodic work of all parts in a fixed order; called about ten times a second. */
    fun tick() {
        if (incarnation == 0L) incarnation = context.wallMillis
        cluster.detector.tick(context.now).forEach { onLivenessChanged(it) }
        replica.tick(isWanted = cluster.isStandby(isDraining))
        handovers.tick()
        takeover?.tick()
    }

    // --- members

    /** Records the status of another member as its heartbeat; refused heartbeats are counted. */
    fun onStatus(message: PeerMessage.Status) {
        val status = message.failover ?: return
        if (!cluster.recordHeartbeat(message.from, status)) refusals.record(RefusedInput.HEARTBEAT, message.from)
    }

    /** Returns the failover part of this member's next status; each call uses the next sequence number. */
    fun nextStatus(): FailoverStatus {
        val replicaRevision = if (leadership.isLeader) FailoverStatus.NO_REPLICA else replica.revision
        return FailoverStatus(incarnation, ++sequence, isDraining, handovers.isSlow, replicaRevision)
    }

    private fun onLivenessChanged(change: LivenessChange) {
        context.info("member liveness changed", "member" to change.member, "state" to change.current.label, "reason" to change.reason)
        context.count("failover.${change.current.label}")
        trace(LeaderChangeEvent.LivenessChanged(change))
        if (change.current == Liveness.SUSPECTED && change.member == leadership.knownLeader) {
            suspectedLeader = change.member
            // Refresh the replica now, so that nothing is left to read once the fencing token allows this member to lead.
            replica.refreshSoon()
            leadership.pollSoon()
        }
    }

    // --- handover

    /** Handles a message of a planned handover; messages from unknown members are counted and ignored. */
    fun onHandover(message: PeerMessage.Handover) {
        if (cluster.isMember(message.from)) {
            handovers.onMessage(message.from, message.step)
        } else {
            refusals.record(RefusedInput.MESSAGE, message.from)
        }
    }

    /** Takes this member out of service gracefully; repeated requests have no effect. */
    fun drain(): DrainResult = handovers.drain()

    /** Checks whether [other] can be asked to drain. */
    fun checkDrain(other: String): DrainResult = handovers.checkDrain(other)

    // --- leadership

    /** Passes the rows for a new leader from the standby replica to [onResult]; null if they must be read from the key-value store. */
    fun takeOverRows(onResult: (Map<String, Listing>?) -> Unit) = replica.takeOver(leadership.fencingToken, onResult)

    /** Called when the new leader has loaded its rows, from the standby replica or from the key-value store. */
    fun onRowsLoaded(
        rows: Int,
        fromReplica: Boolean,
    ) {
        context.count(if (fromReplica) "failover.rows_from_replica" else "failover.rows_read", rows)
        trace(LeaderChangeEvent.RowsRead(leadership.term, rows, fromReplica))
    }

    /** Called when the leader row names this member under [term]; true if the term was handed over, so that no election is needed. */
    fun onTermHandedOver(term: Long): Boolean = handovers.onTermHandedOver(term)

    /** Whether this member holds no standby replica while another member that is alive and not draining holds one. */
    fun defersElection(): Boolean = replica.revision < 0 && cluster.hasMemberWithReplica()

    /** Called when this member begins to lead a new term. */
    fun onElected(cause: ElectionCause) {
        handovers.onElected()
        confirmSuspicion(leadership.term)
        takeover = TakeoverProgress(context, leadership, controller, ::trace)
        history.record(member, leadership.term, cause.text)
        trace(LeaderChangeEvent.Elected(leadership.term, cause.text))
    }

    /** Called when this member no longer leads [term]. */
    fun onDeposed(
        term: Long,
        reason: StepDownReason,
    ) {
        takeover = null
        handovers.onDeposed(reason)
        trace(LeaderChangeEvent.Deposed(term, reason.text))
    }

    /** Called when this member learns that another member, [leader], leads [term]. */
    fun onLeaderObserved(
        leader: String,
        term: Long,
    ) {
        if (suspectedLeader != leader) confirmSuspicion(term)
        history.record(leader, term, OBSERVED_CAUSE)
    }

    /** Marks the suspected leader as failed, because it has been replaced in [term]. */
    private fun confirmSuspicion(term: Long) {
        val suspected = suspectedLeader ?: return
        suspectedLeader = null
        cluster.detector.markFailed(suspected, term)?.let { onLivenessChanged(it) }
    }

    private fun trace(event: LeaderChangeEvent) {
        if (settings.traceFile != null) context.emit(Effect.Trace(event, context.wallMillis))
    }

    // --- operators

    /** Returns this member's view of the cluster, for operators. */
    fun report(): FailoverReport = FailoverReportBuilder(context, leadership, cluster, replica, handovers, history).build()

    private companion object {
        const val BYTES_PER_MB = 1024 * 1024

        /** Cause recorded for a change of leader that this member learned of from the leader row or from another member's status. */
        const val OBSERVED_CAUSE = "told by the rows or by a member"
    }
}
