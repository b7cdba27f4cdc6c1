package burlridge.app

import burlridge.admin.AdminRequests
import burlridge.allocation.ActiveJobRow
import burlridge.allocation.AllocationPhase
import burlridge.allocation.JobRegistry
import burlridge.api.JobApi
import burlridge.balance.Balance
import burlridge.balance.BalanceDependencies
import burlridge.balance.MachineRequests
import burlridge.core.Effect
import burlridge.core.HttpResponse
import burlridge.core.Input
import burlridge.core.StepContext
import burlridge.failover.DrainResult
import burlridge.failover.Failover
import burlridge.failover.MemberRequests
import burlridge.fleet.Fleet
import burlridge.leadership.ElectionCause
import burlridge.leadership.GangFeatureGate
import burlridge.leadership.Leadership
import burlridge.leadership.LeadershipListener
import burlridge.leadership.StepDownReason
import burlridge.message.FailoverStatus
import burlridge.message.PeerMessage
import burlridge.peer.PeerRequests
import burlridge.placement.Placement
import burlridge.settings.Settings
import burlridge.store.ReadResult
import burlridge.store.RequestPriority
import burlridge.store.StoreClient
import burlridge.worker.CommandDispatcher
import burlridge.worker.HeartbeatRelay
import burlridge.worker.WorkerManager
import burlridge.worker.WorkerResponseCount

/** The state machine of one controller: an input and the time go in, what to send, write and answer comes out. */
internal class Controller(
    private val settings: Settings,
    seed: Long,
) : LeadershipListener,
    Failover.ControllerState {
    private val context = StepContext(settings, seed)
    private val store = StoreClient(context)
    private val leadership = Leadership(context, store, this)
    private val registry = JobRegistry(context, store, leadership)
    private val peers = PeerRequests(context)
    private val workers = WorkerManager(context, leadership, registry, peers) { placeSoon() }
    private val fleet = Fleet(context, store, leadership, registry, workers)
    private val placement = Placement(context, registry, workers, fleet)
    private val gangGate = GangFeatureGate(context, store)
    private val jobApi = JobApi(context, store, leadership, registry, fleet, peers, gangGate, { placeSoon() }, workers::stop)
    val work: Map<String, Long> get() = context.counters
    val isActiveLeader: Boolean get() = leadership.holdsLease && jobApi.loaded
    private val relay = HeartbeatRelay(context, peers)
    private val failover =
        settings.operator.failover?.let {
            Failover(context, it, store, leadership, LeaderStateLoader.prefixes(settings.operator.balance != null), this)
        }
    private val balance =
        settings.operator.balance?.let {
            Balance(context, it, BalanceDependencies(store, leadership, registry, workers, fleet, placement)) { placeSoon() }
        }
    private val admin =
        AdminRequests(
            failover?.let { MemberRequests(context, it, peers) },
            balance?.let { MachineRequests(context, leadership, it, peers) { jobApi.loaded } },
        )
    private val rows = LeaderStateLoader(context, store, leadership, registry, fleet, failover, balance) { placeSoon() }

    /** Whether this member was asked to leave, and nothing is left for it to do. */
    val drained: Boolean get() = failover?.isDrained ?: true

    /** Whether it is leaving, and not refused to for want of another member. */
    val canDrain: Boolean get() = failover?.isDraining ?: false
    private var announceAt = 0.0
    private var placing = false
    private var placedAt = -1e9

    /** Between two placement rounds: what comes up meanwhile shares a row, and the core has time for everything else. */
    private val roundSeconds = settings.workers.reportSeconds / ROUNDS_PER_REPORT

    fun step(
        input: Input,
        now: Double,
        wallMillis: Long,
    ): List<Effect> {
        context.beginStep(now, wallMillis)
        when (input) {
            Input.Tick -> tick()
            Input.DrainRequested -> drain()
            is Input.Request -> request(input.method, input.path, input.body) { context.respond(input.id, it) }
            is Input.CallCompleted -> context.complete(input)
            is Input.MessageReceived -> fromPeer(input.message)
        }
        context.runDue()
        if (placing && context.now >= placedAt + roundSeconds) place()
        store.pump()
        return context.finishStep()
    }

    private fun drain() {
        val result = failover?.drain()
        if (result is DrainResult.Refused) context.info("drain refused", "reason" to result.refusal.text)
    }

    private fun tick() {
        leadership.tick()
        fleet.tickCatalog()
        gangGate.tick()
        failover?.tick()
        if (context.now >= announceAt) {
            announceAt = context.now + Leadership.STATUS_INTERVAL_SECONDS
            leadership.broadcastStatus(if (leadership.isLeader) workers.zonesWithoutHeartbeats() else emptyList())
        }
        if (leadership.isLeader && jobApi.loaded) {
            workers.tick()
            registry.tick()
            if (leadership.holdsLease && !isQuiescing) {
                balance?.tick()
                fleet.tick()
            }
            if (context.now > placedAt + PLACE_SECONDS) placeSoon()
        }
    }

    /** Nothing is begun while a successor waits to take over. */
    private val isQuiescing: Boolean get() = failover?.isQuiescing ?: false

    private fun placeSoon() {
        placing = true
    }

    private fun place() {
        placing = false
        if (!leadership.holdsLease || !jobApi.loaded || isQuiescing) return
        placedAt = context.now
        balance?.applyCordons()
        placement.schedule()
    }

    // --- requests

    private fun request(
        method: String,
        path: String,
        body: String,
        from: String? = null,
        onResult: (HttpResponse) -> Unit,
    ) {
        val passedOn = from != null
        val parts = path.trim('/').split('/')
        when {
            path == "/ready" -> {
                only(
                    method,
                    "GET",
                    onResult,
                ) { onResult(if (ready) HttpResponse(200, "{}") else HttpResponse.unavailable("starting")) }
            }

            path.startsWith(AdminRequests.PREFIX) -> {
                admin.handle(method, path, body, passedOn, onResult)
            }

            path == "/agent/beat" -> {
                only(method, "POST", onResult) { heartbeat(body, from, onResult) }
            }

            path == "/api/jobs" -> {
                only(method, "POST", onResult) { jobApi.submit(body, passedOn, onResult) }
            }

            parts.size == 3 && path.startsWith("/api/jobs/") -> {
                only(method, "GET", onResult) { jobApi.query(parts[2], passedOn, onResult) }
            }

            parts.size == 4 &&
                path.startsWith(
                    "/api/jobs/",
                ) && parts[3] == "abort" -> {
                only(method, "POST", onResult) { jobApi.abort(parts[2], passedOn, onResult) }
            }

            else -> {
                onResult(HttpResponse.error(404, "no such path"))
            }
        }
    }

    private fun only(
        method: String,
        allowed: String,
        onResult: (HttpResponse) -> Unit,
        work: () -> Unit,
    ) {
        if (method == allowed) work() else onResult(HttpResponse.error(405, "use $allowed"))
    }

    private val ready: Boolean get() = fleet.catalog != null && failover?.isDraining != true

    private fun heartbeat(
        body: String,
        from: String?,
        onResult: (HttpResponse) -> Unit,
    ) {
        when {
            // Before it has read the rows a leader does not know what was cancelled: an answer without a halt would keep it alive.
            leadership.mayAnswerWorkers && workers.loaded -> onResult(workers.heartbeat(body, from))

            leadership.isLeader || from != null -> onResult(HttpResponse.unavailable("leadership in doubt"))

            else -> relay.heartbeat(body, leadership.knownLeader?.takeIf { it != settings.member }, onResult)
        }
    }

    // --- peers

    private fun fromPeer(message: PeerMessage) {
        peers.onMessage(message)
        when (message) {
            is PeerMessage.Status -> {
                leadership.onPeerStatus(message)
                failover?.onStatus(message)
            }

            is PeerMessage.Handover -> {
                if (failover == null) context.count("failover.messages_refused") else failover.onHandover(message)
            }

            is PeerMessage.ForwardedResponse -> {
                peers.onResponse(message)
            }

            is PeerMessage.JobAccepted -> {
                jobApi.heardAccepted(message.job)
                if (leadership.isLeader && jobApi.loaded && !registry.jobs.containsKey(message.job)) admit(message.job)
            }

            is PeerMessage.ForwardedRequest -> {
                if (message.path.startsWith(HeartbeatRelay.COMMAND)) {
                    relay.command(message.path.removePrefix(HeartbeatRelay.COMMAND), message.body) { reply(message, it) }
                } else {
                    request(message.method, message.path, message.body, message.from) { reply(message, it) }
                }
            }
        }
    }

    /** The news may be old and the job long over, so its row is read before it counts. */
    private fun admit(job: String) {
        val term = leadership.term
        store.get(ActiveJobRow.key(job), RequestPriority.USER) { live ->
            if (leadership.isLeader && leadership.term == term && jobApi.loaded && live is ReadResult.Found) {
                registry.admit(live.value)
                placeSoon()
            }
        }
    }

    private fun reply(
        to: PeerMessage.ForwardedRequest,
        answer: HttpResponse,
    ) {
        context.send(
            to.from,
            PeerMessage.ForwardedResponse(
                settings.member,
                to.requestId,
                answer.status,
                answer.body,
                answer.retryAfterSeconds ?: 0,
            ),
        )
    }

    // --- leadership

    override fun onDeposed(
        term: Long,
        reason: StepDownReason,
    ) {
        forget()
        failover?.onDeposed(term, reason)
    }

    private fun forget() {
        jobApi.loaded = false
        registry.clear()
        workers.clear()
        fleet.clear()
        balance?.clear()
    }

    /** A new leader reads every row before it acts. */
    override fun onElected(cause: ElectionCause) {
        forget()
        failover?.onElected(cause.text)
        rows.load(leadership.term) { loaded(leadership.term) }
    }

    override fun onLeaderObserved(
        leader: String,
        term: Long,
    ) {
        failover?.onLeaderLearned(leader, term)
    }

    override fun onTermHandedOver(term: Long): Boolean = failover?.onTermHandedOver(term) ?: false

    override fun defersElection(): Boolean = failover?.defersElection() ?: false

    override fun failoverStatus(): FailoverStatus? = failover?.nextStatus()

    private fun loaded(term: Long) {
        workers.loaded = true
        jobApi.loaded = true
        // A machine known only from claims must be waited for like any other.
        registry.allocations.byMachine.keys
            .toList()
            .forEach { workers.machine(it) }
        context.info(
            "leader state loaded",
            "term" to term,
            "jobs" to registry.jobs.size,
            "machinesWithAllocations" to registry.allocations.byMachine.size,
        )
        placeSoon()
    }

    // --- failover

    override fun isQuiesced(): Boolean {
        val unsent =
            registry.allocations.byMachine.values
                .any { allocations -> allocations.values.any { it.phase == AllocationPhase.COMMITTED } }
        return registry.allocations.pendingBatches == 0 && !unsent
    }

    override val startsSent: Long get() = context.counters.getLong(CommandDispatcher.STARTS)

    override fun workerResponseCount(): WorkerResponseCount = if (workers.loaded) workers.answered() else WorkerResponseCount(0, 0)

    private companion object {
        const val PLACE_SECONDS = 1.0
        const val ROUNDS_PER_REPORT = 25
    }
}
