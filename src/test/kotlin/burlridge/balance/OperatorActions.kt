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

// What operators do in a simulated world, and what is expected of it in the end.

/** Tasks do not finish on drained machines but for what is about to end, so that there is something to move. */
internal val EAGER = BalanceSettings(finishReports = 0.5)

internal fun balanced(
    settings: BalanceSettings = EAGER,
    failover: Boolean = false,
) = OperatorSettings(balance = settings, failover = if (failover) FailoverSettings() else null)

/** A fleet that does not shrink: no team is guaranteed anything, so all that the cloud gives is kept. */
internal fun balancedCluster(
    seed: Int,
    settings: BalanceSettings = EAGER,
    members: Int = 3,
    failover: Boolean = false,
    types: Map<String, MachineTypeSpec> = mapOf("small" to MachineTypeSpec(4.0, 16.0, 6), "big" to MachineTypeSpec(16.0, 64.0, 3)),
    operatorOf: (String) -> OperatorSettings = { balanced(settings, failover) },
) = SimulatedCluster(seed, members = (0 until members).map { "drover-$it" }, types = types, guaranteedCpus = 0.0, operatorOf = operatorOf)

/** A job whose tasks save their progress when they are stopped. */
internal fun SimulatedCluster.savingJob(
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

internal fun SimulatedCluster.ask(
    member: String,
    method: String,
    path: String,
    body: String = "",
    onResult: (status: Int, answer: JsonNode) -> Unit,
) = request("operator", member, method, path, body, 5.0) { status, text -> onResult(status, Json.parseOrNull(text) ?: Json.obj {}) }

/** Asks until it is accepted, as an operator would, and holds the service to it from then on. */
internal fun SimulatedCluster.drainZone(
    zone: String,
    member: () -> String = ::anyMember,
    onAccepted: (ExecutionHistory.AcceptedDrain) -> Unit = {},
) {
    ask(member(), "POST", MachineRequests.DRAIN, """{"zone":"$zone","force":true,"asked_ms":${nowMillis()}}""") { status, _ ->
        if (status == 200) {
            history.acceptedDrains += ExecutionHistory.AcceptedDrain({ zoneOf[it] == zone }, clock.now).also(onAccepted)
        } else {
            clock.after(1.0) { drainZone(zone, member, onAccepted) }
        }
    }
}

/** The service is held to the drain of [machine] from now on. */
internal fun SimulatedCluster.drained(machine: String) {
    history.acceptedDrains += ExecutionHistory.AcceptedDrain({ it == machine }, clock.now)
}

internal fun SimulatedCluster.undrainZone(
    zone: String,
    member: () -> String = ::anyMember,
    onAccepted: () -> Unit = {},
) {
    // From when it is asked on it may be carried out.
    history.acceptedDrains.forEach { it.until = minOf(it.until, clock.now) }
    ask(member(), "POST", MachineRequests.UNDRAIN, """{"zone":"$zone","asked_ms":${nowMillis()}}""") { status, _ ->
        if (status == 200) onAccepted() else clock.after(1.0) { undrainZone(zone, member, onAccepted) }
    }
}

/** Asks [member] now and runs on until it answers. */
internal fun SimulatedCluster.answerOf(
    member: String,
    method: String,
    path: String,
    body: String = "",
): Pair<Int, JsonNode> {
    var answer: Pair<Int, JsonNode>? = null
    ask(member, method, path, body) { status, node -> answer = status to node }
    while (answer == null) run(clock.now + 0.1)
    return checkNotNull(answer) { "no answer" }
}

internal fun SimulatedCluster.report(): JsonNode = answerOf(leader() ?: anyMember(), "GET", MachineRequests.STATUS).second

private fun SimulatedCluster.nowMillis(): Long = (clock.now * 1000).toLong()

internal fun SimulatedCluster.stateOf(key: String): String? = state.value(Drain.PREFIX + key)?.path("st")?.asText()

internal fun SimulatedCluster.tail(): String = log.filterNot { "state service" in it }.takeLast(60).joinToString("\n")

internal fun SimulatedCluster.verdict(
    jobs: List<JobSpec>,
    settings: BalanceSettings = EAGER,
) {
    assertEquals(emptyList<String>(), invariants.violations, tail())
    assertEquals(emptyList<String>(), simultaneousLeaders, tail())
    assertEquals(emptyList<String>(), history.violations(jobs.map { it.id }), tail())
    assertEquals(emptyList<String>(), history.drainViolations(SLACK_SECONDS), tail())
    assertEquals(emptyList<String>(), history.moveViolations(settings.movesPerMinute, settings.movesPerTask), tail())
}

/** A start that has left begins once its image is there: two seconds at the most, and the news of the answer. */
private const val SLACK_SECONDS = 2.5
