package burlridge.worker

import burlridge.json.JsonStream
import burlridge.json.booleanOrNull
import burlridge.json.forEachField
import burlridge.json.forEachObject
import burlridge.json.integerOrNull
import burlridge.json.numberOrNull
import burlridge.json.textOrNull
import burlridge.settings.Endpoint
import com.fasterxml.jackson.core.JsonParser

/** State of a machine and of all tasks on it, sent by its worker. A field that is absent or has the wrong type gets its default value. */
internal data class Heartbeat(
    val machine: String,
    val address: Endpoint? = null,
    val type: String? = null,
    val zone: String? = null,
    val spot: Boolean? = null,
    /** Agent epoch of the worker, which begins a new one, without any tasks, when its lease expires or it restarts. */
    val agentEpoch: Long = 0,
    /** Sequence number within the agent epoch; a higher one is newer. */
    val sequence: Long = 0,
    /** Highest fencing token that the worker has seen. */
    val token: Long = 0,
    /** Seconds until the cloud reclaims the machine; null if there is no reclaim notice. */
    val noticeSeconds: Double? = null,
    val tasks: Map<String, TaskStatus> = emptyMap(),
) {
    internal companion object {
        /**
         * Decodes [body] with the streaming parser, without building a tree, since heartbeats are most of the input that a leader reads.
         * Returns null unless [body] is exactly one JSON object that names a machine.
         */
        fun decode(body: String): Heartbeat? = JsonStream.decodeObject(body, ::readHeartbeat)
    }
}

/** Reads the fields of a heartbeat. If a field occurs twice, the last occurrence wins. */
private fun readHeartbeat(parser: JsonParser): Heartbeat? {
    var machine = ""
    var address: Endpoint? = null
    var type: String? = null
    var zone: String? = null
    var spot: Boolean? = null
    var agentEpoch = 0L
    var sequence = 0L
    var token = 0L
    var noticeSeconds: Double? = null
    var tasks: Map<String, TaskStatus> = emptyMap()
    parser.forEachField {
        when (it) {
            "drover" -> machine = parser.nameOrNull().orEmpty()
            "addr" -> address = parser.textOrNull()?.let(Endpoint::parseOrNull)
            "breed" -> type = parser.nameOrNull()
            "yard" -> zone = parser.nameOrNull()
            "loaners" -> spot = parser.booleanOrNull()
            "stint" -> agentEpoch = parser.integerOrNull() ?: 0L
            "tally" -> sequence = parser.integerOrNull() ?: 0L
            "baton" -> token = parser.integerOrNull() ?: 0L
            "recallS" -> noticeSeconds = parser.numberOrNull()
            "pieces" -> tasks = readTasks(parser)
            else -> parser.skipChildren()
        }
    }
    return Heartbeat(machine, address, type, zone, spot, agentEpoch, sequence, token, noticeSeconds, tasks).takeIf { machine.isNotEmpty() }
}

private fun readTasks(parser: JsonParser): Map<String, TaskStatus> {
    val found = LinkedHashMap<String, TaskStatus>()
    parser.forEachObject { readTask(parser).let { found[it.key] = it } }
    return found
}

/** Maximum length of a name, as in submissions: names of machines and tasks are kept in memory and become parts of rows. */
private const val MAX_NAME_LENGTH = 200

/** As [textOrNull], but null also for a text that is too long for a name. */
private fun JsonParser.nameOrNull(): String? = textOrNull()?.takeIf { it.length <= MAX_NAME_LENGTH }

/** State of a task for which the worker reports none. */
private val NO_STATE = TaskState.of("")

private fun readTask(parser: JsonParser): TaskStatus {
    var task = ""
    var attempt = 0
    var state = NO_STATE
    var exitReason: ExitReason? = null
    var saved = false
    parser.forEachField {
        when (it) {
            "piece" -> task = parser.nameOrNull().orEmpty()
            "try" -> attempt = (parser.integerOrNull() ?: 0L).toInt()
            "standing" -> state = TaskState.of(parser.textOrNull().orEmpty())
            "cause" -> exitReason = parser.textOrNull()?.let(ExitReason::of)
            "kept" -> saved = parser.booleanOrNull() ?: false
            else -> parser.skipChildren()
        }
    }
    return TaskStatus(task, attempt, state, exitReason, saved)
}
