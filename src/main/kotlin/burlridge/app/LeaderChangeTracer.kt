package burlridge.app

import burlridge.core.Effect
import burlridge.failover.LeaderChangeEvent
import burlridge.failover.Liveness
import io.opentelemetry.api.common.AttributeKey
import io.opentelemetry.api.common.Attributes
import io.opentelemetry.api.trace.Span
import io.opentelemetry.context.Context
import io.opentelemetry.sdk.trace.SdkTracerProvider
import io.opentelemetry.sdk.trace.export.SimpleSpanProcessor
import java.io.File
import java.util.concurrent.TimeUnit

/**
 * Appends OpenTelemetry traces of leader changes to a local file. A change is one trace: its root span `leader change` begins with a
 * suspicion, or with the election if there was none, and ends when all workers have been answered; `read rows` and `first start` are its
 * children. A handover offered by this member is a separate trace.
 */
internal class LeaderChangeTracer(
    file: File,
    private val member: String,
) {
    private val provider =
        SdkTracerProvider
            .builder()
            .addSpanProcessor(SimpleSpanProcessor.create(SpanFileExporter(file)))
            .build()
    private val tracer = provider.get("burlridge.failover")

    /** The open span of each kind; null if there is none. */
    private var leaderChange: Span? = null
    private var readRows: Span? = null
    private var firstStart: Span? = null
    private var handover: Span? = null

    /** Records an event of a leader change; events of other types are ignored. */
    fun record(trace: Effect.Trace) {
        val wallMillis = trace.wallMillis
        when (val event = trace.event) {
            is LeaderChangeEvent.LivenessChanged -> onLivenessChanged(event, wallMillis)
            is LeaderChangeEvent.HandoverBegan -> onHandoverBegan(event, wallMillis)
            is LeaderChangeEvent.HandoverEnded -> onHandoverEnded(event, wallMillis)
            is LeaderChangeEvent.Elected -> onElected(event, wallMillis)
            is LeaderChangeEvent.RowsRead -> onRowsRead(event, wallMillis)
            is LeaderChangeEvent.FirstTaskStart -> firstStart = firstStart?.end(wallMillis)
            is LeaderChangeEvent.AllWorkersAnswered -> onAllWorkersAnswered(event, wallMillis)
            is LeaderChangeEvent.Deposed -> onDeposed(event, wallMillis)
            else -> Unit
        }
    }

    private fun onLivenessChanged(
        event: LeaderChangeEvent.LivenessChanged,
        wallMillis: Long,
    ) {
        val change = event.change
        val attributes = Attributes.of(MEMBER, change.member, REASON, change.reason)
        if (change.current == Liveness.SUSPECTED && leaderChange == null) leaderChange = startSpan("leader change", wallMillis, null)
        leaderChange?.addEvent(change.current.label, attributes, wallMillis, TimeUnit.MILLISECONDS)
        // Alive again or failed, and this member was not elected: the suspicion was false, or another member takes over.
        if (change.current != Liveness.SUSPECTED && readRows == null) leaderChange = leaderChange?.end(wallMillis)
    }

    private fun onHandoverBegan(
        event: LeaderChangeEvent.HandoverBegan,
        wallMillis: Long,
    ) {
        handover?.end(wallMillis)
        handover = startSpan("handover", wallMillis, null).setAttribute(MEMBER, event.successor).setAttribute(REASON, event.reason)
    }

    private fun onHandoverEnded(
        event: LeaderChangeEvent.HandoverEnded,
        wallMillis: Long,
    ) {
        handover?.setAttribute(MEMBER, event.successor)?.setAttribute(OUTCOME, event.outcome)
        handover = handover?.end(wallMillis)
    }

    private fun onElected(
        event: LeaderChangeEvent.Elected,
        wallMillis: Long,
    ) {
        val root = leaderChange ?: startSpan("leader change", wallMillis, null)
        root.setAttribute(TERM, event.term).setAttribute(REASON, event.cause)
        leaderChange = root
        readRows = startSpan("read rows", wallMillis, root)
        firstStart = startSpan("first start", wallMillis, root)
    }

    private fun onRowsRead(
        event: LeaderChangeEvent.RowsRead,
        wallMillis: Long,
    ) {
        readRows?.setAttribute(ROWS, event.rows.toLong())?.setAttribute(FROM_REPLICA, event.fromReplica)
        readRows = readRows?.end(wallMillis)
    }

    private fun onAllWorkersAnswered(
        event: LeaderChangeEvent.AllWorkersAnswered,
        wallMillis: Long,
    ) {
        leaderChange?.setAttribute(MACHINES, event.workers.toLong())
        leaderChange = leaderChange?.end(wallMillis)
    }

    private fun onDeposed(
        event: LeaderChangeEvent.Deposed,
        wallMillis: Long,
    ) {
        leaderChange?.setAttribute(OUTCOME, "deposed: ${event.cause}")
        readRows = readRows?.end(wallMillis)
        firstStart = firstStart?.end(wallMillis)
        leaderChange = leaderChange?.end(wallMillis)
    }

    private fun startSpan(
        name: String,
        wallMillis: Long,
        parent: Span?,
    ): Span {
        val builder = tracer.spanBuilder(name).setStartTimestamp(wallMillis, TimeUnit.MILLISECONDS).setAttribute(OWN_NAME, member)
        if (parent == null) builder.setNoParent() else builder.setParent(Context.root().with(parent))
        return builder.startSpan()
    }

    /** Ends the span and returns null, the new value of the variable that held it. */
    private fun Span.end(wallMillis: Long): Span? {
        end(wallMillis, TimeUnit.MILLISECONDS)
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
