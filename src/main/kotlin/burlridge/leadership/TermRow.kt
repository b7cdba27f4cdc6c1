package burlridge.leadership

import burlridge.json.Json
import com.fasterxml.jackson.databind.JsonNode

/**
 * The row that counts the terms. It outlives every leader, since it is not attached to a lease. Its modification revision is the fencing
 * token of the term that it names.
 */
internal data class TermRow(
    val term: Long,
    /** The member that leads [term]; null if the row does not name it. */
    val leader: String?,
    /** Leaders before [term], with the wall-clock time in milliseconds at which the term of each ended; null if the row has no list. */
    val formerLeaders: Map<String, Long>?,
) {
    /** The value of the row. */
    fun encode(): JsonNode =
        Json.obj {
            put("n", term)
            leader?.let { put("by", it) }
            formerLeaders?.let { leaders ->
                val field = putObject("led")
                leaders.forEach { (member, termEndMillis) -> field.put(member, termEndMillis) }
            }
        }

    internal companion object {
        const val KEY: String = "term"

        fun decode(value: JsonNode): TermRow {
            val formerLeaders = value.path("led").takeIf { it.isObject }
            return TermRow(
                term = value.path("n").asLong(),
                leader = value.path("by").takeIf { it.isTextual }?.asText(),
                formerLeaders = formerLeaders?.properties()?.associate { (member, termEndMillis) -> member to termEndMillis.asLong() },
            )
        }
    }
}
