package burlridge.worker

import burlridge.allocation.Claim
import burlridge.allocation.Ledger
import burlridge.allocation.Phase
import burlridge.allocation.Standing
import burlridge.core.CallOutcome
import burlridge.core.StepContext
import burlridge.leadership.Leadership
import burlridge.peer.Peers
import burlridge.settings.Endpoint

/** Commands straight to the workers, and what becomes of them. */
internal class Commands(
    private val context: StepContext,
    private val leadership: Leadership,
    private val ledger: Ledger,
    private val peers: Peers,
    private val reachability: ZoneReachability,
    private val reconciler: ReportReconciler,
    private val events: Events,
) {
    internal interface Events {
        fun knows(machine: Machine): Boolean

        /** The answer to a command is a report. */
        fun heard(
            machine: Machine,
            report: WorkerReport,
        )

        fun nextToken(): Long

        fun lose(
            claim: Claim,
            reason: String,
        )

        fun withdrawUnsent(
            machine: Machine,
            reason: String,
        )

        fun changed()
    }

    private val times = context.settings.workers
    private var probeAt = 0.0

    /** Sends what is due to [machine] straight away. */
    fun command(machine: Machine) {
        val address = machine.address ?: return
        if (!mayCommand(machine)) return
        val claims = ledger.claims.byMachine[machine.id]?.values
        if (claims.isNullOrEmpty() || claims.none { isPending(it) }) return
        val starts = if (leadership.holdsLease) startsOf(machine).take(MOST_COMMANDS) else emptyList()
        val stops = claims.filter { (leadership.holdsLease || reconciler.withdrawn(it)) && wantsStop(it) }
        if (starts.isEmpty() && stops.isEmpty() && !needsFence(machine, claims)) return
        stops.forEach { it.stopSentAt = context.now }
        starts.forEach { it.phase = Phase.SENT }
        if (starts.isNotEmpty()) machine.lastStartToken = machine.token
        send(machine, address, stops.map { stop(it) } + starts.map { WorkerCommand.Start(it.taskName, it.run) }, starts, stops)
    }

    /** While others may have been elected only what can never be wrong goes out: the stops of cancelled jobs. */
    private fun mayCommand(machine: Machine): Boolean =
        !machine.commanding && context.now >= machine.nextCommandAt && !machine.lapsed && (leadership.holdsLease || leadership.answering)

    private fun isPending(claim: Claim): Boolean = claim.phase <= Phase.SENT || claim.stopGraceS != null || reconciler.withdrawn(claim)

    /** Whether a start of unknown outcome waits for the worker to see a newer token. */
    private fun needsFence(
        machine: Machine,
        claims: Collection<Claim>,
    ): Boolean = leadership.holdsLease && machine.seenToken <= machine.unsettledToken && claims.any { it.phase == Phase.SENT }

    private fun stop(claim: Claim) =
        WorkerCommand.Stop(claim.taskName, claim.run, if (reconciler.withdrawn(claim)) 0.0 else claim.stopGraceS ?: 0.0)

    private fun startsOf(machine: Machine): List<Claim> =
        if (machine.hears) {
            ledger.claims.byMachine[machine.id]
                ?.values
                ?.filter { startable(it, machine) }
                .orEmpty()
        } else {
            emptyList()
        }

    private fun startable(
        claim: Claim,
        machine: Machine,
    ): Boolean =
        claim.phase == Phase.CLAIMED && claim.session == machine.session && claim.stopGraceS == null &&
            machine.drainReason != DrainReason.OPERATOR &&
            ledger.jobs[claim.job]?.let { it.ending != Standing.WITHDRAWN } == true

    private fun wantsStop(claim: Claim): Boolean {
        if (claim.phase < Phase.SENT || claim.ended || context.now < claim.stopSentAt + times.reportS / 3) return false
        if (reconciler.withdrawn(claim)) return true
        if (claim.phase == Phase.SAVING) return false
        if (claim.stopTold && reconciler.savesAsGang(claim)) return false
        return claim.stopGraceS != null
    }

    private fun send(
        machine: Machine,
        address: Endpoint,
        commands: List<WorkerCommand>,
        starts: List<Claim>,
        stops: List<Claim> = emptyList(),
    ) {
        machine.commanding = true
        context.count("worker.commands")
        val token = machine.token
        val session = machine.session
        val body = WorkerCommandCodec.request(token, session, commands)
        val term = leadership.term
        if (starts.isNotEmpty()) context.count(STARTS, starts.size)
        deliver(machine, address, body, onlyStops = starts.isEmpty() && stops.isNotEmpty()) { outcome ->
            if (!leadership.leading || leadership.term != term || !events.knows(machine)) return@deliver
            machine.commanding = false
            val answer = outcome as? CallOutcome.Responded
            val report = answer?.let { WorkerReport.decode(it.body) }
            when {
                report != null && answer.status == EXECUTED -> {
                    stops.forEach { it.stopTold = true }
                    answered(machine, report)
                }

                report != null && answer.status == FENCED -> {
                    // Nothing was executed: what was to start has still to be sent.
                    unsend(starts)
                    machine.nextCommandAt = context.now + RETRY_S
                    answered(machine, report)
                }

                outcome is CallOutcome.NotSent || answer?.status == MALFORMED -> {
                    unsend(starts)
                    unreached(machine)
                }

                else -> {
                    unknown(machine, token)
                }
            }
        }
    }

    private fun answered(
        machine: Machine,
        report: WorkerReport,
    ) {
        machine.refusals = 0
        events.heard(machine, report)
        if (machine.seenToken shr Workers.TERM_SHIFT > leadership.term) {
            return leadership.stepDown("worker ${machine.id} has seen a higher token")
        }
        events.changed()
        // What was claimed while this was under way need not wait for the next sweep: a gang waits for its last task.
        if (startsOf(machine).isNotEmpty()) command(machine)
    }

    private fun unreached(machine: Machine) {
        retryLater(machine)
        if (machine.refusals < REFUSALS_TO_LEAVE) return
        // It may report and still not hear: what has not left goes elsewhere, and nothing more comes here before
        // its worker has seen a token that only an answer of ours can have brought.
        machine.token = events.nextToken()
        machine.requiredToken = machine.token
        events.withdrawUnsent(machine, "never sent, and its machine cannot be reached")
    }

    /** Possibly executed, or held back to be executed later: only a higher token seen by the worker settles it. */
    private fun unknown(
        machine: Machine,
        sentUnder: Long,
    ) {
        context.infoRateLimited("commands of unknown outcome", "command to ${machine.id} has an unknown outcome; fencing it")
        machine.unsettledToken = maxOf(machine.unsettledToken, sentUnder)
        machine.token = events.nextToken()
        machine.requiredToken = machine.token
        retryLater(machine)
    }

    /** Straight to the worker, or the way its reports come where it cannot reach us itself. */
    private fun deliver(
        machine: Machine,
        address: Endpoint,
        body: String,
        onlyStops: Boolean,
        onResult: (CallOutcome) -> Unit,
    ) {
        val relayedBy = machine.relayedBy
        val timeoutS = times.reportS * COMMAND_PART
        val sendDeadline = if (onlyStops) leadership.responseDeadline else leadership.commandDeadline
        val zone = machine.zone
        if (relayedBy == null) {
            context.call(address, "POST", "/do", body, timeoutS, sendDeadline) { outcome ->
                reachability.commanded(zone, outcome is CallOutcome.Responded)
                onResult(outcome)
            }
        } else {
            peers.ask(relayedBy, "POST", Relay.COMMAND + address, body, timeoutS * 2, sendDeadline) { answer ->
                onResult(
                    when {
                        answer == null -> CallOutcome.Unknown
                        answer.status == Relay.NOT_SENT -> CallOutcome.NotSent
                        answer.status == Relay.UNKNOWN -> CallOutcome.Unknown
                        else -> CallOutcome.Responded(answer.status, answer.body)
                    },
                )
            }
        }
    }

    /** A machine that is overdue is asked directly, so that a dead one is told from one whose reports go astray. */
    fun ask(machine: Machine) {
        val address = machine.address ?: return
        val wanted = machine.up || !ledger.claims.byMachine[machine.id].isNullOrEmpty()
        if (!wanted || machine.commanding || machine.abandoned || context.now < machine.nextCommandAt || !leadership.holdsLease) return
        if (context.now > machine.silentSince + times.reportS * OVERDUE_REPORTS) send(machine, address, emptyList(), emptyList())
    }

    /** Now and then one machine of a zone that is cut off is tried, with nothing to do for it. */
    fun probe(machines: Collection<Machine>) {
        if (context.now < probeAt) return
        probeAt = context.now + PROBE_S
        for (zone in reachability.left()) {
            val there =
                machines.filter {
                    it.zone == zone && it.up && !it.lapsed && it.relayedBy == null && it.address != null && !it.commanding && !it.abandoned
                }
            val machine = there.randomOrNull(context.random) ?: continue
            send(machine, machine.address ?: continue, emptyList(), emptyList())
        }
    }

    private fun retryLater(machine: Machine) {
        machine.refusals++
        machine.nextCommandAt = context.now + RETRY_S * minOf(machine.refusals, 8)
    }

    private fun unsend(starts: List<Claim>) {
        for (claim in starts) {
            if (claim.phase != Phase.SENT) continue
            claim.phase = Phase.CLAIMED
            // Its gang's attempt was over before it could begin.
            if (claim.stopGraceS != null) events.lose(claim, "never sent, and its gang is gone")
        }
    }

    internal companion object {
        /** Counts the starts that were sent. */
        const val STARTS = "worker.starts"
        private const val EXECUTED = 200
        private const val MALFORMED = 400
        private const val FENCED = 409
        private const val MOST_COMMANDS = 100
        private const val RETRY_S = 0.5
        private const val REFUSALS_TO_LEAVE = 2
        private const val OVERDUE_REPORTS = 1.6
        private const val PROBE_S = 1.0

        /** How long a command's answer is waited for, in report intervals. */
        private const val COMMAND_PART = 0.5
    }
}
