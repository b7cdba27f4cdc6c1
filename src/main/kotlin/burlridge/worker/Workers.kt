package burlridge.worker

import burlridge.app.Answer
import burlridge.app.Context
import burlridge.app.Endpoint
import burlridge.app.Json
import burlridge.app.Outcome
import burlridge.intake.JobSpec
import burlridge.intent.Claim
import burlridge.intent.Gangs
import burlridge.intent.Job
import burlridge.intent.Ledger
import burlridge.intent.Phase
import burlridge.intent.Standing
import burlridge.leadership.Leadership
import burlridge.peer.Peers
import com.fasterxml.jackson.databind.JsonNode
import com.fasterxml.jackson.databind.node.ArrayNode
import it.unimi.dsi.fastutil.objects.Object2IntOpenHashMap

/** Reports in, commands out; says when a claimed task is known to be gone from its machine. */
internal class Workers(
    private val ctx: Context,
    private val leadership: Leadership,
    private val ledger: Ledger,
    private val peers: Peers,
    private val onChange: () -> Unit,
) {
    /** What a type of machine caches; set once the types are known. */
    var cacheOf: (String) -> Double = { 0.0 }

    private val times = ctx.settings.workers
    val machines: LinkedHashMap<String, Machine> = LinkedHashMap()
    private var tokens = 0L
    var loaded: Boolean = false
    private val reach = Reach(ctx)
    private val slowness = Slowness(ledger)

    fun reaches(machine: Machine): Boolean = machine.via != null || !reach.isLeft(machine.zone)

    fun hears(zone: String): Boolean = reach.hears(zone)

    fun unheardZones(): List<String> = reach.unheard(machines.values)

    /** How many machines run each task without a claim of ours; until it is halted such a task blocks any other start of it. */
    private val strayCount = Object2IntOpenHashMap<String>()
    private var sweepAt = 0.0
    private var probeAt = 0.0
    private var slowAt = 0.0

    /** Returned machines: their workers are gone, and a late report must not bring them back. */
    private val returned = HashSet<String>()

    fun clear() {
        machines.clear()
        returned.clear()
        strayCount.clear()
        reach.clear()
        loaded = false
        tokens = 0
    }

    fun isReturned(id: String): Boolean = id in returned

    fun strays(piece: String): Boolean = strayCount.getInt(piece) > 0

    /** Whether any task of [job] runs somewhere without a claim of ours. */
    fun hasStrays(job: String): Boolean = strayCount.keys.any { it.substringBefore('/') == job }

    private fun setStrays(
        machine: Machine,
        strays: Set<String>,
    ) {
        if (machine.strays.isEmpty() && strays.isEmpty()) return
        machine.strays.forEach { if (strayCount.addTo(it, -1) <= 1) strayCount.removeInt(it) }
        strays.forEach { strayCount.addTo(it, 1) }
        machine.strays = strays
    }

    private fun nextToken(): Long = (leadership.term shl TERM_SHIFT) + ++tokens

    fun machine(id: String): Machine =
        machines.getOrPut(id) {
            Machine(id, ctx.now).also {
                it.token = leadership.term shl TERM_SHIFT
                it.openToken = it.token - 1
                // A report alone may be a late copy, of a machine long gone: it must have heard of our term.
                it.mustEcho = it.token
                it.answeredAt = ctx.now
                it.idleSince = ctx.now
            }
        }

    // --- reports

    /** A report, come straight from its worker or passed on by [via]. */
    fun beat(
        body: String,
        via: String?,
    ): Answer {
        ctx.count("worker.reports")
        val report = Json.parseOrNull(body)
        val id = report?.path("drover")?.takeIf { it.isTextual }?.asText()
        if (report == null || id.isNullOrEmpty()) return Answer.error(400, "not a report")
        if (id in returned) return Answer.unavailable("this machine has been returned")
        val machine = machine(id)
        val fresh = take(machine, report)
        if (fresh) {
            machine.via = via
            if (via == null) reach.heard(machine.zone)
        }
        if (machine.echoed shr TERM_SHIFT > leadership.term) {
            leadership.stepDown("worker $id has seen a higher token")
            return Answer.unavailable("not the leader")
        }
        // A report overtaken by a command's answer still renews the worker's lease when it is answered.
        machine.answeredAt = ctx.now
        val orders = Json.arr()
        if (fresh && loaded) {
            reconcile(machine)
            halts(machine, orders)
            reaps(machine, orders)
            onChange()
        }
        val answer =
            Json.obj {
                put("baton", machine.token)
                set<JsonNode>("orders", orders)
            }
        return Answer(200, Json.write(answer))
    }

    /** Takes over what a report says; false when it is older than what is known. */
    private fun take(
        machine: Machine,
        report: JsonNode,
    ): Boolean {
        val session = report.path("stint").asLong()
        val tally = report.path("tally").asLong()
        if (session < machine.session || (session == machine.session && tally <= machine.tally)) return false
        if (session != machine.session && machine.up && loaded) loseAll(machine, "its worker began session $session", session)
        machine.session = session
        machine.tally = tally
        machine.lapsed = false
        val fencedBefore = fenced(machine)
        machine.echoed = maxOf(machine.echoed, report.path("baton").asLong())
        // Until it has seen our term an earlier leader's answer may have renewed its lease.
        if (!fencedBefore) machine.answeredAt = maxOf(machine.answeredAt, ctx.now)
        machine.lastReportAt = ctx.now
        machine.deafSince = if (machine.hears) null else machine.deafSince ?: ctx.now
        val recalled = machine.recallAt
        machine.read(report, ctx.now)
        if (recalled == null && machine.recallAt != null) {
            ctx.info("machine ${machine.id}: the cloud takes it back in ${report.path("recallS").asDouble()} s")
        }
        return true
    }

    fun reconcile(machine: Machine) {
        val claims =
            ledger.byMachine[machine.id]
                ?.values
                ?.toList()
                .orEmpty()
        for (claim in claims) {
            if (claim.session < machine.session) {
                lose(claim, "its worker's session is over")
                continue
            }
            val report = machine.reported[taskKey(claim.piece, claim.run)]
            when {
                report == null -> if (knownAbsent(machine, claim)) lose(claim, "its worker does not have it")
                report.exited -> exited(machine, claim, report)
                else -> seen(machine, claim, report)
            }
        }
        setStrays(
            machine,
            machine.reported.values
                .filter { !it.exited && ledger.byMachine[machine.id]?.get(it.piece)?.run != it.run }
                .mapTo(HashSet()) { it.piece },
        )
        if (machine.idleSince > 0 && !ledger.byMachine[machine.id].isNullOrEmpty()) machine.idleSince = 0.0
        if (machine.idleSince == 0.0 && ledger.byMachine[machine.id].isNullOrEmpty()) machine.idleSince = ctx.now
    }

    /**
     * A report without the task proves something only if no start of it can still arrive: none is in flight, and the worker
     * has seen a token above every one under which a start's outcome is open.
     */
    private fun knownAbsent(
        machine: Machine,
        claim: Claim,
    ): Boolean =
        when (claim.phase) {
            Phase.CLAIMING, Phase.CLAIMED, Phase.ENDED -> false
            else -> !machine.commanding && machine.echoed > machine.openToken
        }

    private fun seen(
        machine: Machine,
        claim: Claim,
        report: Reported,
    ) {
        val before = claim.phase
        claim.phase =
            when (report.standing) {
                "fetching" -> {
                    Phase.FETCHING
                }

                "gathering" -> {
                    Phase.GATHERING
                }

                "running" -> {
                    Phase.RUNNING
                }

                "saving" -> {
                    Phase.SAVING
                }

                // A state of a later day: the machine has the task, and that is all that is known.
                else -> {
                    ctx.count("worker.unknown_words")
                    ctx.info("machine ${machine.id} reports ${claim.piece} in a state that is not known: ${report.standing.take(WORD)}")
                    maxOf(before, Phase.FETCHING)
                }
            }
        if (claim.phase == Phase.RUNNING && before != Phase.RUNNING && !claim.inherited) claim.startedAt = ctx.now
        if (claim.phase >= Phase.GATHERING && before < Phase.GATHERING) ledger.jobs[claim.job]?.let { remember(machine, it.spec) }
    }

    private fun remember(
        machine: Machine,
        spec: JobSpec,
    ) {
        machine.images.remove(spec.image)
        machine.images[spec.image] = spec.imageGb
        val cacheGb = cacheOf(machine.type)
        while (machine.images.size > 1 && machine.images.values.sum() > cacheGb) machine.images.remove(machine.images.keys.first())
    }

    private fun exited(
        machine: Machine,
        claim: Claim,
        report: Reported,
    ) {
        val job = ledger.jobs[claim.job]
        ledger.release(claim, lost = report.cause != "done")
        if (job == null) return
        when (report.cause) {
            "done" -> {
                machine.failures = 0
                claim.startedAt?.let {
                    job.ranS += ctx.now - it
                    job.ran++
                }
                remember(machine, job.spec)
                ledger.markDone(job, claim.task)
            }

            "stopped" -> {
                ctx.info("task ${claim.piece} stopped on ${machine.id}, saved: ${report.kept}")
            }

            "error" -> {
                job.failures++
                machine.failures++
                ctx.info(
                    "task ${claim.piece} failed on ${machine.id}: failure ${job.failures} of its job, ${machine.failures} in a row there",
                )
                job.holdOff(claim.task, ctx.now + minOf(times.reportS * job.failures, times.leaseS))
                if (machine.failures >= FAILURES_TO_QUARANTINE && job.failures < machine.failures * 2) {
                    machine.notBefore = ctx.now + times.leaseS
                }
            }

            // No fault of the machine or of the job: another task of the gang was gone, or late.
            "peers", "incomplete" -> {
                ctx.info("task ${claim.piece} run ${claim.run} ended on ${machine.id} without its gang: ${report.cause}")
            }

            else -> {
                if (report.cause !in REFUSALS) ctx.count("worker.unknown_words")
                ctx.info("start of ${claim.piece} refused by ${machine.id}: ${report.cause?.take(WORD)}")
                job.holdOff(claim.task, ctx.now + times.reportS / 3)
                if (report.cause == "full") machine.notBefore = ctx.now + times.reportS / 3
            }
        }
    }

    private fun lose(
        claim: Claim,
        reason: String,
    ) {
        // Of a job that is over nothing is lost: a new leader only learns so late that its tasks are.
        if (ledger.jobs.containsKey(claim.job)) ctx.info("task ${claim.piece} run ${claim.run} lost on ${claim.machine}: $reason")
        ledger.release(claim, lost = true)
        onChange()
    }

    private fun loseAll(
        machine: Machine,
        reason: String,
        below: Long = Long.MAX_VALUE,
    ) {
        ledger.byMachine[machine.id]
            ?.values
            ?.toList()
            .orEmpty()
            .filter { it.session < below }
            .forEach { lose(it, reason) }
    }

    // --- commands

    private fun order(
        verb: String,
        piece: String,
        run: Int,
        graceS: Double? = null,
    ): JsonNode =
        Json.obj {
            put("verb", verb)
            put("piece", piece)
            put("try", run)
            graceS?.let { put("windDownS", it) }
        }

    /** Every task that has no business on [machine] any more is halted, and again until it is gone. */
    private fun halts(
        machine: Machine,
        orders: ArrayNode,
    ) {
        for (report in machine.reported.values) {
            if (report.exited) continue
            val claim = ledger.byMachine[machine.id]?.get(report.piece)?.takeIf { it.run == report.run }
            val job = report.piece.substringBefore('/')
            when {
                claim == null || ledger.jobs[job] == null || ledger.jobs[job]?.ending == Standing.WITHDRAWN -> {
                    orders.add(order("halt", report.piece, report.run, 0.0))
                }

                // The tasks of a gang that saves are all told at the same time, by commands.
                claim.stopGraceS != null && report.standing != "saving" && !(savesAsGang(claim)) -> {
                    orders.add(order("halt", report.piece, report.run, claim.stopGraceS))
                }
            }
        }
    }

    /** An exited task is forgotten once its end is durable, and only while no start of it can still be on its way. */
    private fun reaps(
        machine: Machine,
        orders: ArrayNode,
    ) {
        if (machine.commanding || machine.echoed <= machine.openToken) return
        for (report in machine.reported.values) {
            if (!report.exited) continue
            val name = report.piece.substringBefore('/')
            val task = report.piece.substringAfter('/').toIntOrNull() ?: continue
            val job = ledger.jobs[name]
            if (job != null && report.cause == "done" && !job.durable.get(task)) {
                ledger.markDone(job, task)
                continue
            }
            val claim = ledger.byMachine[machine.id]?.get(report.piece)
            if (claim != null && claim.run == report.run) continue
            // A repeat of the start may still come, and after the reap it would count as new. One that is done ends at once
            // again; any other must first be void, for it may run elsewhere by then, or be cancelled.
            val harmless = report.cause == "done" && (job != null || ledger.end(name)?.standing == Standing.DONE)
            if (!harmless && machine.echoed <= machine.runToken) {
                if (machine.token <= machine.runToken) machine.token = nextToken()
                continue
            }
            orders.add(order("reap", report.piece, report.run))
        }
    }

    /** Sends what is due to [machine] straight away. */
    fun command(machine: Machine) {
        val address = machine.address ?: return
        if (machine.commanding || ctx.now < machine.nextCommandAt || machine.lapsed) return
        if (!leadership.standing) return
        val claims = ledger.byMachine[machine.id]?.values
        if (claims.isNullOrEmpty()) return
        val orders = Json.arr()
        val starts = if (machine.hears) claims.filter { startable(it, machine) } else emptyList()
        val stops = claims.filter { wantsStop(it) }
        val fencing = machine.echoed <= machine.openToken && claims.any { it.phase == Phase.SENT }
        if (starts.isEmpty() && stops.isEmpty() && !fencing) return
        stops.forEach {
            it.stopSentAt = ctx.now
            orders.add(order("halt", it.piece, it.run, it.stopGraceS ?: 0.0))
        }
        starts.take(MOST_ORDERS).forEach {
            it.phase = Phase.SENT
            orders.add(order("run", it.piece, it.run))
        }
        if (starts.isNotEmpty()) machine.runToken = machine.token
        send(machine, address, orders, starts.take(MOST_ORDERS), stops)
    }

    private fun startable(
        claim: Claim,
        machine: Machine,
    ): Boolean =
        claim.phase == Phase.CLAIMED && claim.session == machine.session && claim.stopGraceS == null &&
            ledger.jobs[claim.job]?.let { it.ending != Standing.WITHDRAWN } == true

    private fun savesAsGang(claim: Claim): Boolean = (claim.stopGraceS ?: 0.0) > 0 && ledger.jobs[claim.job]?.spec?.gang == true

    private fun wantsStop(claim: Claim): Boolean {
        if (claim.phase < Phase.SENT || claim.ended || ctx.now < claim.stopSentAt + times.reportS / 3) return false
        if (claim.phase == Phase.SAVING && ledger.jobs[claim.job] != null) return false
        if (claim.stopTold && savesAsGang(claim)) return false
        return claim.stopGraceS != null || ledger.jobs[claim.job] == null
    }

    private fun send(
        machine: Machine,
        address: Endpoint,
        orders: ArrayNode,
        starts: List<Claim>,
        stops: List<Claim> = emptyList(),
    ) {
        machine.commanding = true
        ctx.count("worker.commands")
        val token = machine.token
        val session = machine.session
        val body =
            Json.obj {
                put("baton", token)
                put("stint", session)
                set<JsonNode>("orders", orders)
            }
        val term = leadership.term
        deliver(machine, address, Json.write(body)) { outcome ->
            if (!leadership.leading || leadership.term != term || machines[machine.id] !== machine) return@deliver
            machine.commanding = false
            val answer = outcome as? Outcome.Answered
            val report = answer?.let { Json.parseOrNull(it.body) }
            when {
                answer != null && report != null && (answer.status == 200 || answer.status == 409) -> {
                    machine.refusals = 0
                    // On 409 nothing was executed: what was to start has still to be sent.
                    if (answer.status == 409) unsend(starts) else stops.forEach { it.stopTold = true }
                    if (take(machine, report) && loaded) reconcile(machine)
                    if (machine.echoed shr TERM_SHIFT > leadership.term) {
                        leadership.stepDown("worker ${machine.id} has seen a higher token")
                        return@deliver
                    }
                    if (answer.status == 409) machine.nextCommandAt = ctx.now + RETRY_S
                    onChange()
                }

                outcome is Outcome.NotSent || answer?.status == 400 -> {
                    unsend(starts)
                    retryLater(machine)
                    if (machine.refusals >= REFUSALS_TO_LEAVE) {
                        // It may report and still not hear: what has not left goes elsewhere, and nothing more comes here before
                        // its worker has seen a token that only an answer of ours can have brought.
                        machine.token = nextToken()
                        machine.mustEcho = machine.token
                        withdrawUnsent(machine, "never sent, and its machine cannot be reached")
                    }
                }

                else -> {
                    // Possibly executed, or held back to be executed later: only a higher token seen by the worker settles it.
                    ctx.info("command to ${machine.id} has an unknown outcome; fencing it")
                    machine.openToken = maxOf(machine.openToken, token)
                    machine.token = nextToken()
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
    private fun ask(machine: Machine) {
        val address = machine.address ?: return
        val wanted = machine.up || !ledger.byMachine[machine.id].isNullOrEmpty()
        if (!wanted || machine.commanding || machine.leaving || ctx.now < machine.nextCommandAt || !leadership.standing) return
        if (ctx.now > machine.silentSince + times.reportS * OVERDUE_REPORTS) send(machine, address, Json.arr(), emptyList())
    }

    /** Now and then one machine of a zone that is cut off is tried, with nothing to do for it. */
    private fun probe() {
        if (ctx.now < probeAt) return
        probeAt = ctx.now + PROBE_S
        for (zone in reach.left()) {
            val there =
                machines.values.filter { it.zone == zone && it.up && it.via == null && it.address != null && !it.commanding && !it.leaving }
            val machine = there.randomOrNull(ctx.random) ?: continue
            send(machine, machine.address ?: continue, Json.arr(), emptyList())
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
            if (claim.stopGraceS != null) lose(claim, "never sent, and its gang is gone")
        }
    }

    // --- losses

    fun tick() {
        if (ctx.now < sweepAt) return
        sweepAt = ctx.now + times.reportS / SWEEPS_A_REPORT
        probe()
        if (loaded) leaveSlow()
        for (machine in machines.values.toList()) {
            if (!machine.lapsed && ctx.now > lapsesAt(machine)) lapse(machine)
            if (loaded && silent(machine)) withdrawUnsent(machine, "never sent, and its machine is silent")
            if (loaded && !machine.hears) withdrawUnsent(machine, "never sent, and its machine does not hear")
            if (machine.recallAt != null) drain(machine)
            command(machine)
            if (loaded && !machine.lapsed) ask(machine)
        }
    }

    /** A claim that never left and whose machine has gone quiet is taken back and placed elsewhere. */
    private fun withdrawUnsent(
        machine: Machine,
        reason: String,
    ) {
        ledger.byMachine[machine.id]
            ?.values
            ?.filter {
                it.phase == Phase.CLAIMED
            }?.toList()
            ?.forEach { lose(it, reason) }
    }

    /**
     * A machine whose tasks take much longer than others of the same jobs is given up: what runs there starts again elsewhere
     * sooner than it would end. Not where many seem slow at once: then it is our measure that is wrong.
     */
    private fun leaveSlow() {
        if (ctx.now < slowAt) return
        slowAt = ctx.now + times.reportS / 2
        val up = machines.values.filter { it.up && !it.lapsed && !it.leaving && !silent(it) }
        val slow = up.filter { slowness.isSlow(it) }
        if (slow.size > up.size * MOST_SLOW) return
        for (machine in slow) {
            ctx.info(
                "machine ${machine.id} is slow: its tasks take over ${Slowness.SLOW} times as long as others of their jobs; leaving it",
            )
            machine.leaving = true
            slowness.running(machine).forEach { claim ->
                val job = ledger.jobs[claim.job] ?: return@forEach
                val spec = job.spec
                when {
                    spec.gang -> stopGang(job, "machine ${machine.id} is slow", mustSave = false)
                    claim.stopGraceS == null -> claim.stopGraceS = if (spec.checkpointS > 0) spec.saveS * Gangs.GRACE else 0.0
                }
            }
        }
    }

    /** Tasks that can save do so before the cloud takes the machine; the others may yet finish. */
    private fun drain(machine: Machine) {
        val gangs = LinkedHashSet<Job>()
        for (claim in ledger.byMachine[machine.id]?.values.orEmpty()) {
            val job = ledger.jobs[claim.job] ?: continue
            val spec = job.spec
            if (spec.gang) {
                gangs += job
                continue
            }
            if (claim.phase == Phase.RUNNING && spec.checkpointS > 0 && claim.stopGraceS == null) {
                claim.stopGraceS = spec.saveS * 2
                ctx.info("task ${claim.piece} is stopped on ${machine.id}: the cloud takes the machine back")
            }
        }
        gangs.forEach { stopGang(it, "the cloud takes ${machine.id} back", mustSave = true) }
    }

    /**
     * Stops a gang in order: every task is told at once, since the save fails unless all hear of it within a short time. One that
     * cannot be told, or cannot save where it [mustSave], is left to run: it may yet end before its machine does.
     */
    private fun stopGang(
        job: Job,
        reason: String,
        mustSave: Boolean,
    ) {
        val state = Gangs.state(job)
        if (state != Gangs.State.RUNNING && state != Gangs.State.GATHERING) return
        val on =
            job.claims.values
                .mapNotNull { machines[it.machine] }
                .distinct()
        if (state == Gangs.State.RUNNING) {
            if (mustSave && job.spec.checkpointS <= 0) return
            if (!on.all { it.up && it.hears && !it.lapsed && it.refusals == 0 && !silent(it) && reaches(it) }) return
        }
        ctx.info("gang ${job.spec.id} run ${job.highestRun} is stopped: $reason")
        Gangs.stop(job).filter { it.phase == Phase.CLAIMED }.forEach { lose(it, reason) }
        on.forEach { command(it) }
    }

    fun silent(machine: Machine): Boolean = ctx.now > machine.lastReportAt + times.reportS * SILENT_REPORTS

    private fun fenced(machine: Machine): Boolean = machine.echoed shr TERM_SHIFT == leadership.term

    private fun lapsesAt(machine: Machine): Double {
        val answered = if (fenced(machine)) machine.answeredAt else maxOf(machine.answeredAt, leadership.othersAnswerUntil)
        return answered + times.leaseS * (1 + Leadership.DRIFT) + times.reportS / 4
    }

    private fun lapse(machine: Machine) {
        if (!loaded) return
        machine.lapsed = true
        setStrays(machine, emptySet())
        loseAll(machine, "its worker's lease has lapsed")
    }

    /** The cloud says that the machine is gone, with everything on it. */
    fun gone(
        machine: Machine,
        reason: String,
    ) {
        ctx.info("machine ${machine.id} is gone: $reason")
        returned += machine.id
        machines.remove(machine.id)
        setStrays(machine, emptySet())
        loseAll(machine, reason)
        ledger.byMachine.remove(machine.id)
    }

    internal companion object {
        const val TERM_SHIFT = 20
        private const val MOST_ORDERS = 100
        private const val RETRY_S = 0.5
        private const val MOST_SLOW = 0.25
        private const val REFUSALS_TO_LEAVE = 2
        private const val OVERDUE_REPORTS = 1.6
        private const val PROBE_S = 1.0

        /** How long a command's answer is waited for, in report intervals. */
        private const val COMMAND_PART = 0.5
        private const val SWEEPS_A_REPORT = 10
        private const val SILENT_REPORTS = 2.5
        private const val FAILURES_TO_QUARANTINE = 2
        private val REFUSALS = setOf("full", "in_use", "unknown")

        /** So much of a word that is not known is logged. */
        private const val WORD = 20
    }
}
