package burlridge.app

import burlridge.core.logLine
import burlridge.json.Json
import com.fasterxml.jackson.databind.JsonNode
import io.opentelemetry.sdk.common.CompletableResultCode
import io.opentelemetry.sdk.trace.data.SpanData
import io.opentelemetry.sdk.trace.export.SpanExporter
import org.slf4j.LoggerFactory
import java.io.File
import java.io.IOException

/** Appends each finished span to [file] as one line of JSON. If the disk is full or read-only, traces are lost and one line is logged. */
internal class SpanFileExporter(
    private val file: File,
) : SpanExporter {
    private val log = LoggerFactory.getLogger("burlridge")

    /** Whether the last write failed, so that consecutive failures are logged only once. */
    private var hasFailed = false

    override fun export(spans: Collection<SpanData>): CompletableResultCode =
        try {
            file.appendText(spans.joinToString("") { Json.write(encode(it)) + "\n" })
            hasFailed = false
            CompletableResultCode.ofSuccess()
        } catch (e: IOException) {
            if (!hasFailed) log.error(logLine("trace file not writable", arrayOf("file" to file, "reason" to e.message)))
            hasFailed = true
            CompletableResultCode.ofFailure()
        }

    private fun encode(span: SpanData): JsonNode =
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
