package burlridge.allocation

import burlridge.app.ClassArchiveTraining
import burlridge.core.CallOutcome
import burlridge.core.Effect
import burlridge.core.Input
import burlridge.core.LogLevel
import burlridge.core.StepContext
import burlridge.job.JobSpec
import burlridge.json.Json
import burlridge.leadership.Leadership
import burlridge.settings.Settings
import burlridge.simulation.Clock
import burlridge.simulation.StateService
import burlridge.store.Row
import burlridge.store.StoreClient
import com.fasterxml.jackson.databind.JsonNode
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import java.util.Base64
import java.util.BitSet

/** The largest transactions of each kind, sent to a key-value store that has lowered its limits. */
internal class LimitsTest {
    private val clock = Clock()
    private val state = StateService(clock).also { it.lowerLimits(valueKb = 2.0, changesPerTransaction = 4) }
    private val settings =
        Settings.parse(
            ClassArchiveTraining.settings().replace(
                "\"txn_ops\":8",
                "\"txn_ops\":8,\"next\":{\"value_kb\":2,\"txn_ops\":4,\"write_rps\":18}",
            ),
        )
    private val context = StepContext(settings, 1)
    private val store = StoreClient(context)
    private val leadership = Leadership(context, store, IgnoringListener)
    private val registry = JobRegistry(context, store, leadership)

    private val errors = ArrayList<String>()

    /** Advances the clock by [seconds], with the key-value store answering at once. */
    private fun advance(seconds: Double) {
        repeat((seconds * 10).toInt()) {
            clock.runUntil(clock.now + 0.1)
            context.beginStep(clock.now, (clock.now * 1000).toLong())
            leadership.tick()
            if (leadership.isLeader) registry.tick()
            context.runDue()
            store.sendQueued()
            answerCalls()
        }
    }

    private fun answerCalls() {
        val calls = ArrayDeque(context.finishStep())
        while (calls.isNotEmpty()) {
            val effect = calls.removeFirst()
            if (effect is Effect.Log && effect.level == LogLevel.ERROR) errors += effect.text
            val call = effect as? Effect.HttpCall ?: continue
            state.handle(call.method, call.path, call.body.orEmpty()) { status, body ->
                context.complete(Input.CallCompleted(call.callId, CallOutcome.Responded(status, body)))
            }
            calls += context.finishStep()
        }
    }

    private fun admit(
        id: String,
        tasks: Int,
    ): Job {
        val body =
            """{"id":"$id","lane":"l","crew":"crew","shape":"array","urgency":"high","pieces":$tasks,"vcpus":0.1,"gpus":0.0,
            "ramGb":0.0,"bundle":"i","pullGb":1.0,"together":false,"spread":false,"loaners":true,"guessS":1.0,"markEveryS":0.0,
            "markCostS":0.0}"""
        put("live/$id", """{"job":$body,"fp":"x","at":0}""")
        return checkNotNull(registry.admit(Row("live/$id", Json.parse("""{"job":$body,"fp":"x","at":0}"""), modRevisionOf("live/$id"))))
    }

    private fun put(
        key: String,
        value: String,
    ) = state.handle("POST", "/multi", """{"if":[],"then":[{"set":"$key","value":$value}]}""") { status, _ -> assertEquals(200, status) }

    private fun stored(key: String): JsonNode {
        var row: JsonNode? = null
        state.handle("GET", "/store/$key", "") { _, body -> row = Json.parse(body) }
        return checkNotNull(row)
    }

    private fun modRevisionOf(key: String): Long = stored(key).path("stamp").asLong()

    /**
     * Guards against an endless retry: the transaction that ends the largest job, with its four progress rows of the old size, has six
     * changes, which is more than the lowered limit allows.
     */
    @Test
    fun `progress and end of the largest job keep the lowered limits, even with progress rows of the old size`() {
        advance(3.0)
        val job = admit("j-1", JobSpecLimits.MAX_TASKS)
        val bits = Base64.getEncoder().encodeToString(BitSet().apply { set(0, ProgressCodec.TASKS_PER_ROW) }.toByteArray())
        repeat(2) { chunk ->
            // Written before the limits were lowered.
            state.lowerLimits(valueKb = 8.0, changesPerTransaction = 8)
            put("prog/j-1/$chunk", """{"bits":"$bits"}""")
            state.lowerLimits(valueKb = 2.0, changesPerTransaction = 4)
            registry.loadProgress(Row("prog/j-1/$chunk", Json.parse("""{"bits":"$bits"}"""), 1))
        }
        assertEquals(2 * ProgressCodec.TASKS_PER_ROW, job.persistedDone.cardinality())
        (2 * ProgressCodec.TASKS_PER_ROW until JobSpecLimits.MAX_TASKS - 1).forEach { registry.markDone(job, it) }
        advance(120.0)
        assertEquals(JobSpecLimits.MAX_TASKS - 1, job.persistedDone.cardinality())
        assertTrue(state.keys("prog/").size > 4)
        registry.markDone(job, JobSpecLimits.MAX_TASKS - 1)
        advance(20.0)
        assertEquals(listOf("over/j-1"), state.keys("over/"))
        assertEquals(emptyList<String>(), state.keys("prog/") + state.keys("live/"))
        assertEquals(0, state.refusedAsTooLarge)
        assertEquals(emptyList<String>(), errors)
    }

    /** Guards against leaked progress rows: if a leader died before it removed them, nothing else would. */
    @Test
    fun `progress rows of an ended job are removed by the leader that loads them`() {
        advance(3.0)
        repeat(6) { put("prog/j-9/b${it * 8}", """{"bits":"/w=="}""") }
        state.keys("prog/").forEach { registry.loadProgress(Row(it, Json.parse("""{"bits":"/w=="}"""), 1)) }
        advance(10.0)
        assertEquals(emptyList<String>(), state.keys("prog/"))
        assertEquals(0, state.refusedAsTooLarge)
        assertEquals(emptyList<String>(), errors)
    }

    /** Guards against an endless retry: with the lowered limit, a loss cannot be marked in a row of 8 KiB that production wrote. */
    @Test
    fun `a batch row of the old size is rewritten once it fits the lowered limit, and removed once all its tasks are done`() {
        advance(3.0)
        val job = admit("j-1", 200)
        val allocations = (0 until 150).joinToString { "[$it,1,\"m-00000$it\",1,0,0]" }
        val value = """{"st":"claimed","n":"1-0","tok":1,"until":0,"zones":["a"],"jobs":{"j-1":["crew",0.1,0.0,0.0,[$allocations]]}}"""
        state.lowerLimits(valueKb = 8.0, changesPerTransaction = 8)
        put("round/1-0", value)
        state.lowerLimits(valueKb = 2.0, changesPerTransaction = 4)
        registry.allocations.loadBatch(Row("round/1-0", Json.parse(value), modRevisionOf("round/1-0")))
        registry.reconcileLoaded()

        fun allocationsOf(tasks: IntRange) = tasks.map { job.allocations.get(it) }
        allocationsOf(0..0).forEach { registry.allocations.release(it, isLost = true) }
        advance(5.0)
        // 149 allocations are still open, which is too many for a row to be rewritten.
        assertEquals(Json.parse(value), stored("round/1-0").path("value"))
        allocationsOf(1..130).forEach {
            registry.allocations.release(it, isLost = false)
            registry.markDone(job, it.task)
            job.persistedDone.set(it.task)
        }
        allocationsOf(131..131).forEach { registry.allocations.release(it, isLost = true) }
        advance(5.0)
        val row = stored("round/1-0").path("value").toString()
        assertTrue("[131,1,\"m-00000131\",1,0,1]" in row, row)
        (0 until 200).forEach { if (!job.done.get(it)) registry.markDone(job, it) }
        allocationsOf(132..149).forEach { it?.let { allocation -> registry.allocations.release(allocation, isLost = false) } }
        advance(20.0)
        assertEquals(emptyList<String>(), state.keys("round/"))
        assertEquals(0, state.refusedAsTooLarge)
        assertEquals(emptyList<String>(), errors)
    }

    private object JobSpecLimits {
        const val MAX_TASKS = JobSpec.MAX_TASKS
    }
}
