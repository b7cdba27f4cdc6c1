package burlridge.leadership

import burlridge.json.Json
import com.fasterxml.jackson.databind.JsonNode

/** The row in which a member records the version that it runs. */
internal data class MemberVersionRow(
    val version: Int,
) {
    /** The value of the row. */
    fun encode(): JsonNode = Json.obj { put("v", version) }

    internal companion object {
        const val PREFIX: String = "version/"

        fun decode(value: JsonNode): MemberVersionRow = MemberVersionRow(value.path("v").asInt())
    }
}
