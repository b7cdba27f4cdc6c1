package burlridge.failover

import burlridge.core.Effect
import burlridge.core.StepContext
import burlridge.leadership.Leadership
import burlridge.message.FailoverStatus
import burlridge.message.HandoverMessage
import burlridge.message.PeerMessage
import burlridge.settings.FailoverSettings
import burlridge.store.Listing
import burlridge.store.StoreClient
import burlridge.worker.WorkerResponseCount

/**
 * Failure detection, the standby replica and planned handover of one member, behind the controller's `step`. Suspicion only
 * prepares: whatever has an effect still waits for the fence in the state service.
 */
internal class Failover(
    private val context: StepContext,
    private val settings: FailoverSettings,
    private val store: StoreClient,
    private val leadership: Leadership,
    /** The prefixes whose rows a new leader reads. */
    prefixes: List<String>,
    private val controller: ControllerState,
) : OutgoingHandover.Port,
    IncomingHandover.Port {
    /** What failover asks the rest of the controller. */
    internal interface ControllerState {
        /** Whether nothing of this leader is half done. */
        fun isAtRest(): Boolean

        /** Starts sent to workers so far. */
        val startsSent: Long

        /** How many workers have heard of this term; none are known before the rows are read. */
        fun workerResponseCount(): WorkerResponseCount
    }

    private val member = context.settings.member
    private val others = context.settings.others.map { it.member }
    private val detector = FailureDetector(others, Leadership.STATUS_INTERVAL_SECONDS, settings.suspectLevel)
    private val replica =
        StandbyReplica(
            context,
            store,
            prefixes,
            (context.settings.limits.memoryMb * BYTES_PER_MB * settings.replicaPart).toLong(),
            context.settings.workers.reportSeconds * settings.refreshReports,
        )
    private val outgoing = OutgoingHandover(context, leadership, this)
    private val incoming = IncomingHandover(context, store, leadership, this)
    private val statuses = HashMap<String, FailoverStatus>()
    private val changes = ArrayDeque<LeaderChange>()
    private val stallsAt = ArrayDeque<Double>()
    private var stallsSeen = 0L
    private var sequence = 0L
    private var incarnation = 0L
    private var lastSuspectedLeader: String? = null
    private var progress: TakeoverProgress? = null
    private var retryAt = 0.0
    private var refusalsLoggedAt = -1e9

    /** Set once an operator, or a signal to stop, wants this member out. */
    var draining: Boolean = false
        private set

    /** Nothing new may be begun: a handover is about to take place. */
    val resting: Boolean get() = outgoing.resting

    /** Whether this member can be stopped without anybody noticing. */
    val drained: Boolean get() = draining && !leadership.isLeader && !outgoing.active

    /** What a new leader has reached since its election. */
    private class TakeoverProgress(
        val term: Long,
        val startsBefore: Long,
        var started: Boolean = false,
        var answered: Boolean = false,
        var lookAt: Double = 0.0,
    )

    fun tick() {
        if (incarnation == 0L) incarnation = context.wallMillis
        detector.tick(context.now).forEach { changed(it) }
        replica.tick(wanted = isStandby())
        outgoing.tick()
        incoming.tick()
        noticeStalls()
        handOverIfDue()
        progress?.let { observe(it) }
    }

    // --- members

    /** A status of another member; one from outside the settings or one that was overtaken is counted and passed over. */
    fun heard(message: PeerMessage.Status) {
        val status = message.failover ?: return
        val fromTheFuture = status.incarnation > context.wallMillis + FUTURE_MILLIS
        if (fromTheFuture || !detector.heard(message.from, status.incarnation, status.sequence, context.now)) {
            refuse("heartbeats", message.from)
            return
        }
        statuses[message.from] = status
    }

    /** What comes wrongly is counted, and logged once a flood. */
    private fun refuse(
        kind: String,
        from: String,
    ) {
        context.count("failover.${kind}_refused")
        if (context.now < refusalsLoggedAt + leadership.leaseSeconds * LOG_LEASES) return
        refusalsLoggedAt = context.now
        val soFar = context.counters.getLong("failover.${kind}_refused")
        context.info("failover $kind refused: $soFar so far, the last in the name of \"${from.take(MOST_NAME)}\"")
    }

    fun status(): FailoverStatus =
        FailoverStatus(incarnation, ++sequence, draining, isSlow, if (leadership.isLeader) FailoverStatus.NO_REPLICA else replica.revision)

    private fun changed(change: LivenessChange) {
        context.info("member ${change.member} is ${change.now.name.lowercase()}: ${change.reason}")
        context.count("failover.${change.now.name.lowercase()}")
        trace(LeaderChangeEvent.LivenessChanged(change))
        if (change.now == Liveness.SUSPECTED && change.member == leadership.knownLeader) {
            lastSuspectedLeader = change.member
            // Prepared now, so that nothing is left to read once the fence lets this member lead.
            replica.hurry()
            leadership.pollSoon()
        }
    }

    /** The first members in the order of their names that are alive, do not lead and are not leaving. */
    private fun isStandby(): Boolean {
        if (leadership.isLeader || draining || leadership.knownLeader == null) return false
        val fit = others.filter { it != leadership.knownLeader && detector.isAlive(it) && statuses[it]?.draining == false }
        return (fit + member).sorted().indexOf(member) < settings.standbys
    }

    // --- handover

    override fun successors(): List<String> {
        val fit =
            others.filter { other ->
                detector.isAlive(other) && statuses[other]?.let { !it.draining && !it.slow } == true
            }
        return fit.sortedByDescending { statuses[it]?.replicaRevision ?: FailoverStatus.NO_REPLICA }
    }

    override fun send(
        to: String,
        message: HandoverMessage,
    ) {
        context.send(to, PeerMessage.Handover(member, message))
    }

    override fun isAtRest(): Boolean = controller.isAtRest()

    override fun ended(
        successor: String,
        outcome: String,
    ) {
        retryAt = context.now + leadership.leaseSeconds * RETRY_LEASES
        context.count("failover.handovers")
        trace(LeaderChangeEvent.HandoverEnded(successor, outcome))
    }

    override fun unfit(): String? =
        when {
            draining -> "it is draining"
            isSlow -> "it stood still lately"
            detector.doubtsItself(context.now) -> "it was paused a moment ago"
            else -> null
        }

    fun handover(message: PeerMessage.Handover) {
        if (message.from !in others) {
            refuse("messages", message.from)
            return
        }
        when (val step = message.step) {
            is HandoverMessage.Offer -> incoming.offered(message.from, step)
            is HandoverMessage.Accept -> outgoing.accepted(message.from, step)
            is HandoverMessage.Decline -> outgoing.declined(message.from, step)
            is HandoverMessage.Transferred -> incoming.transferred(message.from, step)
            is HandoverMessage.Withdraw -> incoming.withdrawn(message.from, step)
        }
    }

    /** Takes this member out of service in order; null, or why not. Asked for twice it is one drain. */
    fun drain(): String? {
        if (draining) return null
        if (others.none { detector.isAlive(it) && statuses[it]?.draining == false }) return "no other member is alive to take over"
        draining = true
        incoming.drop()
        context.info("$member is draining")
        handOverIfDue()
        return null
    }

    /** Whether another member could be drained; null, or why not. */
    fun refusalToDrain(other: String): String? {
        val view = detector.view(other, context.now) ?: return "there is no member $other"
        return when {
            view.heardAt == null -> "$other has not been heard since $member started, or has no failover switched on"
            view.liveness != Liveness.ALIVE -> "$other is ${view.liveness.name.lowercase()}: ${view.reason}"
            else -> null
        }
    }

    private fun handOverIfDue() {
        if (!leadership.holdsLease || outgoing.active || context.now < retryAt) return
        val reason =
            when {
                draining -> "it is draining"
                isSlow -> "it stood still ${stallsAt.size} times lately"
                else -> return
            }
        val problem = outgoing.begin(reason)
        if (problem == null) {
            trace(LeaderChangeEvent.HandoverBegan(successors().firstOrNull().orEmpty(), reason))
        } else {
            retryAt = context.now + leadership.leaseSeconds * RETRY_LEASES
            context.infoRateLimited("handovers not begun", "no handover: $problem")
        }
    }

    private fun noticeStalls() {
        if (leadership.stalls > stallsSeen) stallsAt.addLast(context.now)
        stallsSeen = leadership.stalls
        val windowSeconds = leadership.leaseSeconds * FailoverSettings.STALL_WINDOW_LEASES
        while (stallsAt.isNotEmpty() && stallsAt.first() < context.now - windowSeconds) stallsAt.removeFirst()
    }

    private val isSlow: Boolean get() = settings.slowStalls > 0 && stallsAt.size >= settings.slowStalls

    // --- leadership

    /** The rows for a new leader from the standby replica; null where they must be read from the state service. */
    fun takeOverRows(onResult: (Map<String, Listing>?) -> Unit) = replica.takeOver(leadership.fence, onResult)

    fun rowsRead(
        rows: Int,
        fromReplica: Boolean,
    ) {
        context.count(if (fromReplica) "failover.rows_from_replica" else "failover.rows_read", rows)
        trace(LeaderChangeEvent.RowsRead(leadership.term, rows, fromReplica))
    }

    fun named(term: Long): Boolean = incoming.named(term)

    /** Whether a member that is alive holds a standby replica and this one does not. */
    fun defersElection(): Boolean = replica.revision < 0 && others.any { detector.isAlive(it) && isPrepared(it) }

    private fun isPrepared(other: String): Boolean = statuses[other]?.let { !it.draining && it.replicaRevision >= 0 } ?: false

    fun elected(cause: String) {
        incoming.drop()
        val suspected = lastSuspectedLeader
        lastSuspectedLeader = null
        if (suspected != null) detector.fenced(suspected, leadership.term)?.let { changed(it) }
        progress = TakeoverProgress(leadership.term, controller.startsSent)
        note(member, leadership.term, cause)
        trace(LeaderChangeEvent.Elected(leadership.term, cause))
    }

    fun deposed(
        term: Long,
        cause: String,
    ) {
        progress = null
        outgoing.deposed(cause)
        trace(LeaderChangeEvent.Deposed(term, cause))
    }

    fun learned(
        leader: String,
        term: Long,
    ) {
        val suspected = lastSuspectedLeader
        if (suspected != null && suspected != leader) {
            lastSuspectedLeader = null
            detector.fenced(suspected, term)?.let { changed(it) }
        }
        note(leader, term, "told by the rows or by a member")
    }

    private fun note(
        leader: String,
        term: Long,
        cause: String,
    ) {
        if (changes.lastOrNull()?.term == term) return
        if (changes.size == MOST_CHANGES) changes.removeFirst()
        changes.addLast(LeaderChange(context.wallMillis, term, leader, cause))
    }

    private fun observe(takeover: TakeoverProgress) {
        if (context.now < takeover.lookAt) return
        takeover.lookAt = context.now + Leadership.STATUS_INTERVAL_SECONDS / 2
        if (!takeover.started && controller.startsSent > takeover.startsBefore) {
            takeover.started = true
            trace(LeaderChangeEvent.FirstStart(takeover.term))
        }
        if (takeover.answered) return
        val workers = controller.workerResponseCount()
        if (workers.known > 0 && workers.answered == workers.known) {
            takeover.answered = true
            context.info(
                "term ${takeover.term}: all ${workers.known} workers answered %.2f s after the election".format(
                    context.now - leadership.electedAt,
                ),
            )
            trace(LeaderChangeEvent.AllWorkersAnswered(takeover.term, workers.known))
        }
    }

    private fun trace(event: LeaderChangeEvent) {
        if (settings.traceFile != null) context.emit(Effect.Trace(event, context.wallMillis))
    }

    // --- operators

    fun report(): FailoverReport =
        FailoverReport(
            member = member,
            role =
                if (leadership.isLeader) {
                    "leader"
                } else if (isStandby()) {
                    "standby"
                } else {
                    "follower"
                },
            leader = leadership.knownLeader,
            term = leadership.knownTerm,
            draining = draining,
            drained = drained,
            doubtsItself = detector.doubtsItself(context.now),
            members = detector.views(context.now).map { view -> reportOf(view) },
            replica =
                ReplicaReport(
                    replica.state.name.lowercase(),
                    replica.rows,
                    replica.size,
                    replica.revision,
                    if (replica.state == ReplicaState.FOLLOWING) context.now - replica.refreshedAt else null,
                    replica.lastDiscard,
                ),
            outgoing = outgoing.description,
            incoming = incoming.description,
            falseSuspicions = detector.falseSuspicions,
            ownPauses = detector.pauses,
            changes = changes.toList(),
        )

    private fun reportOf(view: MemberView): MemberReport {
        val status = statuses[view.member]
        return MemberReport(
            view.member,
            if (view.heardAt == null) "unknown" else view.liveness.name.lowercase(),
            view.level,
            view.reason,
            view.heardAt?.let { context.now - it },
            status?.draining ?: false,
            status?.slow ?: false,
            status?.replicaRevision ?: FailoverStatus.NO_REPLICA,
        )
    }

    internal companion object {
        private const val BYTES_PER_MB = 1024 * 1024
        private const val MOST_CHANGES = 32
        private const val MOST_NAME = 40

        /** Two clocks of day differ by far less; a heartbeat from later than that would make all later ones look old. */
        private const val FUTURE_MILLIS = 60_000L
        private const val RETRY_LEASES = 2.0
        private const val LOG_LEASES = 8.0
    }
}
