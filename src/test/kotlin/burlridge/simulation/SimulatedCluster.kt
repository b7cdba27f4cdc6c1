package burlridge.simulation

import burlridge.app.Controller
import burlridge.core.CallOutcome
import burlridge.core.Effect
import burlridge.core.Input
import burlridge.job.JobSpec
import burlridge.json.Json
import burlridge.message.PeerMessage
import burlridge.settings.Endpoint
import burlridge.settings.OperatorSettings
import burlridge.settings.Settings
import kotlin.random.Random

/** The workers' times of a deployment. */
internal data class WorkerTimes(
    val reportSeconds: Double = 3.0,
    val leaseSeconds: Double = 24.0,
    val cancelSeconds: Double = 54.0,
)

internal data class MachineTypeSpec(
    val cpus: Double,
    val memoryGb: Double,
    val capacity: Int,
)

/** A whole service in virtual time: real controllers, stand-ins for everything else, and faults on the links between them. */
internal class SimulatedCluster(
    seed: Int,
    override val members: List<String> = listOf("drover-0", "drover-1", "drover-2"),
    private val waitObjectiveSeconds: Double = 10.0,
    override val types: Map<String, MachineTypeSpec> =
        mapOf(
            "small" to MachineTypeSpec(4.0, 16.0, 6),
            "big" to MachineTypeSpec(16.0, 64.0, 3),
        ),
    /** Guaranteed to the team that is guaranteed something; 0 for a deployment that guarantees nothing. */
    private val guaranteedCpus: Double = 24.0,
    /** Limits that the state service may have from some moment on. */
    private val nextStateLimits: String? = null,
    /** Whether members start as of the version before: it knows neither gangs nor limits to come. */
    startsOnOldVersion: Boolean = false,
    val times: WorkerTimes = WorkerTimes(),
    private val writeRps: Int = 50,
    private val jobClasses: String = """{"kind":"wait","class":"urgent","within_s":$waitObjectiveSeconds,"share":0.9}""",
    operator: OperatorSettings = OperatorSettings(),
    private val operatorOf: (member: String) -> OperatorSettings = { operator },
) : SimulationEnvironment {
    override val clock = Clock()
    override val random = Random(seed)
    override val reportSeconds = times.reportSeconds
    override val leaseSeconds = times.leaseSeconds
    val cancelSeconds = times.cancelSeconds
    override val zones = listOf("a", "b")
    override val gangWaitSeconds = 30.0
    override val gangPeerSeconds = 4.0
    override val gangBarrier = GangBarrier(this)
    override val invariants = InvariantChecker(clock, cancelSeconds, mapOf("crew-x" to 48.0, "crew-y" to 0.0))
    val state = StateService(clock)
    override val cloud = CloudService(this)
    val log = ArrayList<String>()
    private val controllers = HashMap<String, Controller?>()
    private val generations = HashMap<String, Int>()
    private val openRequests = HashMap<Pair<String, Long>, (Int, String) -> Unit>()
    private var nextRequest = 1L

    /** Pairs of hosts that cannot reach each other, and until when. */
    private val cutUntil = HashMap<Set<String>, Double>()

    /** Machines whose reports arrive, while neither answers nor commands reach them; and until when. */
    private val inboundBlockedUntil = HashMap<String, Double>()

    /** Machines that reach no member, while commands reach them; and until when. */
    private val outboundBlockedUntil = HashMap<String, Double>()

    /** Members whom the state service refuses, each alone, and until when. */
    private val refusedUntil = HashMap<String, Double>()

    /** Members that stand still, and until when; what comes meanwhile waits. */
    private val frozenUntil = HashMap<String, Double>()
    private val heldInputs = HashMap<String, ArrayList<Input>>()

    /** Whether a cut holds back what is sent across it, to be delivered in the end, long given up. */
    var cutsHoldPackets = false

    override var savesFail = false

    /** In place of the usual time that a fetch takes. */
    var fetchTime: ((Worker, JobSpec) -> Double)? = null

    override fun fetchSeconds(
        worker: Worker,
        spec: JobSpec,
    ): Double = fetchTime?.invoke(worker, spec) ?: super.fetchSeconds(worker, spec)

    override var wireName: (String) -> String = { it }

    /** How late a further copy of a report comes, to any member; null where none does. */
    var duplicateReportAfter: (machine: String) -> Double? = { null }
    var calls = 0
        private set

    /** Share of calls whose request, or whose answer, is held back until long after the caller gave up. */
    var callFaultRate = 0.0
    var lateSeconds = 30.0

    /** Called for each call before it is carried out; a test returns what is to become of it. */
    var onCall: (from: String, effect: Effect.HttpCall) -> CallFault = { _, _ -> CallFault.NONE }

    /** Told of everything that a member's step returns, before any of it is carried out. */
    var onEffect: (member: String, effect: Effect) -> Unit = { _, _ -> }

    /** Told the path of each request that one member passes on to another. */
    var onForwardedRequest: (path: String) -> Unit = {}

    /** [CallFault.DUPLICATED]: carried out and answered, and long after that carried out once more. */
    enum class CallFault { NONE, ANSWER_LOST, DELAYED, REFUSED, DUPLICATED }

    init {
        invariants.onStart = { task, worker ->
            zoneOf[worker.id] = worker.zone
            history.started(task, worker.id, clock.now)
        }
        invariants.onEnd = { task, worker -> history.ended(task, worker.id, clock.now) }
        invariants.onStop = { task -> history.stopped(task, clock.now, invariants.spec(task.substringBefore('/'))?.gang == true) }
        members.forEachIndexed { i, name -> clock.after(0.1 * i) { start(name) } }
    }

    /** Zones of machines on which anything ever started. */
    val zoneOf = HashMap<String, String>()

    private val newVersionMembers: HashSet<String> = if (startsOnOldVersion) HashSet() else members.toHashSet()

    /** Members of the new version that are up. */
    fun upgradedMembers(): List<String> = members.filter { it in newVersionMembers && controllers[it] != null }

    /** Kills a member, which comes back new. */
    fun upgrade(
        name: String,
        backAfter: Double,
    ) {
        newVersionMembers += name
        if (controllers[name] != null) crash(name, backAfter)
    }

    fun upgradeAt(
        name: String,
        at: Double,
    ) = clock.after(at) { upgrade(name, 2.0) }

    /** Told of each answer to a user. */
    var onResponse: (status: Int, retryAfterSeconds: Int?) -> Unit = { _, _ -> }

    /** What the member [name] is started with. */
    fun settings(name: String): Settings {
        val isUpgraded = name in newVersionMembers
        val gangTimes = if (isUpgraded) "\"gang_wait_s\":$gangWaitSeconds,\"gang_peer_s\":$gangPeerSeconds," else ""
        val announcedLimits = nextStateLimits?.takeIf { isUpgraded }?.let { ",\"next\":$it" }.orEmpty()
        val others = members.filter { it != name }
        return Settings
            .parse(
                """{"member":"$name","zone":"a","serve_on":"10.0.0.${members.indexOf(name) + 1}:80","peer_bind":"10.0.0.1:81",
            "others":[${others.joinToString(",") { "{\"member\":\"$it\",\"zone\":\"a\",\"endpoint\":\"10.0.0.9:1\"}" }}],
            "services":{"cloud":"10.2.0.2:1","state":"10.2.0.1:1"},
            "params":{"teams":[{"name":"crew-x","cpus":$guaranteedCpus,"cpus_max":48},{"name":"crew-y","cpus":0,"cpus_max":0}],
            "objectives":[$jobClasses],
            "workers":{"report_s":$reportSeconds,"lease_s":$leaseSeconds,$gangTimes"cancel_s":$cancelSeconds},
            "state":{"rps":200,"write_rps":$writeRps,"value_kb":8,"txn_ops":8$announcedLimits},"cloud":{"rps":8,"list_lag_s":3},
            "limits":{"cpu_share":0.25,"memory_mb":268.0,"max_connections":2000}}}""",
            ).copy(operator = operatorOf(name))
    }

    fun start(name: String) {
        val generation = generations.merge(name, 1, Int::plus) ?: 1
        controllers[name] = Controller(settings(name), random.nextLong())
        tick(name, generation)
    }

    fun crash(
        name: String,
        backAfter: Double,
    ) {
        if (controllers[name] == null) return
        controllers[name] = null
        // What waited in a process's queues ends with it.
        heldEffects.remove(name)
        pendingPauses.remove(name)
        openRequests.keys.filter { it.first == name }.forEach { openRequests.remove(it)?.invoke(0, "") }
        clock.after(backAfter) { if (controllers[name] == null) start(name) }
    }

    fun counters(name: String): Map<String, Long> = controllers[name]?.counters.orEmpty()

    fun leader(): String? = members.firstOrNull { name -> controllers[name]?.isActiveLeader == true }

    private fun tick(
        name: String,
        generation: Int,
    ) {
        if (generations[name] != generation || controllers[name] == null) return
        step(name, Input.Tick)
        watchLeader()
        clock.after(0.1) { tick(name, generation) }
    }

    fun cut(
        a: String,
        b: String,
        seconds: Double,
    ) {
        cutUntil[setOf(a, b)] = clock.now + seconds
    }

    fun blockTrafficTo(
        machine: String,
        seconds: Double,
    ) {
        inboundBlockedUntil[machine] = clock.now + seconds
    }

    fun blockTrafficFrom(
        machine: String,
        seconds: Double,
    ) {
        outboundBlockedUntil[machine] = clock.now + seconds
    }

    /** Nothing passes between [member] and the other members. */
    fun cutFromPeers(
        member: String,
        seconds: Double,
    ) = members.filter { it != member }.forEach { cut(member, it, seconds) }

    /** The state service answers [member] 503 while it serves the others. */
    fun refuseStateRequests(
        member: String,
        seconds: Double,
    ) {
        refusedUntil[member] = clock.now + seconds
    }

    private fun isRefused(member: String): Boolean = (refusedUntil[member] ?: 0.0) > clock.now

    /** Keeps a copy of the reports of the next [seconds]; all members get them when the next leader begins. */
    fun replayReportsToNextLeader(seconds: Double) {
        val until = clock.now + seconds
        isRecordingReports = { clock.now < until }
    }

    private var isRecordingReports: () -> Boolean = { false }
    private val recordedReports = ArrayList<String>()
    private var lastLeader: String? = null

    /** Told of each change of leader. */
    var onLeaderChange: (String) -> Unit = {}

    /** Told of each cancellation confirmed. */
    var onCancellationConfirmed: (String) -> Unit = {}

    /** How long a message from member to member takes. */
    var peerDelaySeconds: () -> Double = { 0.001 }

    /** Moments at which more than one member might have acted as leader. */
    val simultaneousLeaders = ArrayList<String>()

    private fun watchLeader() {
        val leaders = members.filter { controllers[it]?.isActiveLeader == true && it !in frozenUntil }
        if (leaders.size > 1) simultaneousLeaders += "$leaders at ${clock.now}"
        val now = leader() ?: return
        if (now != lastLeader) onLeaderChange(now)
        if (now != lastLeader && lastLeader != null) {
            recordedReports.forEach { body ->
                members.forEach { step(it, Input.Request(nextRequest++, "POST", "/agent/beat", "", body)) }
            }
            if (!isRecordingReports()) recordedReports.clear()
        }
        lastLeader = now
    }

    private fun isInboundBlocked(machine: String): Boolean = (inboundBlockedUntil[machine] ?: 0.0) > clock.now

    private fun atEndOfCut(
        a: String,
        b: String,
        action: () -> Unit,
    ) {
        clock.after((cutUntil[setOf(a, b)] ?: clock.now) - clock.now + random.nextDouble(), action)
    }

    private fun isCut(
        a: String,
        b: String,
    ): Boolean = (cutUntil[setOf(a, b)] ?: 0.0) > clock.now

    /** The member stands still while all clocks run on; a timer that came up meanwhile fires once. */
    fun freeze(
        name: String,
        seconds: Double,
    ) {
        if (name in frozenUntil) return
        val generation = generations[name]
        frozenUntil[name] = clock.now + seconds
        heldInputs[name] = ArrayList()
        clock.after(seconds) {
            frozenUntil.remove(name)
            val inputs = heldInputs.remove(name).orEmpty()
            if (generations[name] == generation) inputs.forEach { step(name, it) }
        }
    }

    private fun step(
        name: String,
        input: Input,
    ) {
        val controller = controllers[name] ?: return
        if (name in frozenUntil) {
            if (input != Input.Tick || input !in heldInputs.getValue(name)) heldInputs.getValue(name) += input
            return
        }
        controller.step(input, clock.now, (clock.now * 1000).toLong()).forEach {
            onEffect(name, it)
            carryOut(name, it)
        }
    }

    /** Members that are to pause as soon as they decide on something with an effect outside, and for how long. */
    private val pendingPauses = HashMap<String, Double>()

    /** What waits in the queues of a member that pauses between decision and departure. */
    private val heldEffects = HashMap<String, ArrayList<Effect>>()

    /** Calls with an effect on workers or the cloud that left after such a pause. */
    val lateSends = ArrayList<String>()

    /** How many pauses caught a decision before its departure. */
    var midStepPauses = 0
        private set

    /**
     * The member stands still between its next start, rental or return and the departure of it: that and all that it decides in the same
     * step waits in its queues, nothing comes in, and after [seconds] it goes on where it stood.
     */
    fun pauseMidStep(
        name: String,
        seconds: Double,
    ) {
        pendingPauses[name] = seconds
    }

    private fun pauseBefore(
        name: String,
        effect: Effect,
    ) {
        if (effect !is Effect.HttpCall || !hasExternalEffect(effect)) return
        val seconds = pendingPauses.remove(name) ?: return
        midStepPauses++
        heldEffects[name] = ArrayList()
        freeze(name, seconds)
        // Before what came in meanwhile is looked at.
        val generation = generations[name]
        clock.after(seconds - 0.001) { if (generations[name] == generation) heldEffects.remove(name)?.forEach { sendHeld(name, it) } }
    }

    private fun sendHeld(
        name: String,
        effect: Effect,
    ) {
        val isExpired = effect.sendDeadline < clock.now
        when {
            !isExpired -> {
                if (effect is Effect.HttpCall && hasExternalEffect(effect)) lateSends += "${effect.path} ${effect.body}"
                carryOut(name, effect)
            }

            effect is Effect.HttpCall -> {
                clock.after(0.0) { step(name, Input.CallCompleted(effect.callId, CallOutcome.NotSent)) }
            }

            effect is Effect.Respond -> {
                carryOut(name, Effect.Respond(effect.id, 503, "{}", 1))
            }
        }
    }

    private fun hasExternalEffect(call: Effect.HttpCall): Boolean {
        val starts = call.path == "/do" && call.body.orEmpty().contains("\"run\"")
        return starts || (call.method == "POST" && call.path.startsWith("/rentals"))
    }

    /** A message as it comes over a link, whoever sent it. */
    fun deliverMessage(
        name: String,
        message: PeerMessage,
    ) = step(name, Input.MessageReceived(message))

    fun drain(name: String) = step(name, Input.DrainRequested)

    private fun carryOut(
        name: String,
        effect: Effect,
    ) {
        pauseBefore(name, effect)
        heldEffects[name]?.takeIf { effect !is Effect.Log }?.let {
            it += effect
            return
        }
        when (effect) {
            is Effect.Trace -> {
                Unit
            }

            is Effect.Respond -> {
                onResponse(effect.status, effect.retryAfterSeconds)
                openRequests.remove(name to effect.id)?.invoke(effect.status, effect.body)
            }

            is Effect.Log -> {
                log += "%8.3f %s %s".format(clock.now, name, effect.text)
            }

            is Effect.SendToPeer -> {
                (effect.message as? PeerMessage.ForwardedRequest)?.let { onForwardedRequest(it.path) }
                if (!isCut(
                        name,
                        effect.member,
                    )
                ) {
                    clock.after(peerDelaySeconds()) { step(effect.member, Input.MessageReceived(effect.message)) }
                }
            }

            is Effect.HttpCall -> {
                call(name, effect)
            }
        }
    }

    private fun host(target: Endpoint): String =
        when (target.host) {
            "10.2.0.1" -> "state"
            "10.2.0.2" -> "cloud"
            else -> cloud.workerAt(target.toString())?.id ?: "nobody"
        }

    private fun call(
        name: String,
        effect: Effect.HttpCall,
    ) {
        calls++
        val generation = generations[name]
        var settled = false

        fun settle(outcome: CallOutcome) {
            if (settled) return
            settled = true
            if (generations[name] == generation) step(name, Input.CallCompleted(effect.callId, outcome))
        }
        val host = host(effect.target)
        val drawnFault =
            when {
                callFaultRate > 0 && effect.path.startsWith("/follow").not() && random.nextDouble() < callFaultRate -> {
                    listOf(CallFault.ANSWER_LOST, CallFault.DELAYED, CallFault.REFUSED).random(random)
                }

                else -> {
                    onCall(name, effect)
                }
            }
        val fault = if (host == "nobody") CallFault.REFUSED else drawnFault
        clock.after(effect.timeoutSeconds) { settle(CallOutcome.Unknown) }
        when {
            host == "state" && isRefused(name) && !effect.path.startsWith("/follow") -> {
                clock.after(0.003) { settle(CallOutcome.Responded(503, "{}")) }
            }

            isInboundBlocked(host) || (isCut(name, host) && fault != CallFault.DELAYED) -> {
                // On a connection that stood before the cut it is held back; where there is none, none can be made.
                if (cutsHoldPackets && calls % 2 == 0) {
                    atEndOfCut(name, host) { deliver(host, effect) { _, _ -> } }
                } else {
                    clock.after(1.0) { settle(CallOutcome.NotSent) }
                }
            }

            fault == CallFault.REFUSED -> {
                clock.after(0.01) { settle(CallOutcome.NotSent) }
            }

            else -> {
                if (fault == CallFault.DUPLICATED) clock.after(lateSeconds) { deliver(host, effect) { _, _ -> } }
                clock.after(if (fault == CallFault.DELAYED) random.nextDouble() * lateSeconds else 0.003) {
                    deliver(host, effect) { status, body ->
                        if ((fault == CallFault.NONE || fault == CallFault.DUPLICATED) &&
                            !isCut(name, host)
                        ) {
                            clock.after(0.003) { settle(CallOutcome.Responded(status, body)) }
                        }
                    }
                }
            }
        }
    }

    private fun deliver(
        host: String,
        effect: Effect.HttpCall,
        reply: (Int, String) -> Unit,
    ) {
        when (host) {
            "state" -> state.handle(effect.method, effect.path, effect.body.orEmpty(), reply)
            "cloud" -> cloud.handle(effect.path, effect.body.orEmpty(), reply)
            else -> cloud.worker(host)?.handle(effect.path, effect.body.orEmpty())?.let { reply(it.first, it.second) }
        }
    }

    override fun request(
        from: String,
        name: String,
        method: String,
        path: String,
        body: String,
        timeoutSeconds: Double,
        onResult: (Int, String) -> Unit,
    ) {
        var settled = false
        val askedAt = clock.now

        fun settle(
            status: Int,
            text: String,
        ) {
            if (settled) return
            settled = true
            if (from == "user" && status != 0) recordResponse(name, path, body, askedAt, status, text)
            onResult(status, text)
        }
        clock.after(timeoutSeconds) { settle(0, "") }
        val cut = isCut(from, name)
        if ((outboundBlockedUntil[from] ?: 0.0) > clock.now) return clock.after(0.5) { settle(0, "") }
        if (cut || controllers[name] == null) {
            val late = Input.Request(nextRequest++, method, path, "", body)
            if (cut && cutsHoldPackets) atEndOfCut(from, name) { step(name, late) } else clock.after(0.5) { settle(0, "") }
            return
        }
        val id = nextRequest++
        openRequests[name to id] =
            { status, text -> clock.after(0.001) { if (!isCut(from, name) && !isInboundBlocked(from)) settle(status, text) } }
        step(name, Input.Request(id, method, path, "", body))
        if (path == "/agent/beat") {
            if (isRecordingReports()) recordedReports += body
            duplicateReportAfter(
                from,
            )?.let { clock.after(it) { step(members.random(random), Input.Request(nextRequest++, method, path, "", body)) } }
        }
    }

    // --- users, see Users.kt

    /** One that is up, or any where none is. */
    fun anyMember(): String = members.filter { controllers[it] != null }.ifEmpty { members }.random(random)

    /** Whether users, told of an acceptance or an end, ask all members within milliseconds and repeat the submission there. */
    var queryAllMembersOnChange = false

    /** What an answer calls its job's state; null for an answer without one. */
    fun jobStateOf(body: String): String? =
        Json
            .parseOrNull(body)
            ?.path("standing")
            ?.takeIf { it.isTextual }
            ?.asText()

    /** Everything that users were told and that ran, for a checker of its own. */
    val history = ExecutionHistory()

    private fun recordResponse(
        member: String,
        path: String,
        body: String,
        askedAt: Double,
        status: Int,
        answer: String,
    ) {
        val job = if (path == "/api/jobs") Json.parseOrNull(body)?.path("id")?.asText() else path.split('/').getOrNull(3)
        history.userResponses += ExecutionHistory.UserResponse(job.orEmpty(), member, status, jobStateOf(answer), askedAt, clock.now)
    }

    fun run(until: Double) {
        while (clock.now < until) {
            clock.runUntil(minOf(until, clock.now + 1.0))
            invariants.checkCancelledTasks()
        }
    }
}
