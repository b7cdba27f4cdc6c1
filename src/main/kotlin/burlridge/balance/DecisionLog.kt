package burlridge.balance

import burlridge.core.StepContext
import burlridge.json.Json
import com.fasterxml.jackson.databind.JsonNode

/** Keeps the latest [maxEntries] decisions of this leader's term, for `burlridge explain`; the oldest are dropped first. */
internal class DecisionLog(
    private val context: StepContext,
    private val maxEntries: Int,
) {
    private class Entry(
        val atMillis: Long,
        val decision: Decision,
    )

    private val entries = ArrayDeque<Entry>()

    /** Number of decisions in this term, including those dropped. */
    private var totalCount = 0L

    /** Wall-clock time at which the log was last cleared, in milliseconds. */
    private var sinceMillis = 0L

    /** Clears all state; called when a term begins or ends. */
    fun clear() {
        entries.clear()
        totalCount = 0
        sinceMillis = context.wallMillis
    }

    /** Adds [decision] and increments the counter of its kind. */
    fun add(decision: Decision) {
        context.count(COUNTER + decision.kind)
        totalCount++
        entries.addLast(Entry(context.wallMillis, decision))
        if (entries.size > maxEntries) entries.removeFirst()
    }

    /** Returns all kept decisions about the task or machine [subject], oldest first, as JSON. */
    fun explain(subject: String): JsonNode =
        Json.obj {
            put("member", context.settings.member)
            put("subject", subject)
            put("since_ms", sinceMillis)
            put("dropped", totalCount - entries.size)
            putArray("decisions").also { list ->
                entries.filter { subject in it.decision.subjects }.forEach { entry ->
                    list
                        .addObject()
                        .put("at_ms", entry.atMillis)
                        .put("kind", entry.decision.kind)
                        .put("text", entry.decision.text)
                }
            }
        }

    private companion object {
        const val COUNTER = "balance.decisions."
    }
}
