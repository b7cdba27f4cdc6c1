package burlridge.worker

import burlridge.allocation.Job
import burlridge.allocation.JobRegistry
import burlridge.core.HttpResponse
import burlridge.core.StepContext
import burlridge.leadership.Leadership
import burlridge.peer.PeerRequests

/**
 * Manages the workers on behalf of the leader: assembles the registry of machines, the processing of heartbeats and the sending of
 * commands, and runs the periodic sweep over all machines.
 */
internal class WorkerManager(
    private val context: StepContext,
    leadership: Leadership,
    private val registry: JobRegistry,
    peers: PeerRequests,
    requestPlacement: () -> Unit,
) {
    private val machineRegistry = MachineRegistry(context, leadership, registry.allocations)
    private val reachability = ZoneReachability(context)
    val outcomes: TaskOutcomes = TaskOutcomes(context, registry)
    private val losses = AllocationLosses(context, registry, requestPlacement)
    private val leases = LeaseMonitor(context, leadership, machineRegistry, losses)
    private val cleanup = TaskCleanup(registry) { machineRegistry.nextToken() }
    private val reconciler = TaskReconciler(context, registry, machineRegistry, outcomes, losses)
    private val heartbeats =
        HeartbeatProcessor(
            context,
            leadership,
            machineRegistry,
            HeartbeatHandlers(reconciler, cleanup, leases, losses, reachability),
            requestPlacement,
        )
    private val commands =
        CommandDispatcher(
            context,
            leadership,
            registry,
            machineRegistry,
            CommandTransport(context, leadership, peers, reachability),
            CommandHandlers(heartbeats, losses, requestPlacement),
        )
    private val probes = ReachabilityProbe(context, leadership, registry, reachability, commands)
    private val inspector = WorkerInspector(context, leadership, machineRegistry, heartbeats, commands)

    /** Tells users of the leader whether tasks of a job run. */
    val jobObserver: JobObserver = JobObserver(context, machineRegistry, inspector)

    init {
        heartbeats.onWorkerInDoubt = { inspector.inspect(it) {} }
    }

    private val gangStopper = GangStopper(context, machineRegistry, leases, reachability, losses, commands)
    private val eviction = TaskEviction(context, registry, leases, gangStopper)
    private var nextSweepAt = 0.0

    /** Called for each machine that is found slow and taken out of service. */
    var onStragglerEvicted: (Machine) -> Unit by eviction::onStragglerEvicted

    /** Called for each machine that sent a new heartbeat, after its allocations have been reconciled. */
    var onHeartbeatReconciled: (Machine) -> Unit by heartbeats::onReconciled

    /** Whether the stored allocations have been read in this term, so that heartbeats can be reconciled with them. */
    var isLoaded: Boolean by machineRegistry::areAllocationsLoaded

    /** Machines known to this leader, by id. */
    val machines: Map<String, Machine> get() = machineRegistry.byId

    /** Clears all state when a term begins or ends. */
    fun clear() {
        machineRegistry.clear()
        heartbeats.clear()
        inspector.clear()
        reachability.clear()
    }

    /** Returns the machine [id], and registers it if it is not known yet. */
    fun getOrRegisterMachine(id: String): Machine = machineRegistry.getOrRegister(id)

    /** Whether the machine [id] has been removed permanently. */
    fun isRemoved(id: String): Boolean = machineRegistry.isRemoved(id)

    /** Whether the task [taskName] runs on any machine without an allocation. */
    fun hasOrphan(taskName: String): Boolean = machineRegistry.hasOrphan(taskName)

    /** Whether any task of [job] runs on any machine without an allocation. */
    fun hasOrphans(job: String): Boolean = machineRegistry.hasOrphans(job)

    /** Counts the machines that may run tasks, and how many of them are up and have seen a token of this term. */
    fun responseCount(): WorkerResponseCount = machineRegistry.responseCount()

    /** Whether commands to [machine] can be expected to arrive. */
    fun isReachable(machine: Machine): Boolean = reachability.isReachable(machine)

    /**
     * Whether direct heartbeats arrive from [zone]. If they do, a machine there that cannot be reached is itself dead or partitioned,
     * rather than the whole zone.
     */
    fun receivesHeartbeatsFrom(zone: String): Boolean = reachability.receivesHeartbeatsFrom(zone)

    /** Returns the zones with machines that have sent a heartbeat to this leader, but without a recent direct heartbeat. */
    fun zonesWithoutHeartbeats(): List<String> = reachability.zonesWithoutHeartbeats(machines.values)

    /** Whether [machine] has sent neither a heartbeat nor a response for longer than a lost message explains. */
    fun isSilent(machine: Machine): Boolean = leases.isSilent(machine)

    /** Whether [machine] has sent no heartbeat on its own for half a lease, although it may answer commands. */
    fun isNotReporting(machine: Machine): Boolean = leases.isNotReporting(machine)

    /** Whether tasks may be placed on [machine], now or once it is up. */
    fun mayTakeTasks(machine: Machine): Boolean {
        if (machine.isDraining || machine.reclaimAt != null) return false
        return !machine.isUp || (!machine.isLeaseExpired && machine.isResponsive && !isSilent(machine))
    }

    /** Answers the heartbeat [body], which came directly from its worker, or through the member [relayedBy] if that is not null. */
    fun onHeartbeat(
        body: String,
        relayedBy: String?,
    ): HttpResponse = heartbeats.onRequest(body, relayedBy)

    /** Sends stop commands for the cancelled [job] to its workers immediately, before its end is stored durably. */
    fun sendStops(job: Job) {
        val unfenced =
            job.unfencedRemovals.object2LongEntrySet().mapNotNull { (id, token) ->
                machines[id]?.takeIf { it.seenToken <= token }
            }
        unfenced.forEach { machineRegistry.raiseToken(it) }
        job.allocations.values
            .mapNotNull { machines[it.machine] }
            .distinct()
            .forEach { sendPendingCommands(it) }
        unfenced.forEach { commands.sendToken(it) }
    }

    /** Sends the pending commands to [machine] immediately, without waiting for the next sweep. */
    fun sendPendingCommands(machine: Machine) = commands.sendPending(machine)

    /** Takes out of service a [machine] that this or an earlier leader has found slow. */
    fun evictStraggler(machine: Machine) = eviction.evictStraggler(machine)

    /** Stops all tasks of the gang of [job] together because of [machineId], if possible; see [GangStopper.stop]. */
    fun stopGang(
        job: Job,
        reason: StopReason,
        machineId: String,
        mustSave: Boolean,
    ) = gangStopper.stop(job, reason, machineId, mustSave)

    /** Marks the allocations of [machine] for which no start was ever sent as lost. */
    fun releaseUndispatched(
        machine: Machine,
        reason: LossReason,
    ) = losses.releaseUndispatched(machine, reason)

    /** Removes [machine] and its allocations after the cloud has confirmed that the machine no longer exists. */
    fun removeMachine(
        machine: Machine,
        reason: LossReason,
    ) {
        context.infoLimited("machine gone", "machine" to machine.id, "reason" to reason.text)
        machineRegistry.remove(machine)
        losses.markAllLost(machine, reason)
        registry.allocations.removeMachine(machine.id)
    }

    /** Sweeps over all machines [SWEEPS_PER_HEARTBEAT_INTERVAL] times per heartbeat interval. */
    fun tick() {
        if (context.now < nextSweepAt) return
        nextSweepAt = context.now + context.settings.workers.reportSeconds / SWEEPS_PER_HEARTBEAT_INTERVAL
        probes.probeZonesWithUnansweredCommands(machines.values)
        if (isLoaded) eviction.evictStragglers(machines.values)
        machines.values.toList().forEach { sweep(it) }
    }

    private fun sweep(machine: Machine) {
        if (leases.isNewlyExpired(machine)) leases.expire(machine)
        if (isLoaded && (isSilent(machine) || isNotReporting(machine))) {
            losses.releaseUndispatched(machine, LossReason.MACHINE_SILENT)
        }
        if (isLoaded && !machine.isResponsive) losses.releaseUndispatched(machine, LossReason.MACHINE_UNRESPONSIVE)
        if (machine.reclaimAt != null) eviction.evictReclaimed(machine)
        sendPendingCommands(machine)
        if (isLoaded && !machine.isLeaseExpired) probes.queryIfOverdue(machine)
    }

    private companion object {
        const val SWEEPS_PER_HEARTBEAT_INTERVAL = 10
    }
}
