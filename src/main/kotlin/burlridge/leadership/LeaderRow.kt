package burlridge.leadership

import burlridge.json.Json
import com.fasterxml.jackson.databind.JsonNode

/** The row that names the current leader. It is attached to the leader's lease and disappears when that lease expires. */
internal data class LeaderRow(
    val member: String,
    val term: Long,
) {
    /** The value of the row. */
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
