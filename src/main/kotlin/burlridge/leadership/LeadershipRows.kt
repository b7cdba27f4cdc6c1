package burlridge.leadership

import burlridge.json.Json
import burlridge.store.Change
import burlridge.store.Condition
import burlridge.store.Transaction
import com.fasterxml.jackson.databind.JsonNode

/** The row that names the current leader. It is attached to the leader's lease and disappears when that lease expires. */
internal data class LeaderRow(
    val member: String,
    val term: Long,
) {
    fun encode(): JsonNode =
        Json.obj {
            put("member", member)
            put("term", term)
        }

    internal companion object {
        const val KEY: String = "leader"

        fun decode(value: JsonNode): LeaderRow = LeaderRow(value.path("member").asText(), value.path("term").asLong())
    }
}

/**
 * The row that counts the terms. It outlives every leader; its modification revision is the fencing token of the term that it names.
 */
internal data class TermRow(
    val term: Long,
    /** The member that leads [term]; null where the row does not say. */
    val leader: String?,
    /** Who led before [term], with the wall-clock time in milliseconds at which each one's term ended; null where the row does not say. */
    val formerLeaders: Map<String, Long>?,
) {
    fun encode(): JsonNode =
        Json.obj {
            put("n", term)
            leader?.let { put("by", it) }
            formerLeaders?.let { leaders ->
                val field = putObject("led")
                leaders.forEach { (member, endedMillis) -> field.put(member, endedMillis) }
            }
        }

    internal companion object {
        const val KEY: String = "term"

        fun decode(value: JsonNode): TermRow {
            val formerLeaders = value.path("led").takeIf { it.isObject }
            return TermRow(
                term = value.path("n").asLong(),
                leader = value.path("by").takeIf { it.isTextual }?.asText(),
                formerLeaders = formerLeaders?.properties()?.associate { (member, endedMillis) -> member to endedMillis.asLong() },
            )
        }
    }
}

/** The revisions at which the rows of leadership were read; 0 for a row that does not exist. */
internal data class LeadershipRevisions(
    val leaderRow: Long,
    val termRow: Long,
)

/** The one transaction by which a term begins: both rows are written, on condition that neither has changed since [expected]. */
internal fun beginTermTransaction(
    expected: LeadershipRevisions,
    term: Long,
    leader: String,
    leaseId: Long,
    formerLeaders: Map<String, Long>,
): Transaction =
    Transaction(
        listOf(Condition(LeaderRow.KEY, expected.leaderRow), Condition(TermRow.KEY, expected.termRow)),
        listOf(
            Change.Put(LeaderRow.KEY, LeaderRow(leader, term).encode(), leaseId),
            Change.Put(TermRow.KEY, TermRow(term, leader, formerLeaders).encode()),
        ),
    )
