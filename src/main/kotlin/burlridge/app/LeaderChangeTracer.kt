package burlridge.app

import burlridge.core.Effect
import burlridge.failover.LeaderChangeEvent
import burlridge.failover.Liveness
import burlridge.json.Json
import io.opentelemetry.api.common.AttributeKey
import io.opentelemetry.api.common.Attributes
import io.opentelemetry.api.trace.Span
import io.opentelemetry.context.Context
import io.opentelemetry.sdk.common.CompletableResultCode
import io.opentelemetry.sdk.trace.SdkTracerProvider
import io.opentelemetry.sdk.trace.data.SpanData
import io.opentelemetry.sdk.trace.export.SimpleSpanProcessor
import io.opentelemetry.sdk.trace.export.SpanExporter
import org.slf4j.LoggerFactory
import java.io.File
import java.io.IOException
import java.util.concurrent.TimeUnit

/**
 * Traces of leader changes, through OpenTelemetry, appended to a local file. A change is one trace: its root span `leader change` begins
 * with the first sign of it, a suspicion, a handover or the election itself, and ends when all workers have been answered; `read rows`
 * and `first start` are its children. A handover given by this member is a trace of its own.
 */
internal class LeaderChangeTracer(
    file: File,
    private val member: String,
) {
    private val provider =
        SdkTracerProvider
            .builder()
            .addSpanProcessor(SimpleSpanProcessor.create(SpanFile(file)))
            .build()
    private val tracer = provider.get("burlridge.failover")
    private var change: Span? = null
    private var readRows: Span? = null
    private var firstStart: Span? = null
    private var handover: Span? = null

    fun record(trace: Effect.Trace) {
        val at = trace.wallMillis
        when (val event = trace.event) {
            is LeaderChangeEvent.LivenessChanged -> livenessChanged(event, at)
            is LeaderChangeEvent.HandoverBegan -> handoverBegan(event, at)
            is LeaderChangeEvent.HandoverEnded -> handoverEnded(event, at)
            is LeaderChangeEvent.Elected -> elected(event, at)
            is LeaderChangeEvent.RowsRead -> rowsRead(event, at)
            is LeaderChangeEvent.FirstStart -> firstStart = firstStart?.end(at)
            is LeaderChangeEvent.AllWorkersAnswered -> allAnswered(event, at)
            is LeaderChangeEvent.Deposed -> deposed(event, at)
            else -> Unit
        }
    }

    private fun livenessChanged(
        event: LeaderChangeEvent.LivenessChanged,
        at: Long,
    ) {
        val changed = event.change
        val attributes = Attributes.of(MEMBER, changed.member, REASON, changed.reason)
        if (changed.current == Liveness.SUSPECTED && change == null) change = span("leader change", at, null)
        change?.addEvent(changed.current.label, attributes, at, TimeUnit.MILLISECONDS)
        // Heard again, and nobody was elected here: a false alarm, or another member's business.
        if (changed.current != Liveness.SUSPECTED && readRows == null) change = change?.end(at)
    }

    private fun handoverBegan(
        event: LeaderChangeEvent.HandoverBegan,
        at: Long,
    ) {
        handover?.end(at)
        handover = span("handover", at, null).setAttribute(MEMBER, event.successor).setAttribute(REASON, event.reason)
    }

    private fun handoverEnded(
        event: LeaderChangeEvent.HandoverEnded,
        at: Long,
    ) {
        handover?.setAttribute(MEMBER, event.successor)?.setAttribute(OUTCOME, event.outcome)
        handover = handover?.end(at)
    }

    private fun elected(
        event: LeaderChangeEvent.Elected,
        at: Long,
    ) {
        val root = change ?: span("leader change", at, null)
        root.setAttribute(TERM, event.term).setAttribute(REASON, event.cause)
        change = root
        readRows = span("read rows", at, root)
        firstStart = span("first start", at, root)
    }

    private fun rowsRead(
        event: LeaderChangeEvent.RowsRead,
        at: Long,
    ) {
        readRows?.setAttribute(ROWS, event.rows.toLong())?.setAttribute(FROM_REPLICA, event.fromReplica)
        readRows = readRows?.end(at)
    }

    private fun allAnswered(
        event: LeaderChangeEvent.AllWorkersAnswered,
        at: Long,
    ) {
        change?.setAttribute(MACHINES, event.machines.toLong())
        change = change?.end(at)
    }

    private fun deposed(
        event: LeaderChangeEvent.Deposed,
        at: Long,
    ) {
        change?.setAttribute(OUTCOME, "deposed: ${event.cause}")
        readRows = readRows?.end(at)
        firstStart = firstStart?.end(at)
        change = change?.end(at)
    }

    private fun span(
        name: String,
        at: Long,
        parent: Span?,
    ): Span {
        val builder = tracer.spanBuilder(name).setStartTimestamp(at, TimeUnit.MILLISECONDS).setAttribute(OWN_NAME, member)
        if (parent == null) builder.setNoParent() else builder.setParent(Context.root().with(parent))
        return builder.startSpan()
    }

    /** Ends the span; null, for the variable that held it. */
    private fun Span.end(at: Long): Span? {
        end(at, TimeUnit.MILLISECONDS)
        return null
    }

    private companion object {
        val OWN_NAME: AttributeKey<String> = AttributeKey.stringKey("burlridge.self")
        val MEMBER: AttributeKey<String> = AttributeKey.stringKey("burlridge.member")
        val REASON: AttributeKey<String> = AttributeKey.stringKey("burlridge.reason")
        val OUTCOME: AttributeKey<String> = AttributeKey.stringKey("burlridge.outcome")
        val TERM: AttributeKey<Long> = AttributeKey.longKey("burlridge.term")
        val ROWS: AttributeKey<Long> = AttributeKey.longKey("burlridge.rows")
        val MACHINES: AttributeKey<Long> = AttributeKey.longKey("burlridge.machines")
        val FROM_REPLICA: AttributeKey<Boolean> = AttributeKey.booleanKey("burlridge.from_replica")
    }
}

/** Appends each finished span to [file] as one line of JSON. A disk that is full or read-only costs traces and one log line, no more. */
internal class SpanFile(
    private val file: File,
) : SpanExporter {
    private val log = LoggerFactory.getLogger("burlridge")
    private var failed = false

    override fun export(spans: Collection<SpanData>): CompletableResultCode =
        try {
            file.appendText(spans.joinToString("") { Json.write(encode(it)) + "\n" })
            failed = false
            CompletableResultCode.ofSuccess()
        } catch (e: IOException) {
            if (!failed) log.error("traces cannot be written to {}: {}", file, e.message)
            failed = true
            CompletableResultCode.ofFailure()
        }

    private fun encode(span: SpanData) =
        Json.obj {
            put("trace", span.traceId)
            put("span", span.spanId)
            if (span.parentSpanContext.isValid) put("parent", span.parentSpanId)
            put("name", span.name)
            put("start_ms", span.startEpochNanos / NANOS_PER_MILLI)
            put("ms", (span.endEpochNanos - span.startEpochNanos) / NANOS_PER_MILLI)
            val attributes = putObject("attributes")
            span.attributes.forEach { key, value -> attributes.put(key.key, value.toString()) }
            val events = putArray("events")
            span.events.forEach { event ->
                val entry = events.addObject().put("at_ms", event.epochNanos / NANOS_PER_MILLI).put("name", event.name)
                event.attributes.forEach { key, value -> entry.put(key.key, value.toString()) }
            }
        }

    override fun flush(): CompletableResultCode = CompletableResultCode.ofSuccess()

    override fun shutdown(): CompletableResultCode = CompletableResultCode.ofSuccess()

    private companion object {
        const val NANOS_PER_MILLI = 1_000_000L
    }
}
