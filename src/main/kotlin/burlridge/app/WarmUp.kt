package burlridge.app

import burlridge.core.CallOutcome
import burlridge.core.Effect
import burlridge.core.HttpStatus
import burlridge.core.Input
import burlridge.json.Json
import burlridge.settings.Settings
import com.fasterxml.jackson.databind.JsonNode

/**
 * Runs a separate [Controller] for a few seconds of virtual time before the process reports ready, with stubs that accept every
 * request in place of the external systems. On a fifth of a CPU core, the first submission, allocation and heartbeat of a cold JVM would
 * take several tenths of a second each.
 */
internal class WarmUp(
    private val settings: Settings,
) {
    private val core = Controller(settings, 1)
    private val inputs = ArrayDeque<Input>()
    private var revision = 1L
    private var nextId = 1L
    private var sequence = 1L
    private val taskStatuses = Json.arr()

    /** Counters of the controller that the warm-up ran. */
    val counters: Map<String, Long> get() = core.counters

    /** Runs the warm-up. */
    fun run() {
        var now = 0.0
        repeat(STEPS) { step ->
            now += STEP_SECONDS
            inputs += Input.Tick
            if (step % STEPS_PER_JOB == 0) {
                val job = "j-${step.toString().padStart(ID_DIGITS, '0')}"
                inputs +=
                    Input.Request(nextId++, "POST", "/api/jobs", "", JOB.replace("ID", job).replace("TEAM", settings.teams.keys.first()))
                inputs += Input.Request(nextId++, "GET", "/api/jobs/$job", "", "")
                inputs += Input.Request(nextId++, "POST", "/agent/beat", "", Json.write(heartbeat()))
            }
            while (inputs.isNotEmpty()) {
                core.step(inputs.removeFirst(), now, (now * MILLIS_PER_SECOND).toLong()).forEach { if (it is Effect.HttpCall) respond(it) }
            }
        }
    }

    private fun respond(call: Effect.HttpCall) {
        val path = call.path.substringBefore('?')
        val status = if (call.method == "GET" && path.startsWith("/store/")) HttpStatus.NOT_FOUND else HttpStatus.OK
        val body =
            when {
                status == HttpStatus.NOT_FOUND -> "{}"

                path == "/catalog" -> CATALOG

                path == "/store" -> """{"pairs":[],"truncated":false,"ledgerRev":1}"""

                path == "/multi" -> """{"ledgerRev":${revision++}}"""

                path.startsWith("/leases") -> """{"tether":1}"""

                path == "/rentals/return" -> "{}"

                path == "/rentals" && call.method == "POST" -> """{"drovers":["m-000001"]}"""

                path == "/rentals" -> """{"drovers":[$MACHINE],"truncated":false}"""

                path == "/do" -> Json.write(executeCommand(Json.parse(call.body.orEmpty())))

                // A watch request stays open.
                else -> return
            }
        inputs += Input.CallCompleted(call.callId, CallOutcome.Responded(status, body))
    }

    private fun executeCommand(command: JsonNode): JsonNode {
        command.path("orders").filter { it.path("verb").asText() == "run" }.forEach {
            taskStatuses
                .addObject()
                .put("piece", it.path("piece").asText())
                .put("try", it.path("try").asInt())
                .put("standing", "exited")
                .put("cause", "done")
        }
        return heartbeat()
    }

    private fun heartbeat(): JsonNode =
        Json.obj {
            put("drover", "m-000001")
            put("addr", "127.0.0.1:1")
            put("breed", "t")
            put("yard", settings.zone)
            put("loaners", false)
            put("stint", 1)
            put("tally", sequence++)
            put("baton", FIRST_TOKEN)
            set<JsonNode>("pieces", taskStatuses.deepCopy())
        }

    private companion object {
        const val STEPS = 32
        const val ID_DIGITS = 6
        const val STEP_SECONDS = 0.1
        const val STEPS_PER_JOB = 4
        const val MILLIS_PER_SECOND = 1000
        const val FIRST_TOKEN = 1L shl 20
        const val MACHINE =
            """{"id":"m-000001","addr":"127.0.0.1:1","breed":"t","yard":"a","loaners":false,"standing":"running",
            "ageS":60.0}"""
        const val CATALOG =
            """{"breeds":[{"sku":"t","vcpus":64,"gpus":0,"ramGb":256,"cacheGb":10,"pullGbPerS":1.0,"price":1.0,"spotPrice":0.5,
            "bootS":1,"yards":["a"]}]}"""
        const val JOB =
            """{"id":"ID","lane":"lane","crew":"TEAM","shape":"array","urgency":"high","pieces":2,"vcpus":1.0,"gpus":0.0,"ramGb":1.0,
            "bundle":"img","pullGb":1.0,"breeds":null,"yard":null,"together":false,"spread":false,"loaners":true,"guessS":1.0,
            "markEveryS":0.0,"markCostS":0.0,"dueS":null}"""
    }
}
