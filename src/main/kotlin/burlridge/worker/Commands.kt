package burlridge.worker

import burlridge.app.Context
import burlridge.app.Endpoint
import burlridge.app.Outcome
import burlridge.intent.Claim
import burlridge.intent.Ledger
import burlridge.intent.Phase
import burlridge.intent.Standing
import burlridge.leadership.Leadership
import burlridge.peer.Peers

/** Commands straight to the workers, and what becomes of them. */
internal class Commands(
    private val ctx: Context,
    private val leadership: Leadership,
    private val ledger: Ledger,
    private val peers: Peers,
    private val reach: Reach,
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

    private val times = ctx.settings.workers
    private var probeAt = 0.0

    /** Sends what is due to [machine] straight away. */
    fun command(machine: Machine) {
        val address = machine.address ?: return
        if (machine.commanding || ctx.now < machine.nextCommandAt || machine.lapsed) return
        // While others may have been elected only what can never be wrong goes out: the stops of cancelled jobs.
        if (!leadership.standing && !leadership.answering) return
        val claims = ledger.claims.byMachine[machine.id]?.values
        if (claims.isNullOrEmpty()) return
        if (claims.none { it.phase <= Phase.SENT || it.stopGraceS != null || reconciler.withdrawn(it) }) return
        val starts = if (leadership.standing) startsOf(machine).take(MOST_COMMANDS) else emptyList()
        val stops = claims.filter { (leadership.standing || reconciler.withdrawn(it)) && wantsStop(it) }
        val fencing = leadership.standing && machine.echoed <= machine.openToken && claims.any { it.phase == Phase.SENT }
        if (starts.isEmpty() && stops.isEmpty() && !fencing) return
        stops.forEach { it.stopSentAt = ctx.now }
        starts.forEach { it.phase = Phase.SENT }
        if (starts.isNotEmpty()) machine.runToken = machine.token
        send(machine, address, stops.map { stop(it) } + starts.map { WorkerCommand.Start(it.piece, it.run) }, starts, stops)
    }

    private fun stop(claim: Claim) =
        WorkerCommand.Stop(claim.piece, claim.run, if (reconciler.withdrawn(claim)) 0.0 else claim.stopGraceS ?: 0.0)

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
            ledger.jobs[claim.job]?.let { it.ending != Standing.WITHDRAWN } == true

    private fun wantsStop(claim: Claim): Boolean {
        if (claim.phase < Phase.SENT || claim.ended || ctx.now < claim.stopSentAt + times.reportS / 3) return false
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
        ctx.count("worker.commands")
        val token = machine.token
        val session = machine.session
        val body = WorkerCommandCodec.request(token, session, commands)
        val term = leadership.term
        deliver(machine, address, body) { outcome ->
            if (!leadership.leading || leadership.term != term || !events.knows(machine)) return@deliver
            machine.commanding = false
            val answer = outcome as? Outcome.Answered
            val report = answer?.let { WorkerReport.decode(it.body) }
            when {
                answer != null && report != null && (answer.status == 200 || answer.status == 409) -> {
                    machine.refusals = 0
                    // On 409 nothing was executed: what was to start has still to be sent.
                    if (answer.status == 409) unsend(starts) else stops.forEach { it.stopTold = true }
                    events.heard(machine, report)
                    if (machine.echoed shr Workers.TERM_SHIFT > leadership.term) {
                        leadership.stepDown("worker ${machine.id} has seen a higher token")
                        return@deliver
                    }
                    if (answer.status == 409) machine.nextCommandAt = ctx.now + RETRY_S
                    events.changed()
                    // What was claimed while this was under way need not wait for the next sweep: a gang waits for its last task.
                    if (startsOf(machine).isNotEmpty()) command(machine)
                }

                outcome is Outcome.NotSent || answer?.status == 400 -> {
                    unsend(starts)
                    retryLater(machine)
                    if (machine.refusals >= REFUSALS_TO_LEAVE) {
                        // It may report and still not hear: what has not left goes elsewhere, and nothing more comes here before
                        // its worker has seen a token that only an answer of ours can have brought.
                        machine.token = events.nextToken()
                        machine.mustEcho = machine.token
                        events.withdrawUnsent(machine, "never sent, and its machine cannot be reached")
                    }
                }

                else -> {
                    // Possibly executed, or held back to be executed later: only a higher token seen by the worker settles it.
                    ctx.often("commands of unknown outcome", "command to ${machine.id} has an unknown outcome; fencing it")
                    machine.openToken = maxOf(machine.openToken, token)
                    machine.token = events.nextToken()
                    machine.mustEcho = machine.token
                    retryLater(machine)
                }
            }
        }
    }

    /** Straight to the worker, or the way its reports come where it cannot reach us itself. */
    private fun deliver(
        machine: Machine,
        address: Endpoint,
        body: String,
        then: (Outcome) -> Unit,
    ) {
        val via = machine.via
        val timeoutS = times.reportS * COMMAND_PART
        val zone = machine.zone
        if (via == null) {
            ctx.call(address, "POST", "/do", body, timeoutS) { outcome ->
                reach.commanded(zone, outcome is Outcome.Answered)
                then(outcome)
            }
        } else {
            peers.ask(via, "POST", Relay.COMMAND + address, body, timeoutS * 2) { answer ->
                then(
                    when {
                        answer == null -> Outcome.Unknown
                        answer.status == Relay.NOT_SENT -> Outcome.NotSent
                        answer.status == Relay.UNKNOWN -> Outcome.Unknown
                        else -> Outcome.Answered(answer.status, answer.body)
                    },
                )
            }
        }
    }

    /** A machine that is overdue is asked directly, so that a dead one is told from one whose reports go astray. */
    fun ask(machine: Machine) {
        val address = machine.address ?: return
        val wanted = machine.up || !ledger.claims.byMachine[machine.id].isNullOrEmpty()
        if (!wanted || machine.commanding || machine.leaving || ctx.now < machine.nextCommandAt || !leadership.standing) return
        if (ctx.now > machine.silentSince + times.reportS * OVERDUE_REPORTS) send(machine, address, emptyList(), emptyList())
    }

    /** Now and then one machine of a zone that is cut off is tried, with nothing to do for it. */
    fun probe(machines: Collection<Machine>) {
        if (ctx.now < probeAt) return
        probeAt = ctx.now + PROBE_S
        for (zone in reach.left()) {
            val there =
                machines.filter {
                    it.zone == zone && it.up && !it.lapsed && it.via == null && it.address != null && !it.commanding && !it.leaving
                }
            val machine = there.randomOrNull(ctx.random) ?: continue
            send(machine, machine.address ?: continue, emptyList(), emptyList())
        }
    }

    private fun retryLater(machine: Machine) {
        machine.refusals++
        machine.nextCommandAt = ctx.now + RETRY_S * minOf(machine.refusals, 8)
    }

    private fun unsend(starts: List<Claim>) {
        for (claim in starts) {
            if (claim.phase != Phase.SENT) continue
            claim.phase = Phase.CLAIMED
            // Its gang's attempt was over before it could begin.
            if (claim.stopGraceS != null) events.lose(claim, "never sent, and its gang is gone")
        }
    }

    private companion object {
        const val MOST_COMMANDS = 100
        const val RETRY_S = 0.5
        const val REFUSALS_TO_LEAVE = 2
        const val OVERDUE_REPORTS = 1.6
        const val PROBE_S = 1.0

        /** How long a command's answer is waited for, in report intervals. */
        const val COMMAND_PART = 0.5
    }
}
