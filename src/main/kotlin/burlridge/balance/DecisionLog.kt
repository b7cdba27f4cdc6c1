package burlridge.balance

import burlridge.core.StepContext
import burlridge.json.Json
import com.fasterxml.jackson.databind.JsonNode

/** The latest decisions of this leader's term, the oldest dropped first; what operators read by `burlridge explain`. */
internal class DecisionLog(
    private val context: StepContext,
    private val most: Int,
) {
    private class Entry(
        val atMillis: Long,
        val decision: Decision,
    )

    private val entries = ArrayDeque<Entry>()

    /** Decisions of this term, those that were dropped included. */
    private var count = 0L
    private var sinceMillis = 0L

    fun clear() {
        entries.clear()
        count = 0
        sinceMillis = context.wallMillis
    }

    fun add(decision: Decision) {
        context.count(COUNTER + decision::class.java.simpleName)
        count++
        entries.addLast(Entry(context.wallMillis, decision))
        if (entries.size > most) entries.removeFirst()
    }

    /** Everything that is still known about the task or machine [subject], in the order of time. */
    fun explain(subject: String): JsonNode =
        Json.obj {
            put("member", context.settings.member)
            put("subject", subject)
            put("since_ms", sinceMillis)
            put("dropped", count - entries.size)
            putArray("decisions").also { list ->
                entries.filter { subject in it.decision.subjects }.forEach { entry ->
                    list
                        .addObject()
                        .put("at_ms", entry.atMillis)
                        .put("kind", entry.decision::class.java.simpleName)
                        .put("text", entry.decision.text)
                }
            }
        }

    private companion object {
        const val COUNTER = "balance.decisions."
    }
}
