package burlridge.worker

import burlridge.allocation.Job
import burlridge.allocation.JobRegistry
import burlridge.core.HttpResponse
import burlridge.core.StepContext
import burlridge.leadership.Leadership
import burlridge.peer.PeerRequests

/**
 * The leader's side of the workers: assembles the registry of machines, the processing of heartbeats and the sending of commands, and runs
 * the periodic sweep over all machines.
 */
internal class WorkerManager(
    private val context: StepContext,
    leadership: Leadership,
    private val registry: JobRegistry,
    peers: PeerRequests,
    onChange: () -> Unit,
) {
    private val machineRegistry = MachineRegistry(context, leadership)
    private val reachability = ZoneReachability(context)
    val outcomes: TaskOutcomes = TaskOutcomes(context, registry)
    private val losses = AllocationLosses(context, registry, onChange)
    private val leases = LeaseMonitor(context, leadership, machineRegistry, losses)
    private val cleanup = TaskCleanup(registry) { machineRegistry.nextToken() }
    private val reconciler = TaskReconciler(context, registry, machineRegistry, outcomes, losses)
    private val heartbeats =
        HeartbeatProcessor(
            context,
            leadership,
            machineRegistry,
            HeartbeatHandlers(reconciler, cleanup, leases, losses, reachability),
            onChange,
        )
    private val commands =
        CommandDispatcher(
            context,
            leadership,
            registry,
            machineRegistry,
            CommandTransport(context, leadership, peers, reachability),
            CommandHandlers(heartbeats, losses, onChange),
        )
    private val probes = ReachabilityProbe(context, leadership, registry, reachability, commands)
    private val gangStopper = GangStopper(context, machineRegistry, leases, reachability, losses, commands)
    private val eviction = TaskEviction(context, registry, leases, gangStopper)
    private var sweepAt = 0.0

    /** Called for each machine that is taken out of service because its tasks are slow. */
    var onStragglerEvicted: (Machine) -> Unit by eviction::onStragglerEvicted

    /** Called for each machine whose heartbeat was new, once its allocations are reconciled. */
    var onHeartbeatReconciled: (Machine) -> Unit by heartbeats::onReconciled

    /** Whether the stored allocations of this term have been read, so that heartbeats can be reconciled with them. */
    var isLoaded: Boolean by machineRegistry::areAllocationsLoaded

    /** The machines that this leader knows, by id. */
    val machines: Map<String, Machine> get() = machineRegistry.byId

    /** Forgets everything, when leadership ends. */
    fun clear() {
        machineRegistry.clear()
        reachability.clear()
    }

    /** The machine [id], which is registered if it is not known yet. */
    fun machine(id: String): Machine = machineRegistry.getOrRegister(id)

    /** Whether the machine [id] is gone for good. */
    fun isReturned(id: String): Boolean = machineRegistry.isRemoved(id)

    /** Whether the task runs on some machine without an allocation. */
    fun hasOrphan(taskName: String): Boolean = machineRegistry.hasOrphan(taskName)

    /** Whether any task of [job] runs on some machine without an allocation. */
    fun hasOrphans(job: String): Boolean = machineRegistry.hasOrphans(job)

    fun responseCount(): WorkerResponseCount = machineRegistry.responseCount()

    /** Whether commands to [machine] can be expected to arrive. */
    fun isReachable(machine: Machine): Boolean = reachability.isReachable(machine)

    /** Whether heartbeats come straight from [zone], so that a machine there that cannot be reached is cut off or dead by itself. */
    fun receivesHeartbeatsFrom(zone: String): Boolean = reachability.receivesHeartbeatsFrom(zone)

    /** Zones whose machines have reported to this leader, none of them lately and straight. */
    fun zonesWithoutHeartbeats(): List<String> = reachability.zonesWithoutHeartbeats(machines.values)

    fun isSilent(machine: Machine): Boolean = leases.isSilent(machine)

    fun isNotReporting(machine: Machine): Boolean = leases.isNotReporting(machine)

    /** Whether [machine] takes tasks, or will once it is up. */
    fun mayTakeTasks(machine: Machine): Boolean {
        if (machine.isDraining || machine.reclaimAt != null) return false
        return !machine.isUp || (!machine.isLeaseExpired && machine.isResponsive && !isSilent(machine))
    }

    /** Answers the heartbeat [body], which came straight from its worker or through the member [relayedBy]. */
    fun heartbeat(
        body: String,
        relayedBy: String?,
    ): HttpResponse = heartbeats.onRequest(body, relayedBy)

    /** Tells the workers of the cancelled [job] to stop its tasks at once, before its end is durable. */
    fun stop(job: Job) =
        job.allocations.values
            .mapNotNull { machines[it.machine] }
            .distinct()
            .forEach { sendPendingCommands(it) }

    /** Sends the commands that are due to [machine] now, without waiting for the next sweep. */
    fun sendPendingCommands(machine: Machine) = commands.sendPending(machine)

    /** Takes a [machine] out of service that was found slow, here or by an earlier leader. */
    fun evictStraggler(machine: Machine) = eviction.evictStraggler(machine)

    /** Stops all tasks of the gang of [job] together because of [machineId], where that can be done now. */
    fun stopGang(
        job: Job,
        reason: StopReason,
        machineId: String,
        mustSave: Boolean,
    ) = gangStopper.stop(job, reason, machineId, mustSave)

    /** Loses the allocations of [machine] for which no start was ever sent. */
    fun releaseUndispatched(
        machine: Machine,
        reason: LossReason,
    ) = losses.releaseUndispatched(machine, reason)

    /** The cloud has confirmed that [machine] is gone, with everything on it. */
    fun onMachineGone(
        machine: Machine,
        reason: LossReason,
    ) {
        context.infoLimited("machine gone", "machine" to machine.id, "reason" to reason.text)
        machineRegistry.remove(machine)
        losses.loseAll(machine, reason)
        registry.allocations.removeMachine(machine.id)
    }

    /** Sweeps over all machines, several times in a report interval. */
    fun tick() {
        if (context.now < sweepAt) return
        sweepAt = context.now + context.settings.workers.reportSeconds / SWEEPS_PER_REPORT
        probes.probeCutOffZones(machines.values)
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
        const val SWEEPS_PER_REPORT = 10
    }
}
