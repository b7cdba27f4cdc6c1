package burlridge.app

import burlridge.core.Effect
import burlridge.failover.LeaderChangeEvent
import burlridge.failover.Liveness
import burlridge.failover.LivenessChange
import burlridge.json.Json
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.io.TempDir
import java.io.File

internal class LeaderChangeTracerTest {
    private fun LeaderChangeTracer.recordAt(
        ms: Long,
        event: LeaderChangeEvent,
    ) = record(Effect.Trace(event, ms))

    @Test
    fun `a leader change is one trace, from the first suspicion until all workers are answered`(
        @TempDir directory: File,
    ) {
        val file = File(directory, "trace.jsonl")
        val tracer = LeaderChangeTracer(file, "drover-1")
        val suspected = LivenessChange("drover-0", Liveness.ALIVE, Liveness.SUSPECTED, "silent for 1.50 s, level 4.2")
        tracer.recordAt(1_000, LeaderChangeEvent.LivenessChanged(suspected))
        tracer.recordAt(2_000, LeaderChangeEvent.Elected(7, "the leader's lease had ended"))
        tracer.recordAt(2_030, LeaderChangeEvent.RowsRead(7, 120, fromReplica = true))
        tracer.recordAt(2_500, LeaderChangeEvent.FirstTaskStart(7))
        tracer.recordAt(5_000, LeaderChangeEvent.AllWorkersAnswered(7, 40))
        tracer.recordAt(9_000, LeaderChangeEvent.HandoverBegan("drover-2", "it is draining"))
        tracer.recordAt(9_040, LeaderChangeEvent.HandoverEnded("drover-2", "done"))
        tracer.recordAt(9_041, LeaderChangeEvent.Deposed(7, "handed over to drover-2"))
        val spans = file.readLines().map { Json.parse(it) }
        assertEquals(
            listOf("read rows" to 30L, "first start" to 500L, "leader change" to 4_000L, "handover" to 40L),
            spans.map { it.path("name").asText() to it.path("ms").asLong() },
        )
        val (rows, start, change) = spans
        val handover = spans.last()
        assertEquals(setOf(change.path("span").asText()), listOf(rows, start).map { it.path("parent").asText() }.toSet())
        assertEquals(change.path("trace"), rows.path("trace"))
        assertTrue(change.path("trace") != handover.path("trace"))
        assertEquals(
            "suspected",
            change
                .path("events")
                .single()
                .path("name")
                .asText(),
        )
        assertEquals("true", rows.path("attributes").path("burlridge.from_replica").asText())
        assertEquals("done", handover.path("attributes").path("burlridge.outcome").asText())
    }

    /** A full or read-only disk must cost only traces, and must not affect the service. */
    @Test
    fun `recording events does not fail if the trace file cannot be written`(
        @TempDir directory: File,
    ) {
        val tracer = LeaderChangeTracer(File(directory, "no/such/folder/trace.jsonl"), "drover-1")
        tracer.recordAt(1, LeaderChangeEvent.HandoverBegan("drover-2", "it is draining"))
        tracer.recordAt(2, LeaderChangeEvent.HandoverEnded("drover-2", "done"))
        tracer.recordAt(3, LeaderChangeEvent.Elected(8, "handed over by drover-0"))
        tracer.recordAt(4, LeaderChangeEvent.Deposed(8, "its term has been passed"))
        assertTrue(directory.listFiles().orEmpty().isEmpty())
    }
}
