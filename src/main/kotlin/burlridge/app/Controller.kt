package burlridge.app

import burlridge.admin.AdminRequests
import burlridge.admin.BuildRequests
import burlridge.allocation.JobRegistry
import burlridge.api.JobApi
import burlridge.balance.Balance
import burlridge.balance.BalanceDependencies
import burlridge.balance.MachineRequests
import burlridge.core.Effect
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
import burlridge.message.BuildIdentity
import burlridge.message.FailoverStatus
import burlridge.peer.PeerRequests
import burlridge.placement.Placement
import burlridge.settings.Settings
import burlridge.store.StoreClient
import burlridge.worker.HeartbeatRelay
import burlridge.worker.WorkerManager

/**
 * The state machine of one controller: takes inputs and the time, and returns effects. This class creates the parts, connects them, and
 * determines the order in which they run; all their work happens within [step].
 */
internal class Controller(
    settings: Settings,
    seed: Long,
    build: BuildIdentity? = null,
) : LeadershipListener {
    private val context = StepContext(settings, seed, build)
    private val placementTimer = PlacementTimer(context)
    private val store = StoreClient(context)
    private val leadership = Leadership(context, store, this)

    /** The jobs and allocations of this member while it leads; empty otherwise. */
    val registry: JobRegistry = JobRegistry(context, store, leadership)
    private val peers = PeerRequests(context)
    private val workers = WorkerManager(context, leadership, registry, peers, placementTimer::request)
    private val fleet = Fleet(context, store, leadership, registry, workers)
    private val placement = Placement(context, registry, workers, fleet)
    private val gangGate = GangFeatureGate(context, store)
    private val jobApi =
        JobApi(
            context,
            store,
            leadership,
            registry,
            fleet,
            peers,
            workers.jobObserver,
            gangGate,
            placementTimer::request,
            workers::sendStops,
        )
    private val relay = HeartbeatRelay(context, peers)
    private val failover =
        settings.operator.failover?.let {
            val prefixes = LeaderStateLoader.prefixes(settings.operator.balance != null)
            Failover(context, it, store, leadership, prefixes, LeaderActivity(context, registry, workers))
        }
    private val balance =
        settings.operator.balance?.let {
            val dependencies = BalanceDependencies(store, leadership, registry, workers, fleet, placement)
            Balance(context, it, dependencies, placementTimer::request)
        }
    private val admin =
        AdminRequests(
            failover?.let { MemberRequests(context, it, peers) },
            balance?.let { MachineRequests(context, leadership, it, peers) { jobApi.isLoaded } },
            BuildRequests(context, peers),
        )
    private val router = RequestRouter(settings.member, leadership, workers, relay, jobApi, admin, fleet, failover)
    private val peerMessages =
        PeerMessageHandler(
            context,
            store,
            leadership,
            peers,
            registry,
            jobApi,
            relay,
            router,
            failover,
            placementTimer::request,
        )
    private val loader = LeaderStateLoader(context, store, leadership, registry, fleet, failover, balance, placementTimer::request)
    private val lifecycle =
        LeaderLifecycle(
            context,
            leadership,
            registry,
            workers,
            fleet,
            balance,
            failover,
            jobApi,
            loader,
            placementTimer::request,
        )
    private var nextStatusAt = 0.0

    /** Counters of what this controller has done, by name. */
    val counters: Map<String, Long> get() = context.counters

    /** Whether this member leads, no other member can have been elected, and the rows have been loaded. */
    val isActiveLeader: Boolean get() = leadership.holdsLease && jobApi.isLoaded

    /** Whether this member is draining; also false if a drain was refused because no other member could take over. */
    val isDraining: Boolean get() = failover?.isDraining ?: false

    /** Whether this member can be stopped without interrupting the service; always true without failover. */
    val isDrained: Boolean get() = failover?.isDrained ?: true

    /** Whether no new work may be started because a handover is about to take place. */
    private val isQuiescing: Boolean get() = failover?.isQuiescing ?: false

    /** Processes [input] at the monotonic time [now], in seconds, and the wall-clock time [wallMillis]; returns the effects in order. */
    fun step(
        input: Input,
        now: Double,
        wallMillis: Long,
    ): List<Effect> {
        context.beginStep(now, wallMillis)
        when (input) {
            Input.Tick -> tick()
            Input.DrainRequested -> drain()
            is Input.Request -> router.handle(input.method, input.path, input.body, null) { context.respond(input.id, it) }
            is Input.CallCompleted -> context.complete(input)
            is Input.MessageReceived -> peerMessages.handle(input.message)
        }
        context.runDue()
        if (placementTimer.consumeDueRequest()) place()
        store.sendQueued()
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
        broadcastStatusIfDue()
        if (leadership.isLeader && jobApi.isLoaded) tickAsLeader()
    }

    private fun broadcastStatusIfDue() {
        if (context.now < nextStatusAt) return
        nextStatusAt = context.now + Leadership.STATUS_INTERVAL_SECONDS
        leadership.broadcastStatus(if (leadership.isLeader) workers.zonesWithoutHeartbeats() else emptyList())
    }

    private fun tickAsLeader() {
        workers.tick()
        registry.tick()
        if (leadership.holdsLease && !isQuiescing) {
            balance?.tick()
            fleet.tick()
        }
        placementTimer.requestIfIdle()
    }

    private fun place() {
        if (!leadership.holdsLease || !jobApi.isLoaded || isQuiescing) return
        placementTimer.onRoundStarted()
        balance?.applyCordons()
        placement.schedule()
    }

    override fun onElected(cause: ElectionCause) = lifecycle.onElected(cause)

    override fun onDeposed(
        term: Long,
        reason: StepDownReason,
    ) = lifecycle.onDeposed(term, reason)

    override fun onLeaderObserved(
        leader: String,
        term: Long,
    ) {
        failover?.onLeaderObserved(leader, term)
    }

    override fun onTermHandedOver(term: Long): Boolean = failover?.onTermHandedOver(term) ?: false

    override fun defersElection(): Boolean = failover?.defersElection() ?: false

    override fun failoverStatus(): FailoverStatus? = failover?.nextStatus()
}
