package burlridge.worker

import burlridge.allocation.Allocation
import burlridge.allocation.AllocationPhase
import burlridge.allocation.Job
import burlridge.allocation.JobRegistry
import burlridge.core.HttpResponse
import burlridge.core.StepContext
import burlridge.leadership.Leadership
import burlridge.leadership.StepDownReason
import burlridge.peer.PeerRequests
import it.unimi.dsi.fastutil.objects.Object2IntOpenHashMap

/** Of the machines that may run something, how many are up and have heard of the leader's term. */
internal data class WorkerResponseCount(
    val answered: Int,
    val known: Int,
)

/** Reports in, commands out; says when a claimed task is known to be gone from its machine. */
internal class WorkerManager(
    private val context: StepContext,
    private val leadership: Leadership,
    private val registry: JobRegistry,
    private val peers: PeerRequests,
    private val onChange: () -> Unit,
) : CommandDispatcher.CommandListener {
    /** Told of each machine that is left for being slow. */
    var onSlow: (Machine) -> Unit = {}

    /** Told of each report that was taken over. */
    var onHeard: (Machine) -> Unit = {}

    private val times = context.settings.workers
    val machines: LinkedHashMap<String, Machine> = LinkedHashMap()
    private var tokens = 0L
    var loaded: Boolean = false
    private val reachability = ZoneReachability(context)
    val outcomes: TaskOutcomes = TaskOutcomes(context, registry)
    private val reconciler = TaskReconciler(registry) { nextToken() }
    private val commands = CommandDispatcher(context, leadership, registry, peers, reachability, reconciler, this)
    private val draining = TaskEviction(context, registry, this)

    fun reaches(machine: Machine): Boolean = machine.relayedBy != null || !reachability.isAbandoned(machine.zone)

    fun hearsZone(zone: String): Boolean = reachability.hearsZone(zone)

    fun zonesWithoutHeartbeats(): List<String> = reachability.zonesWithoutHeartbeats(machines.values)

    /** How many machines run each task without a claim of ours; until it is halted such a task blocks any other start of it. */
    private val orphanCount = Object2IntOpenHashMap<String>()
    private var sweepAt = 0.0

    /** Returned machines: their workers are gone, and a late report must not bring them back. */
    private val returned = HashSet<String>()

    fun clear() {
        machines.clear()
        returned.clear()
        orphanCount.clear()
        reachability.clear()
        loaded = false
        tokens = 0
    }

    fun isReturned(id: String): Boolean = id in returned

    fun orphans(taskName: String): Boolean = orphanCount.getInt(taskName) > 0

    /** Whether any task of [job] runs somewhere without a claim of ours. */
    fun hasOrphans(job: String): Boolean = orphanCount.keys.any { it.substringBefore('/') == job }

    private fun setOrphans(
        machine: Machine,
        orphans: Set<String>,
    ) {
        if (machine.orphans.isEmpty() && orphans.isEmpty()) return
        machine.orphans.forEach { if (orphanCount.addTo(it, -1) <= 1) orphanCount.removeInt(it) }
        orphans.forEach { orphanCount.addTo(it, 1) }
        machine.orphans = orphans
    }

    override fun nextToken(): Long = (leadership.term shl TERM_SHIFT) + ++tokens

    fun machine(id: String): Machine =
        machines.getOrPut(id) {
            Machine(id, context.now).also {
                it.token = leadership.term shl TERM_SHIFT
                it.unsettledToken = it.token - 1
                // A report alone may be a late copy, of a machine long gone: it must have heard of our term.
                it.requiredToken = it.token
                it.answeredAt = context.now
                it.idleSince = context.now
            }
        }

    fun answered(): WorkerResponseCount {
        val known = machines.values.filter { !it.starting && !it.dead && !it.leaseExpired }
        return WorkerResponseCount(known.count { it.up && it.isResponsive }, known.size)
    }

    // --- reports

    /** A report, come straight from its worker or passed on by [relayedBy]. */
    fun heartbeat(
        body: String,
        relayedBy: String?,
    ): HttpResponse {
        context.count("worker.reports")
        val known = LastHeartbeat.nameIn(body)?.let { machines[it] }
        val again = known?.lastHeartbeat?.numberOf(body)
        if (known != null && again != null) return answer(known, relayedBy, takeAgain(known, again))
        context.count("worker.reports_read")
        val report = Heartbeat.decode(body) ?: return HttpResponse.error(400, "not a report")
        val id = report.machine
        if (id in returned) return HttpResponse.unavailable("this machine has been returned")
        val machine = machine(id)
        val fresh = take(machine, report)
        if (fresh) machine.lastHeartbeat = LastHeartbeat.of(body, machine.sequence)
        return answer(machine, relayedBy, fresh)
    }

    /** What [machine] said last it says again, under a later [number]: only the time of it is news. */
    private fun takeAgain(
        machine: Machine,
        number: Long,
    ): Boolean {
        if (number <= machine.sequence) return false
        machine.sequence = number
        machine.lastMessageAt = context.now
        machine.unresponsiveSince = if (machine.isResponsive) null else machine.unresponsiveSince ?: context.now
        return true
    }

    private fun answer(
        machine: Machine,
        relayedBy: String?,
        fresh: Boolean,
    ): HttpResponse {
        if (fresh) {
            machine.relayedBy = relayedBy
            if (relayedBy == null) reachability.onHeartbeat(machine.zone)
        }
        if (machine.seenToken shr TERM_SHIFT > leadership.term) {
            leadership.stepDown(StepDownReason.HigherTokenSeen(machine.id))
            return HttpResponse.unavailable("not the leader")
        }
        // A report overtaken by a command's answer still renews the worker's lease when it is answered.
        machine.answeredAt = context.now
        if (fresh) {
            machine.heartbeatAt = context.now
            machine.leaseExpired = false
        }
        val due = if (fresh && loaded) reconcileAndAnswer(machine) else emptyList()
        return HttpResponse(200, WorkerCommandCodec.answer(machine.token, due), sendDeadline = leadership.responseDeadline)
    }

    private fun reconcileAndAnswer(machine: Machine): List<WorkerCommand> {
        reconcile(machine)
        onHeard(machine)
        val due = reconciler.stops(machine) + reconciler.removals(machine)
        onChange()
        return due
    }

    /** Takes over what a report says; false when it is older than what is known. */
    private fun take(
        machine: Machine,
        report: Heartbeat,
    ): Boolean {
        val agentEpoch = report.agentEpoch
        val sequence = report.sequence
        if (agentEpoch < machine.agentEpoch || (agentEpoch == machine.agentEpoch && sequence <= machine.sequence)) return false
        if (agentEpoch != machine.agentEpoch && machine.up && loaded) loseAll(machine, "its worker began session $agentEpoch", agentEpoch)
        if (machine.sequence < 0) {
            machine.upSince = context.now
        } else if (agentEpoch != machine.agentEpoch) {
            machine.sessionBeganAt = context.now
        }
        if (agentEpoch != machine.agentEpoch || machine.sequence < 0) {
            // Its lease began with the session, at the latest now. Only a new session ends the lapse of the one before: an answer to a
            // command renews no lease, and what started after it would be taken for gone while it runs.
            machine.leaseExpired = false
            machine.answeredAt = maxOf(machine.answeredAt, context.now)
        }
        machine.agentEpoch = agentEpoch
        machine.sequence = sequence
        val fencedBefore = fenced(machine)
        machine.seenToken = maxOf(machine.seenToken, report.token)
        // Until it has seen our term an earlier leader's answer may have renewed its lease.
        if (!fencedBefore) machine.answeredAt = maxOf(machine.answeredAt, context.now)
        machine.lastMessageAt = context.now
        machine.unresponsiveSince = if (machine.isResponsive) null else machine.unresponsiveSince ?: context.now
        val recalled = machine.reclaimAt
        machine.update(report, context.now)
        if (recalled == null && machine.reclaimAt != null) {
            context.info("machine ${machine.id}: the cloud takes it back in ${report.noticeSeconds} s")
        }
        return true
    }

    fun reconcile(machine: Machine) {
        val allocations =
            registry.allocations.byMachine[machine.id]
                ?.values
                ?.toList()
                .orEmpty()
        for (allocation in allocations) {
            if (allocation.agentEpoch < machine.agentEpoch) {
                lose(allocation, "its worker's session is over")
                continue
            }
            val report = machine.reported[taskKey(allocation.taskName, allocation.attempt)]
            when {
                report == null -> if (knownAbsent(machine, allocation)) lose(allocation, "its worker does not have it")
                report.exited -> outcomes.exited(machine, allocation, report)
                else -> outcomes.seen(machine, allocation, report)
            }
        }
        setOrphans(
            machine,
            machine.reported.values
                .filter {
                    !it.exited && registry.allocations.byMachine[machine.id]
                        ?.get(it.task)
                        ?.attempt != it.attempt
                }.mapTo(HashSet()) { it.task },
        )
        if (machine.idleSince > 0 && !registry.allocations.byMachine[machine.id].isNullOrEmpty()) machine.idleSince = 0.0
        if (machine.idleSince == 0.0 && registry.allocations.byMachine[machine.id].isNullOrEmpty()) machine.idleSince = context.now
    }

    /**
     * A report without the task proves something only if no start of it can still arrive: none is in flight, and the worker
     * has seen a token above every one under which a start's outcome is open.
     */
    private fun knownAbsent(
        machine: Machine,
        allocation: Allocation,
    ): Boolean =
        when (allocation.phase) {
            AllocationPhase.COMMITTING, AllocationPhase.COMMITTED, AllocationPhase.ENDED -> false
            else -> !machine.commandInFlight && machine.seenToken > machine.unsettledToken
        }

    override fun lose(
        allocation: Allocation,
        reason: String,
    ) {
        // Of a job that is over nothing is lost: a new leader only learns so late that its tasks are.
        if (registry.jobs.containsKey(
                allocation.job,
            )
        ) {
            context.infoRateLimited(
                "tasks lost: $reason",
                "task ${allocation.taskName} run ${allocation.attempt} lost on ${allocation.machine}: $reason",
            )
        }
        registry.allocations.release(allocation, isLost = true)
        onChange()
    }

    private fun loseAll(
        machine: Machine,
        reason: String,
        below: Long = Long.MAX_VALUE,
    ) {
        registry.allocations.byMachine[machine.id]
            ?.values
            ?.toList()
            .orEmpty()
            .filter { it.agentEpoch < below }
            .forEach { lose(it, reason) }
    }

    override fun knows(machine: Machine): Boolean = machines[machine.id] === machine

    override fun onHeartbeat(
        machine: Machine,
        report: Heartbeat,
    ) {
        if (!take(machine, report)) return
        // What it says next may be what it said before this.
        machine.lastHeartbeat = null
        if (loaded) reconcile(machine)
    }

    override fun changed() = onChange()

    /** Sends what is due to [machine] straight away. */
    fun command(machine: Machine) = commands.command(machine)

    /** Nobody has any use for what the tasks of a withdrawn [job] do: their machines are told at once, before its end is durable. */
    fun stop(job: Job) =
        job.allocations.values
            .mapNotNull { machines[it.machine] }
            .distinct()
            .forEach { command(it) }

    // --- losses

    fun tick() {
        if (context.now < sweepAt) return
        sweepAt = context.now + times.reportSeconds / SWEEPS_PER_REPORT
        commands.probe(machines.values)
        if (loaded) draining.evictStragglers(machines.values)
        for (machine in machines.values.toList()) {
            if (!machine.leaseExpired && context.now > leaseExpiresAt(machine)) expireLease(machine)
            if (loaded &&
                (isSilent(machine) || isNotReporting(machine))
            ) {
                releaseUndispatched(machine, "never sent, and its machine is silent")
            }
            if (loaded && !machine.isResponsive) releaseUndispatched(machine, "never sent, and its machine does not hear")
            if (machine.reclaimAt != null) draining.drain(machine)
            command(machine)
            if (loaded && !machine.leaseExpired) commands.ask(machine)
        }
    }

    /** Leaves a machine that was found slow, here or by an earlier leader. */
    fun evictStraggler(machine: Machine) = draining.evict(machine)

    /** Stops all tasks of a gang in order, where that can be done now. */
    fun stopGang(
        job: Job,
        reason: String,
        mustSave: Boolean,
    ) = draining.stopGang(job, reason, mustSave)

    /** A claim that never left and whose machine has gone quiet is taken back and placed elsewhere. */
    override fun releaseUndispatched(
        machine: Machine,
        reason: String,
    ) {
        registry.allocations.byMachine[machine.id]
            ?.values
            ?.filter {
                it.phase == AllocationPhase.COMMITTED
            }?.toList()
            ?.forEach { lose(it, reason) }
    }

    fun isSilent(machine: Machine): Boolean = context.now > machine.lastMessageAt + times.reportSeconds * SILENT_REPORTS

    /** It answers commands and reaches no controller: its lease runs out with all that would be placed on it. */
    fun isNotReporting(machine: Machine): Boolean = context.now > maxOf(machine.heartbeatAt, machine.knownSince) + times.leaseSeconds / 2

    private fun fenced(machine: Machine): Boolean = machine.seenToken shr TERM_SHIFT == leadership.term

    private fun leaseExpiresAt(machine: Machine): Double {
        val answered = if (fenced(machine)) machine.answeredAt else maxOf(machine.answeredAt, leadership.othersAnswerUntil)
        return answered + times.leaseSeconds * (1 + Leadership.DRIFT) + times.reportSeconds / 4
    }

    private fun expireLease(machine: Machine) {
        if (!loaded) return
        machine.leaseExpired = true
        setOrphans(machine, emptySet())
        loseAll(machine, "its worker's lease has lapsed")
    }

    /** The cloud says that the machine is gone, with everything on it. */
    fun onMachineGone(
        machine: Machine,
        reason: String,
    ) {
        context.infoRateLimited("machines gone: $reason", "machine ${machine.id} is gone: $reason")
        returned += machine.id
        machines.remove(machine.id)
        setOrphans(machine, emptySet())
        loseAll(machine, reason)
        registry.allocations.forgetMachine(machine.id)
    }

    internal companion object {
        const val TERM_SHIFT = 20
        private const val SWEEPS_PER_REPORT = 10
        private const val SILENT_REPORTS = 2.5
    }
}
