package burlridge.fleet

import burlridge.json.JsonStream
import burlridge.json.booleanOrNull
import burlridge.json.forEachField
import burlridge.json.forEachObject
import burlridge.json.numberOrNull
import burlridge.json.textOrNull
import burlridge.settings.Endpoint
import com.fasterxml.jackson.core.JsonParser
import com.fasterxml.jackson.core.JsonToken

/** A machine as the cloud's list describes it. Fields that are absent or of another type have their default. */
internal data class ListedMachine(
    val id: String,
    val address: Endpoint? = null,
    val type: String? = null,
    val zone: String? = null,
    val spot: Boolean? = null,
    /** The state, in the spelling of the cloud; only [STARTING] and [FAILED] have an effect. */
    val state: String = "",
    /** Seconds from the rental request to the time that the list describes. */
    val ageSeconds: Double = 0.0,
) {
    internal companion object {
        const val STARTING: String = "starting"
        const val FAILED: String = "failed"
    }
}

/** One page of the cloud's list of machines. */
internal data class MachinePage(
    val machines: List<ListedMachine>,
    /** Whether more machines follow. */
    val isTruncated: Boolean,
) {
    internal companion object {
        /** Returns null if [body] is not such a page. */
        fun decode(body: String): MachinePage? = JsonStream.decodeObject(body, ::readPage)
    }
}

/** Reads one page. If a field occurs twice, the last one counts. */
private fun readPage(parser: JsonParser): MachinePage? {
    var machines: List<ListedMachine>? = null
    var truncated = false
    parser.forEachField {
        when (it) {
            "drovers" -> machines = readMachines(parser)
            "truncated" -> truncated = parser.booleanOrNull() ?: false
            else -> parser.skipChildren()
        }
    }
    return machines?.let { MachinePage(it, truncated) }
}

private fun readMachines(parser: JsonParser): List<ListedMachine>? {
    if (parser.currentToken() != JsonToken.START_ARRAY) {
        parser.skipChildren()
        return null
    }
    val found = ArrayList<ListedMachine>()
    parser.forEachObject { found += readMachine(parser) }
    return found
}

private fun readMachine(parser: JsonParser): ListedMachine {
    var id = ""
    var address: Endpoint? = null
    var type: String? = null
    var zone: String? = null
    var spot: Boolean? = null
    var state = ""
    var ageSeconds = 0.0
    parser.forEachField {
        when (it) {
            "id" -> id = parser.textOrNull().orEmpty()
            "addr" -> address = parser.textOrNull()?.let(Endpoint::parseOrNull)
            "breed" -> type = parser.textOrNull()
            "yard" -> zone = parser.textOrNull()
            "loaners" -> spot = parser.booleanOrNull()
            "standing" -> state = parser.textOrNull().orEmpty()
            "ageS" -> ageSeconds = parser.numberOrNull() ?: 0.0
            else -> parser.skipChildren()
        }
    }
    return ListedMachine(id, address, type, zone, spot, state, ageSeconds)
}
