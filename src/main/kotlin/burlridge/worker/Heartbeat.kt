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

/** A worker's report of its machine and of all tasks on it. Fields that are absent or of another type have their default. */
internal data class Heartbeat(
    val machine: String,
    val address: Endpoint? = null,
    val type: String? = null,
    val zone: String? = null,
    val spot: Boolean? = null,
    /** Counts the sessions of the worker: it begins a new one, without any tasks, when its lease has expired or it restarts. */
    val agentEpoch: Long = 0,
    /** The number of the message within its agent epoch; a larger one is newer. */
    val sequence: Long = 0,
    /** The highest fencing token that the worker has seen. */
    val token: Long = 0,
    /** Seconds until the cloud takes the machine back; null without such a notice. */
    val noticeSeconds: Double? = null,
    val tasks: Map<String, TaskStatus> = emptyMap(),
) {
    internal companion object {
        /**
         * Decodes [body] from the parser's events, without a tree: heartbeats are most of what a leader reads. Null for anything but
         * one JSON object that names a machine.
         */
        fun decode(body: String): Heartbeat? = JsonStream.decodeObject(body, ::readHeartbeat)
    }
}

/** Where a field occurs twice, the last one counts. */
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
            "drover" -> machine = parser.textOrNull().orEmpty()
            "addr" -> address = parser.textOrNull()?.let(Endpoint::parseOrNull)
            "breed" -> type = parser.textOrNull()
            "yard" -> zone = parser.textOrNull()
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

/** The state of a task whose worker names none. */
private val NO_STATE = TaskState.of("")

private fun readTask(parser: JsonParser): TaskStatus {
    var task = ""
    var attempt = 0
    var state = NO_STATE
    var exitReason: ExitReason? = null
    var saved = false
    parser.forEachField {
        when (it) {
            "piece" -> task = parser.textOrNull().orEmpty()
            "try" -> attempt = (parser.integerOrNull() ?: 0L).toInt()
            "standing" -> state = TaskState.of(parser.textOrNull().orEmpty())
            "cause" -> exitReason = parser.textOrNull()?.let(ExitReason::of)
            "kept" -> saved = parser.booleanOrNull() ?: false
            else -> parser.skipChildren()
        }
    }
    return TaskStatus(task, attempt, state, exitReason, saved)
}
