package burlridge.worker

import burlridge.allocation.Allocation
import burlridge.allocation.AllocationPhase
import burlridge.allocation.JobRegistry
import burlridge.allocation.JobState
import burlridge.core.CallOutcome
import burlridge.core.StepContext
import burlridge.leadership.Leadership
import burlridge.leadership.StepDownReason
import burlridge.peer.PeerRequests
import burlridge.settings.Endpoint

/** Commands straight to the workers, and what becomes of them. */
internal class CommandDispatcher(
    private val context: StepContext,
    private val leadership: Leadership,
    private val registry: JobRegistry,
    private val peers: PeerRequests,
    private val reachability: ZoneReachability,
    private val reconciler: TaskReconciler,
    private val listener: CommandListener,
) {
    internal interface CommandListener {
        fun knows(machine: Machine): Boolean

        /** The answer to a command is a report. */
        fun onHeartbeat(
            machine: Machine,
            report: Heartbeat,
        )

        fun nextToken(): Long

        fun lose(
            allocation: Allocation,
            reason: String,
        )

        fun releaseUndispatched(
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
        val allocations = registry.allocations.byMachine[machine.id]?.values
        if (allocations.isNullOrEmpty() || allocations.none { isPending(it) }) return
        val starts = if (leadership.holdsLease) startsOf(machine).take(MOST_COMMANDS) else emptyList()
        val stops = allocations.filter { (leadership.holdsLease || reconciler.isCancelled(it)) && wantsStop(it) }
        if (starts.isEmpty() && stops.isEmpty() && !needsFence(machine, allocations)) return
        stops.forEach { it.stopSentAt = context.now }
        starts.forEach { it.phase = AllocationPhase.DISPATCHED }
        if (starts.isNotEmpty()) machine.lastStartToken = machine.token
        send(machine, address, stops.map { stop(it) } + starts.map { WorkerCommand.Start(it.taskName, it.attempt) }, starts, stops)
    }

    /** While others may have been elected only what can never be wrong goes out: the stops of cancelled jobs. */
    private fun mayCommand(machine: Machine): Boolean =
        !machine.commandInFlight && context.now >= machine.nextCommandAt && !machine.leaseExpired &&
            (leadership.holdsLease || leadership.mayAnswerWorkers)

    private fun isPending(allocation: Allocation): Boolean =
        allocation.phase <= AllocationPhase.DISPATCHED || allocation.stopGraceSeconds != null || reconciler.isCancelled(allocation)

    /** Whether a start of unknown outcome waits for the worker to see a newer token. */
    private fun needsFence(
        machine: Machine,
        allocations: Collection<Allocation>,
    ): Boolean =
        leadership.holdsLease && machine.seenToken <= machine.unsettledToken && allocations.any { it.phase == AllocationPhase.DISPATCHED }

    private fun stop(allocation: Allocation) =
        WorkerCommand.Stop(
            allocation.taskName,
            allocation.attempt,
            if (reconciler.isCancelled(allocation)) {
                0.0
            } else {
                allocation.stopGraceSeconds
                    ?: 0.0
            },
        )

    private fun startsOf(machine: Machine): List<Allocation> =
        if (machine.isResponsive) {
            registry.allocations.byMachine[machine.id]
                ?.values
                ?.filter { startable(it, machine) }
                .orEmpty()
        } else {
            emptyList()
        }

    private fun startable(
        allocation: Allocation,
        machine: Machine,
    ): Boolean =
        allocation.phase == AllocationPhase.COMMITTED && allocation.agentEpoch == machine.agentEpoch &&
            allocation.stopGraceSeconds == null &&
            machine.drainReason != DrainReason.OPERATOR &&
            registry.jobs[allocation.job]?.isCancelling == false

    private fun wantsStop(allocation: Allocation): Boolean {
        if (allocation.phase < AllocationPhase.DISPATCHED || allocation.hasEnded ||
            context.now < allocation.stopSentAt + times.reportSeconds / 3
        ) {
            return false
        }
        if (reconciler.isCancelled(allocation)) return true
        if (allocation.phase == AllocationPhase.CHECKPOINTING) return false
        if (allocation.isStopAcknowledged && reconciler.savesAsGang(allocation)) return false
        return allocation.stopGraceSeconds != null
    }

    private fun send(
        machine: Machine,
        address: Endpoint,
        commands: List<WorkerCommand>,
        starts: List<Allocation>,
        stops: List<Allocation> = emptyList(),
    ) {
        machine.commandInFlight = true
        context.count("worker.commands")
        val token = machine.token
        val agentEpoch = machine.agentEpoch
        val body = WorkerCommandCodec.request(token, agentEpoch, commands)
        val term = leadership.term
        if (starts.isNotEmpty()) context.count(STARTS, starts.size)
        deliver(machine, address, body, onlyStops = starts.isEmpty() && stops.isNotEmpty()) { outcome ->
            if (!leadership.isLeader || leadership.term != term || !listener.knows(machine)) return@deliver
            machine.commandInFlight = false
            val answer = outcome as? CallOutcome.Responded
            val report = answer?.let { Heartbeat.decode(it.body) }
            when {
                report != null && answer.status == EXECUTED -> {
                    stops.forEach { it.isStopAcknowledged = true }
                    answered(machine, report)
                }

                report != null && answer.status == FENCED -> {
                    // Nothing was executed: what was to start has still to be sent.
                    revertToCommitted(starts)
                    machine.nextCommandAt = context.now + RETRY_SECONDS
                    answered(machine, report)
                }

                outcome is CallOutcome.NotSent || answer?.status == MALFORMED -> {
                    revertToCommitted(starts)
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
        report: Heartbeat,
    ) {
        machine.refusals = 0
        listener.onHeartbeat(machine, report)
        if (machine.seenToken shr WorkerManager.TERM_SHIFT > leadership.term) {
            return leadership.stepDown(StepDownReason.HigherTokenSeen(machine.id))
        }
        listener.changed()
        // What was claimed while this was under way need not wait for the next sweep: a gang waits for its last task.
        if (startsOf(machine).isNotEmpty()) command(machine)
    }

    private fun unreached(machine: Machine) {
        retryLater(machine)
        if (machine.refusals < REFUSALS_TO_LEAVE) return
        // It may report and still not hear: what has not left goes elsewhere, and nothing more comes here before
        // its worker has seen a token that only an answer of ours can have brought.
        machine.token = listener.nextToken()
        machine.requiredToken = machine.token
        listener.releaseUndispatched(machine, "never sent, and its machine cannot be reached")
    }

    /** Possibly executed, or held back to be executed later: only a higher token seen by the worker settles it. */
    private fun unknown(
        machine: Machine,
        sentUnder: Long,
    ) {
        context.infoRateLimited("commands of unknown outcome", "command to ${machine.id} has an unknown outcome; fencing it")
        machine.unsettledToken = maxOf(machine.unsettledToken, sentUnder)
        machine.token = listener.nextToken()
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
        val timeoutSeconds = times.reportSeconds * COMMAND_PART
        val sendDeadline = if (onlyStops) leadership.responseDeadline else leadership.commandDeadline
        val zone = machine.zone
        if (relayedBy == null) {
            context.call(address, "POST", "/do", body, timeoutSeconds, sendDeadline) { outcome ->
                reachability.commanded(zone, outcome is CallOutcome.Responded)
                onResult(outcome)
            }
        } else {
            peers.forward(relayedBy, "POST", HeartbeatRelay.COMMAND + address, body, timeoutSeconds * 2, sendDeadline) { answer ->
                onResult(
                    when {
                        answer == null -> CallOutcome.Unknown
                        answer.status == HeartbeatRelay.NOT_SENT -> CallOutcome.NotSent
                        answer.status == HeartbeatRelay.UNKNOWN -> CallOutcome.Unknown
                        else -> CallOutcome.Responded(answer.status, answer.body)
                    },
                )
            }
        }
    }

    /** A machine that is overdue is asked directly, so that a dead one is told from one whose reports go astray. */
    fun ask(machine: Machine) {
        val address = machine.address ?: return
        val wanted = machine.up || !registry.allocations.byMachine[machine.id].isNullOrEmpty()
        if (!wanted || machine.commandInFlight || machine.abandoned || context.now < machine.nextCommandAt || !leadership.holdsLease) return
        if (context.now > machine.silentSince + times.reportSeconds * OVERDUE_REPORTS) send(machine, address, emptyList(), emptyList())
    }

    /** Now and then one machine of a zone that is cut off is tried, with nothing to do for it. */
    fun probe(machines: Collection<Machine>) {
        if (context.now < probeAt) return
        probeAt = context.now + PROBE_SECONDS
        for (zone in reachability.abandonedZones()) {
            val there =
                machines.filter {
                    it.zone == zone && it.up && !it.leaseExpired && it.relayedBy == null && it.address != null &&
                        !it.commandInFlight && !it.abandoned
                }
            val machine = there.randomOrNull(context.random) ?: continue
            send(machine, machine.address ?: continue, emptyList(), emptyList())
        }
    }

    private fun retryLater(machine: Machine) {
        machine.refusals++
        machine.nextCommandAt = context.now + RETRY_SECONDS * minOf(machine.refusals, 8)
    }

    private fun revertToCommitted(starts: List<Allocation>) {
        for (allocation in starts) {
            if (allocation.phase != AllocationPhase.DISPATCHED) continue
            allocation.phase = AllocationPhase.COMMITTED
            // Its gang's attempt was over before it could begin.
            if (allocation.stopGraceSeconds != null) listener.lose(allocation, "never sent, and its gang is gone")
        }
    }

    internal companion object {
        /** Counts the starts that were sent. */
        const val STARTS = "worker.starts"
        private const val EXECUTED = 200
        private const val MALFORMED = 400
        private const val FENCED = 409
        private const val MOST_COMMANDS = 100
        private const val RETRY_SECONDS = 0.5
        private const val REFUSALS_TO_LEAVE = 2
        private const val OVERDUE_REPORTS = 1.6
        private const val PROBE_SECONDS = 1.0

        /** How long a command's answer is waited for, in report intervals. */
        private const val COMMAND_PART = 0.5
    }
}
