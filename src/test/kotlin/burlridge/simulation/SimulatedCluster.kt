package burlridge.simulation

import burlridge.allocation.JobRegistry
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

/** Intervals and timeouts of the workers of a deployment. */
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

/** A whole service in virtual time: real controllers, fakes of everything else, and faults on the links between them. */
internal class SimulatedCluster(
    seed: Int,
    override val members: List<String> = listOf("drover-0", "drover-1", "drover-2"),
    private val waitObjectiveSeconds: Double = 10.0,
    override val types: Map<String, MachineTypeSpec> =
        mapOf(
            "small" to MachineTypeSpec(4.0, 16.0, 6),
            "big" to MachineTypeSpec(16.0, 64.0, 3),
        ),
    /** CPUs guaranteed to crew-x, the only team with a guarantee; 0 for a deployment without guarantees. */
    private val guaranteedCpus: Double = 24.0,
    /** Limits that the state service may impose from some later time on, as JSON; null if none are announced. */
    private val nextStateLimits: String? = null,
    /** Whether members start with the settings of the previous version, which has neither gangs nor announced limits. */
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

    /** Time until which hosts cannot reach each other, by pair of hosts. */
    private val partitionedUntil = HashMap<Set<String>, Double>()

    /** Time until which neither responses nor commands reach a machine, by machine. Its heartbeats still arrive. */
    private val inboundBlockedUntil = HashMap<String, Double>()

    /** Time until which a machine reaches no member, by machine. Commands still reach it. */
    private val outboundBlockedUntil = HashMap<String, Double>()

    /** Time until which the state service responds 503 to a member, by member. It serves the others. */
    private val refusedUntil = HashMap<String, Double>()

    /** Time until which a member is frozen, by member. Its inputs wait in [heldInputs]. */
    private val frozenUntil = HashMap<String, Double>()
    private val heldInputs = HashMap<String, ArrayList<Input>>()

    /** Whether a partition holds back requests and every second call and delivers them when it ends, long after the sender gave up. */
    var partitionsHoldPackets = false

    override var savesFail = false

    /** Replaces the usual time of an image fetch, in seconds; null to keep it. */
    var fetchTime: ((Worker, JobSpec) -> Double)? = null

    override fun fetchSeconds(
        worker: Worker,
        spec: JobSpec,
    ): Double = fetchTime?.invoke(worker, spec) ?: super.fetchSeconds(worker, spec)

    override var wireName: (String) -> String = { it }

    /** Returns the delay in seconds after which a random member gets a copy of a heartbeat; null for no copy. */
    var duplicateHeartbeatAfter: (machine: String) -> Double? = { null }
    var calls = 0
        private set

    /**
     * Share of calls, watches excepted, that get a random fault: the response is lost, the request arrives up to [lateSeconds] late, long
     * after the caller gave up, or the connection is refused.
     */
    var callFaultRate = 0.0

    /** Maximum delay of a delayed call, in seconds. */
    var lateSeconds = 30.0

    /** Returns the delay of the second delivery of a duplicated call, in seconds. */
    var duplicateDelaySeconds: () -> Double = { lateSeconds }

    /** Called for each call before it is sent, unless [callFaultRate] has chosen a fault. Returns the fault to inject. */
    var onCall: (from: String, effect: Effect.HttpCall) -> CallFault = { _, _ -> CallFault.NONE }

    /** Returns what a member receives in place of the body with which the state service, the cloud or a worker, the [from], answers a call. */
    var replaceAnswer: (from: String, body: String) -> String = { _, body -> body }

    /** Returns what a member receives in place of the body with which another member answers a forwarded request. */
    var replaceForwardedAnswer: (body: String) -> String = { it }

    /** Called with each effect of a member's step, just before it is carried out. */
    var onEffect: (member: String, effect: Effect) -> Unit = { _, _ -> }

    /** Called with the path of each request that one member forwards to another. */
    var onForwardedRequest: (path: String) -> Unit = {}

    /** A fault of a call. [DUPLICATED]: the call is delivered and answered, and delivered once more [lateSeconds] later. */
    enum class CallFault {
        NONE,
        RESPONSE_LOST,
        DELAYED,
        REFUSED,
        DUPLICATED,
        ;

        companion object {
            /** The faults after which the caller has no usable response. */
            val FAILURES: List<CallFault> = listOf(RESPONSE_LOST, DELAYED, REFUSED)
        }
    }

    init {
        invariants.onStart = { task, worker ->
            zoneOf[worker.id] = worker.zone
            history.started(task, worker.id, clock.now)
        }
        invariants.onEnd = { task, worker -> history.ended(task, worker.id, clock.now) }
        invariants.onStop = { task -> history.stopped(task, clock.now, invariants.spec(task.substringBefore('/'))?.gang == true) }
        members.forEachIndexed { i, name -> clock.after(0.1 * i) { start(name) } }
    }

    /** Zone of each machine on which a task has ever started. */
    val zoneOf = HashMap<String, String>()

    private val newVersionMembers: HashSet<String> = if (startsOnOldVersion) HashSet() else members.toHashSet()

    /** Members of the new version that are up. */
    fun upgradedMembers(): List<String> = members.filter { it in newVersionMembers && controllers[it] != null }

    /** Kills a member, which restarts on the new version. */
    fun upgrade(
        name: String,
        restartAfterSeconds: Double,
    ) {
        newVersionMembers += name
        if (controllers[name] != null) crash(name, restartAfterSeconds)
    }

    fun upgradeAt(
        name: String,
        at: Double,
    ) = clock.after(at) { upgrade(name, 2.0) }

    /** Called for each HTTP response that a member sends. */
    var onResponse: (status: Int, retryAfterSeconds: Int?) -> Unit = { _, _ -> }

    /** Returns the settings with which the member [name] starts. */
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
        restartAfterSeconds: Double,
    ) {
        if (controllers[name] == null) return
        controllers[name] = null
        // Effects in the queues of a process are lost with it.
        heldEffects.remove(name)
        pendingPauses.remove(name)
        openRequests.keys.filter { it.first == name }.forEach { openRequests.remove(it)?.invoke(0, "") }
        clock.after(restartAfterSeconds) { if (controllers[name] == null) start(name) }
    }

    fun counters(name: String): Map<String, Long> = controllers[name]?.counters.orEmpty()

    /** The jobs and allocations of [name]; null while it is down. */
    fun registry(name: String): JobRegistry? = controllers[name]?.registry

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

    fun partition(
        a: String,
        b: String,
        seconds: Double,
    ) {
        partitionedUntil[setOf(a, b)] = clock.now + seconds
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

    /** Disconnects [member] from all other members. */
    fun partitionFromPeers(
        member: String,
        seconds: Double,
    ) = members.filter { it != member }.forEach { partition(member, it, seconds) }

    /** Makes the state service respond 503 to [member], except on watches, while it serves the others. */
    fun refuseStateRequests(
        member: String,
        seconds: Double,
    ) {
        refusedUntil[member] = clock.now + seconds
    }

    private fun isRefused(member: String): Boolean = (refusedUntil[member] ?: 0.0) > clock.now

    /** Records the heartbeats that arrive within [seconds], and replays them to all members at the next change of leader. */
    fun replayHeartbeatsToNextLeader(seconds: Double) {
        val until = clock.now + seconds
        isRecordingHeartbeats = { clock.now < until }
    }

    private var isRecordingHeartbeats: () -> Boolean = { false }
    private val recordedHeartbeats = ArrayList<String>()
    private var lastLeader: String? = null

    /** Called on each change of leader, with the new leader. */
    var onLeaderChange: (String) -> Unit = {}

    /** Called with the job id of each confirmed cancellation. */
    var onCancellationConfirmed: (String) -> Unit = {}

    /** Returns the delay of a message between members, in seconds. */
    var peerDelaySeconds: () -> Double = { 0.001 }

    /** Times at which more than one member that was not frozen might have acted as leader. */
    val simultaneousLeaders = ArrayList<String>()

    private fun watchLeader() {
        val leaders = members.filter { controllers[it]?.isActiveLeader == true && it !in frozenUntil }
        if (leaders.size > 1) simultaneousLeaders += "$leaders at ${clock.now}"
        val now = leader() ?: return
        if (now != lastLeader) onLeaderChange(now)
        if (now != lastLeader && lastLeader != null) {
            recordedHeartbeats.forEach { body ->
                members.forEach { step(it, Input.Request(nextRequest++, "POST", "/agent/beat", "", body)) }
            }
            if (!isRecordingHeartbeats()) recordedHeartbeats.clear()
        }
        lastLeader = now
    }

    private fun isInboundBlocked(machine: String): Boolean = (inboundBlockedUntil[machine] ?: 0.0) > clock.now

    private fun afterPartition(
        a: String,
        b: String,
        action: () -> Unit,
    ) {
        clock.after((partitionedUntil[setOf(a, b)] ?: clock.now) - clock.now + random.nextDouble(), action)
    }

    private fun isPartitioned(
        a: String,
        b: String,
    ): Boolean = (partitionedUntil[setOf(a, b)] ?: 0.0) > clock.now

    /** Freezes a member for [seconds] while all clocks run on. A timer that expires several times meanwhile fires once afterwards. */
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

    /** Length in seconds of a pause that begins before the member sends its next call to workers or the cloud, by member. */
    private val pendingPauses = HashMap<String, Double>()

    /** Effects in the queues of a member that is paused between a decision and the sending of its call. */
    private val heldEffects = HashMap<String, ArrayList<Effect>>()

    /** Calls that change workers or the cloud and were still sent after such a pause. */
    val lateSends = ArrayList<String>()

    /** Number of pauses that began between a decision and the sending of its call. */
    var midStepPauses = 0
        private set

    /**
     * Pauses a member for [seconds] between its next decision to start a task or to rent or return machines and the sending of that call.
     * The call and the later effects of the same step wait in its queues, no input is processed, and it then continues where it stopped.
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
        // Sends the held effects before the inputs that arrived meanwhile are processed.
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

    /** Delivers [message] to a member as if it had come over a peer connection, whatever sender it names. */
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
                val message = withReplacedAnswer(effect.message)
                (message as? PeerMessage.ForwardedRequest)?.let { onForwardedRequest(it.path) }
                if (!isPartitioned(name, effect.member)) {
                    clock.after(peerDelaySeconds()) { step(effect.member, Input.MessageReceived(message)) }
                }
            }

            is Effect.HttpCall -> {
                call(name, effect)
            }
        }
    }

    private fun withReplacedAnswer(message: PeerMessage): PeerMessage =
        if (message is PeerMessage.ForwardedResponse) message.copy(body = replaceForwardedAnswer(message.body)) else message

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
        val randomFault =
            when {
                callFaultRate > 0 && effect.path.startsWith("/follow").not() && random.nextDouble() < callFaultRate -> {
                    listOf(CallFault.RESPONSE_LOST, CallFault.DELAYED, CallFault.REFUSED).random(random)
                }

                else -> {
                    onCall(name, effect)
                }
            }
        val fault = if (host == "nobody") CallFault.REFUSED else randomFault
        clock.after(effect.timeoutSeconds) { settle(CallOutcome.Unknown) }
        when {
            host == "state" && isRefused(name) && !effect.path.startsWith("/follow") -> {
                clock.after(0.003) { settle(CallOutcome.Responded(503, "{}")) }
            }

            isInboundBlocked(host) || (isPartitioned(name, host) && fault != CallFault.DELAYED) -> {
                // On a connection from before the partition the request is held back. Without one, no connection can be opened.
                if (partitionsHoldPackets && calls % 2 == 0) {
                    afterPartition(name, host) { deliver(host, effect) { _, _ -> } }
                } else {
                    clock.after(1.0) { settle(CallOutcome.NotSent) }
                }
            }

            fault == CallFault.REFUSED -> {
                clock.after(0.01) { settle(CallOutcome.NotSent) }
            }

            else -> {
                if (fault == CallFault.DUPLICATED) clock.after(duplicateDelaySeconds()) { deliver(host, effect) { _, _ -> } }
                clock.after(if (fault == CallFault.DELAYED) random.nextDouble() * lateSeconds else 0.003) {
                    deliver(host, effect) { status, body ->
                        if ((fault == CallFault.NONE || fault == CallFault.DUPLICATED) &&
                            !isPartitioned(name, host)
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
            "state" -> {
                state.handle(
                    effect.method,
                    effect.path,
                    effect.body.orEmpty(),
                ) { status, body -> reply(status, replaceAnswer(host, body)) }
            }

            "cloud" -> {
                cloud.handle(effect.path, effect.body.orEmpty()) { status, body -> reply(status, replaceAnswer(host, body)) }
            }

            else -> {
                cloud.worker(host)?.handle(effect.path, effect.body.orEmpty())?.let { reply(it.first, replaceAnswer(host, it.second)) }
            }
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
        val isolated = isPartitioned(from, name)
        if ((outboundBlockedUntil[from] ?: 0.0) > clock.now) return clock.after(0.5) { settle(0, "") }
        if (isolated || controllers[name] == null) {
            val late = Input.Request(nextRequest++, method, path, "", body)
            if (isolated && partitionsHoldPackets) afterPartition(from, name) { step(name, late) } else clock.after(0.5) { settle(0, "") }
            return
        }
        val id = nextRequest++
        openRequests[name to id] =
            { status, text -> clock.after(0.001) { if (!isPartitioned(from, name) && !isInboundBlocked(from)) settle(status, text) } }
        step(name, Input.Request(id, method, path, "", body))
        if (path == "/agent/beat") {
            if (isRecordingHeartbeats()) recordedHeartbeats += body
            duplicateHeartbeatAfter(from)?.let {
                clock.after(it) { step(members.random(random), Input.Request(nextRequest++, method, path, "", body)) }
            }
        }
    }

    // --- users, see SimulatedUsers.kt

    /** Returns a random member that is up, or any member if none is up. */
    fun anyMember(): String = members.filter { controllers[it] != null }.ifEmpty { members }.random(random)

    /** Whether users who learn of an acceptance or an end query all members within milliseconds and repeat the submission there. */
    var queryAllMembersOnChange = false

    /** Returns the job state in a response body; null if it has none. */
    fun jobStateOf(body: String): String? =
        Json
            .parseOrNull(body)
            ?.path("standing")
            ?.takeIf { it.isTextual }
            ?.asText()

    /** Responses to users and task runs, checked independently of [invariants]. */
    val history = ExecutionHistory()

    private fun recordResponse(
        member: String,
        path: String,
        body: String,
        askedAt: Double,
        status: Int,
        response: String,
    ) {
        val job = if (path == "/api/jobs") Json.parseOrNull(body)?.path("id")?.asText() else path.split('/').getOrNull(3)
        history.userResponses += ExecutionHistory.UserResponse(job.orEmpty(), member, status, jobStateOf(response), askedAt, clock.now)
    }

    fun run(until: Double) {
        while (clock.now < until) {
            clock.runUntil(minOf(until, clock.now + 1.0))
            invariants.checkCancelledTasks()
            members.mapNotNull { registry(it) }.forEach { invariants.checkAllocations(AllocationAudit(it)) }
        }
    }
}
