package burlridge.balance

import burlridge.job.JobSpec
import burlridge.json.Json
import burlridge.settings.BalanceSettings
import burlridge.settings.FailoverSettings
import burlridge.settings.OperatorSettings
import burlridge.simulation.ExecutionHistory
import burlridge.simulation.MachineTypeSpec
import burlridge.simulation.SimulatedCluster
import burlridge.simulation.job
import burlridge.simulation.submit
import com.fasterxml.jackson.databind.JsonNode
import org.junit.jupiter.api.Assertions.assertEquals

// Operator requests in a simulated cluster, and the invariants that are checked at the end of a test.

/** Settings with which almost all tasks on drained machines are moved: only those that end within half a heartbeat interval finish. */
internal val EAGER_MOVES = BalanceSettings(finishReports = 0.5)

internal fun operatorSettingsWithBalance(
    settings: BalanceSettings = EAGER_MOVES,
    failover: Boolean = false,
) = OperatorSettings(balance = settings, failover = if (failover) FailoverSettings() else null)

/** A cluster whose fleet does not shrink: no team has a guaranteed share, so all rented machines are kept. */
internal fun clusterWithBalance(
    seed: Int,
    settings: BalanceSettings = EAGER_MOVES,
    members: Int = 3,
    failover: Boolean = false,
    types: Map<String, MachineTypeSpec> = mapOf("small" to MachineTypeSpec(4.0, 16.0, 6), "big" to MachineTypeSpec(16.0, 64.0, 3)),
    operatorOf: (String) -> OperatorSettings = { operatorSettingsWithBalance(settings, failover) },
) = SimulatedCluster(seed, members = (0 until members).map { "drover-$it" }, types = types, guaranteedCpus = 0.0, operatorOf = operatorOf)

/** Creates a job whose tasks save their progress when they are stopped. */
internal fun SimulatedCluster.checkpointingJob(
    number: Int,
    tasks: Int,
    runSeconds: Double = 40.0,
    cpus: Double = 1.0,
): JobSpec = job(number, tasks, cpus = cpus, runSeconds = runSeconds).copy(checkpointIntervalSeconds = 5.0, saveSeconds = 1.0)

internal fun SimulatedCluster.submitAll(
    jobs: List<JobSpec>,
    from: Double,
    everySeconds: Double = 0.5,
): List<JobSpec> = jobs.onEachIndexed { i, job -> clock.after(from + i * everySeconds) { submit(job) } }

internal fun SimulatedCluster.sendRequest(
    member: String,
    method: String,
    path: String,
    body: String = "",
    onResult: (status: Int, response: JsonNode) -> Unit,
) = request("operator", member, method, path, body, 5.0) { status, text -> onResult(status, Json.parseOrNull(text) ?: Json.obj {}) }

/** Requests a drain of [zone], repeats the request until it is accepted, and expects the drain to be honoured from then on. */
internal fun SimulatedCluster.drainZone(
    zone: String,
    member: () -> String = ::anyMember,
    onAccepted: (ExecutionHistory.AcceptedDrain) -> Unit = {},
) {
    sendRequest(member(), "POST", MachineRequests.DRAIN, """{"zone":"$zone","force":true,"asked_ms":${nowMillis()}}""") { status, _ ->
        if (status == 200) {
            history.acceptedDrains += ExecutionHistory.AcceptedDrain({ zoneOf[it] == zone }, clock.now).also(onAccepted)
        } else {
            clock.after(1.0) { drainZone(zone, member, onAccepted) }
        }
    }
}

/** Expects from now on that nothing starts on [machine]. */
internal fun SimulatedCluster.expectDrained(machine: String) {
    history.acceptedDrains += ExecutionHistory.AcceptedDrain({ it == machine }, clock.now)
}

internal fun SimulatedCluster.undrainZone(
    zone: String,
    member: () -> String = ::anyMember,
    onAccepted: () -> Unit = {},
) {
    // The cancellation may take effect at any time after the request was sent.
    history.acceptedDrains.forEach { it.until = minOf(it.until, clock.now) }
    sendRequest(member(), "POST", MachineRequests.UNDRAIN, """{"zone":"$zone","asked_ms":${nowMillis()}}""") { status, _ ->
        if (status == 200) onAccepted() else clock.after(1.0) { undrainZone(zone, member, onAccepted) }
    }
}

/** Sends a request to [member] and runs the simulation until it responds. */
internal fun SimulatedCluster.requestAndWait(
    member: String,
    method: String,
    path: String,
    body: String = "",
): Pair<Int, JsonNode> {
    var response: Pair<Int, JsonNode>? = null
    sendRequest(member, method, path, body) { status, node -> response = status to node }
    while (response == null) run(clock.now + 0.1)
    return checkNotNull(response) { "no response" }
}

internal fun SimulatedCluster.report(): JsonNode = requestAndWait(leader() ?: anyMember(), "GET", MachineRequests.STATUS).second

private fun SimulatedCluster.nowMillis(): Long = (clock.now * 1000).toLong()

internal fun SimulatedCluster.drainStateOf(key: String): String? = state.value(Drain.PREFIX + key)?.path("st")?.asText()

internal fun SimulatedCluster.recentLog(): String = log.filterNot { "state service" in it }.takeLast(60).joinToString("\n")

internal fun SimulatedCluster.assertNoViolations(
    jobs: List<JobSpec>,
    settings: BalanceSettings = EAGER_MOVES,
) {
    assertEquals(emptyList<String>(), invariants.violations, recentLog())
    assertEquals(emptyList<String>(), simultaneousLeaders, recentLog())
    assertEquals(emptyList<String>(), history.violations(jobs.map { it.id }), recentLog())
    assertEquals(emptyList<String>(), history.drainViolations(SLACK_SECONDS), recentLog())
    assertEquals(emptyList<String>(), history.moveViolations(settings.movesPerMinute, settings.movesPerTask), recentLog())
}

/** A start command sent before the drain takes effect after its image is fetched, at most two seconds, plus the time of the response. */
private const val SLACK_SECONDS = 2.5
