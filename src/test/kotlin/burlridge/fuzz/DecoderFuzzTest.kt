package burlridge.fuzz

import burlridge.job.InvalidJobException
import burlridge.job.JobSpecCodec
import burlridge.json.Json
import burlridge.message.BuildIdentity
import burlridge.message.FailoverStatus
import burlridge.message.PeerMessage
import burlridge.settings.InvalidSettingsException
import burlridge.settings.OperatorSettings
import burlridge.settings.Settings
import burlridge.worker.Heartbeat
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import java.lang.management.ManagementFactory
import kotlin.random.Random

/**
 * Seeded fuzz of the decoders: whatever they are given, they return a value or the refusal that they document. More inputs on demand:
 * `mvn test -Dtest=DecoderFuzzTest -Dfuzz.inputs=1000000 -Dfuzz.seed=2`.
 */
internal class DecoderFuzzTest {
    private val inputs = System.getProperty("fuzz.inputs")?.toInt() ?: 10_000
    private val random = Random(System.getProperty("fuzz.seed")?.toInt() ?: 1)
    private val mutator = InputMutator(random)
    private val threads = ManagementFactory.getThreadMXBean()

    /** Runs [decode] on mutations of [examples]; returns the inputs that cost more than [MAX_MILLIS] each time, with that cost. */
    private fun fuzz(
        examples: List<String>,
        decode: (String) -> Unit,
    ): List<String> {
        val slow = ArrayList<String>()
        repeat(inputs) {
            val input = mutator.mutate(examples.random(random))
            try {
                val millis = cpuMillis { decode(input) }
                // Compilation and collection are not the input's cost, so it is measured again.
                if (millis >
                    MAX_MILLIS
                ) {
                    (1..REPEATS).minOf { cpuMillis { decode(input) } }.let {
                        if (it >
                            MAX_MILLIS
                        ) {
                            slow += "$it ms: ${input.take(SHOWN)}"
                        }
                    }
                }
            } catch (unexpected: Throwable) {
                throw AssertionError("on ${input.take(SHOWN)}", unexpected)
            }
        }
        return slow
    }

    private fun cpuMillis(work: () -> Unit): Double {
        val from = threads.currentThreadCpuTime
        work()
        return (threads.currentThreadCpuTime - from) / NANOS_PER_MILLI
    }

    @Test
    fun `submissions are decoded or refused with a reason that names a field or the body`() {
        val fields =
            JobSpecCodec
                .encode(JobSpecCodec.decode(Json.parse(Examples.JOB)))
                .fieldNames()
                .asSequence()
                .toList()
        var accepted = 0
        val slow =
            fuzz(listOf(Examples.JOB)) { text ->
                try {
                    val spec = JobSpecCodec.decode(Json.parseOrNull(text))
                    assertEquals(
                        spec,
                        JobSpecCodec.decode(Json.parse(Json.write(JobSpecCodec.encode(spec)))),
                        "what is stored is read back",
                    )
                    accepted++
                } catch (e: InvalidJobException) {
                    val reason = e.message.orEmpty()
                    assertTrue(fields.any { reason.startsWith("$it ") } || reason.startsWith("the body "), reason)
                }
            }
        assertEquals(emptyList<String>(), slow)
        assertTrue(accepted > inputs / 100, "only $accepted were accepted")
    }

    @Test
    fun `heartbeats are decoded or refused, and keep no name that is too long`() {
        var decoded = 0
        val slow =
            fuzz(listOf(Examples.HEARTBEAT)) { text ->
                val heartbeat = Heartbeat.decode(text) ?: return@fuzz
                decoded++
                val names = heartbeat.tasks.values.map { it.task } + heartbeat.machine + listOfNotNull(heartbeat.type, heartbeat.zone)
                assertTrue(names.all { it.length <= MAX_NAME }, "${names.maxOf { it.length }}")
            }
        assertEquals(emptyList<String>(), slow)
        assertTrue(decoded > inputs / 100, "only $decoded were decoded")
    }

    @Test
    fun `settings are read or refused with one line`() {
        val slow =
            fuzz(listOf(Examples.SETTINGS)) { text ->
                try {
                    Settings.parse(text)
                } catch (e: InvalidSettingsException) {
                    assertTrue(e.message.orEmpty().isNotEmpty())
                }
            }
        assertEquals(emptyList<String>(), slow)
        fuzz(listOf(Examples.operatorSettings)) { text ->
            try {
                OperatorSettings.parse(text).balance?.validate(Settings.parse(Examples.SETTINGS))
            } catch (e: InvalidSettingsException) {
                assertTrue(e.message.orEmpty().isNotEmpty())
            }
        }
    }

    @Test
    fun `messages of members are decoded or refused`() {
        val failover = FailoverStatus(1, 2, isDraining = false, isSlow = true, replicaRevision = 7)
        val messages =
            listOf(
                PeerMessage.Status(
                    "drover-1",
                    4,
                    "drover-0",
                    false,
                    true,
                    true,
                    listOf("a", "b"),
                    failover,
                    BuildIdentity("0.1.0", "c0ffee"),
                ),
                PeerMessage.ForwardedRequest("drover-1", 9, "POST", "/api/jobs", Examples.JOB),
                PeerMessage.ForwardedResponse("drover-1", 9, 200, "{}", 1),
                PeerMessage.JobAccepted("drover-1", "j-000001"),
            ).map { PeerMessage.encode(it) }
        var decoded = 0
        repeat(inputs) {
            val bytes = mutator.mutate(messages.random(random))
            try {
                if (PeerMessage.decodeOrNull(bytes) != null) decoded++
            } catch (unexpected: Throwable) {
                throw AssertionError("on ${bytes.joinToString(",")}", unexpected)
            }
        }
        assertTrue(decoded > inputs / 100, "only $decoded were decoded")
    }

    private companion object {
        const val MAX_MILLIS = 5.0
        const val REPEATS = 50
        const val SHOWN = 300
        const val MAX_NAME = 200
        const val NANOS_PER_MILLI = 1e6
    }
}
