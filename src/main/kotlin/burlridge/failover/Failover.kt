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
 * Failure detection, the standby replica and planned handover of one member, behind the controller's `step`. A suspicion only prepares: no
 * member leads before the fencing token in the state service lets it.
 */
internal class Failover(
    private val context: StepContext,
    private val settings: FailoverSettings,
    store: StoreClient,
    private val leadership: Leadership,
    /** The prefixes whose rows a new leader reads. */
    prefixes: List<String>,
    private val controller: ControllerState,
) {
    /** What failover asks the rest of the controller. */
    internal interface ControllerState {
        /** Whether no work of this leader is in flight. */
        fun isQuiesced(): Boolean

        /** Starts sent to workers so far. */
        val startsSent: Long

        /** How many workers were answered in this term; none are known before the rows are read. */
        fun workerResponseCount(): WorkerResponseCount
    }

    private val member = context.settings.member
    private val cluster = ClusterView(context, settings, leadership)
    private val replica =
        StandbyReplica(
            context,
            store,
            prefixes,
            (context.settings.limits.memoryMb * BYTES_PER_MB * settings.replicaPart).toLong(),
            context.settings.workers.reportSeconds * settings.refreshReports,
        )
    private val handovers = HandoverCoordinator(context, settings, store, leadership, cluster, controller, ::trace)
    private val refusals = RefusalLog(context, leadership)
    private val history = LeaderHistory(context)
    private var sequence = 0L

    /** When this process made its first step, in milliseconds of the time of day; 0 before. */
    private var incarnation = 0L
    private var suspectedLeader: String? = null

    /** Null where this member does not lead. */
    private var takeover: TakeoverProgress? = null

    val isDraining: Boolean get() = handovers.isDraining

    /** Whether nothing new may be started: a handover is about to take place. */
    val isQuiescing: Boolean get() = handovers.isQuiescing

    /** Whether this member can be stopped without interrupting the service. */
    val isDrained: Boolean get() = handovers.isDrained

    /** One turn of all parts, in a fixed order; a turn comes about ten times a second. */
    fun tick() {
        if (incarnation == 0L) incarnation = context.wallMillis
        cluster.detector.tick(context.now).forEach { onLivenessChanged(it) }
        replica.tick(isWanted = cluster.isStandby(isDraining))
        handovers.tick()
        takeover?.tick()
    }

    // --- members

    /** Takes the status of another member as its heartbeat; one that is refused is counted. */
    fun onStatus(message: PeerMessage.Status) {
        val status = message.failover ?: return
        if (!cluster.recordHeartbeat(message.from, status)) refusals.record(RefusedInput.HEARTBEAT, message.from)
    }

    /** What this member's next status says; each call counts as one status sent. */
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
            // Prepared now, so that nothing is left to read once the fencing token lets this member lead.
            replica.refreshSoon()
            leadership.pollSoon()
        }
    }

    // --- handover

    /** Takes a step of a planned handover; one from a name that is no member is counted and ignored. */
    fun onHandover(message: PeerMessage.Handover) {
        if (cluster.isMember(message.from)) {
            handovers.onMessage(message.from, message.step)
        } else {
            refusals.record(RefusedInput.MESSAGE, message.from)
        }
    }

    /** Takes this member out of service in order; a repeated request changes nothing. */
    fun drain(): DrainResult = handovers.drain()

    /** Whether [other] can be asked to drain. */
    fun checkDrain(other: String): DrainResult = handovers.checkDrain(other)

    // --- leadership

    /** The rows for a new leader from the standby replica; null where they must be read from the state service. */
    fun takeOverRows(onResult: (Map<String, Listing>?) -> Unit) = replica.takeOver(leadership.fencingToken, onResult)

    /** The new leader has loaded its rows, from the standby replica or from the state service. */
    fun onRowsLoaded(
        rows: Int,
        fromReplica: Boolean,
    ) {
        context.count(if (fromReplica) "failover.rows_from_replica" else "failover.rows_read", rows)
        trace(LeaderChangeEvent.RowsRead(leadership.term, rows, fromReplica))
    }

    /** The leader's row names this member under [term]; true where it was handed over, so that no election is needed. */
    fun onTermHandedOver(term: Long): Boolean = handovers.onTermHandedOver(term)

    /** Whether this member holds no standby replica and another one, alive and not draining, does. */
    fun defersElection(): Boolean = replica.revision < 0 && cluster.hasPreparedMember()

    /** This member leads a new term. */
    fun onElected(cause: ElectionCause) {
        handovers.onElected()
        confirmSuspicion(leadership.term)
        takeover = TakeoverProgress(context, leadership, controller, ::trace)
        history.record(member, leadership.term, cause.text)
        trace(LeaderChangeEvent.Elected(leadership.term, cause.text))
    }

    /** This member does not lead [term] any more. */
    fun onDeposed(
        term: Long,
        reason: StepDownReason,
    ) {
        takeover = null
        handovers.onDeposed(reason)
        trace(LeaderChangeEvent.Deposed(term, reason.text))
    }

    /** Another member, [leader], is known to lead [term]. */
    fun onLeaderObserved(
        leader: String,
        term: Long,
    ) {
        if (suspectedLeader != leader) confirmSuspicion(term)
        history.record(leader, term, OBSERVED)
    }

    /** The leader that was suspected last has been replaced in [term]. */
    private fun confirmSuspicion(term: Long) {
        val suspected = suspectedLeader ?: return
        suspectedLeader = null
        cluster.detector.markFailed(suspected, term)?.let { onLivenessChanged(it) }
    }

    private fun trace(event: LeaderChangeEvent) {
        if (settings.traceFile != null) context.emit(Effect.Trace(event, context.wallMillis))
    }

    // --- operators

    /** This member's view, for operators. */
    fun report(): FailoverReport = FailoverReportBuilder(context, leadership, cluster, replica, handovers, history).build()

    private companion object {
        const val BYTES_PER_MB = 1024 * 1024

        /** The cause of a change of leader that this member read from the leader row or from another member's status. */
        const val OBSERVED = "told by the rows or by a member"
    }
}
