package burlridge.balance

import burlridge.json.Json
import burlridge.store.Row
import com.fasterxml.jackson.databind.JsonNode

/** Why a task is moved. */
internal enum class MoveReason(
    val wireName: String,
) {
    DRAIN("drain"),

    /** The machine is hot, and the task is certain to end sooner elsewhere. */
    HOT("hot"),
    ;

    internal companion object {
        fun of(wireName: String): MoveReason? = entries.firstOrNull { it.wireName == wireName }
    }
}

/** The decision to stop one attempt of a task or a whole gang so that it continues elsewhere. Identified by job, task and attempt. */
internal data class Move(
    val job: String,
    val task: Int,
    val attempt: Int,
    val team: String,
    val jobClass: String,
    val from: String,
    /** Machine on which capacity is reserved; null if the task waits in the queue like any other. */
    val to: String?,
    /** Number of moves of the task so far, including this one. */
    val moveNumber: Int,
    /** Number of tasks that this move stops. */
    val taskCount: Int,
    val reason: MoveReason = MoveReason.DRAIN,
) {
    /** Name of the task, `<job>/<task>`. */
    val taskName: String get() = "$job/$task"

    /** Whether this move stops a whole gang. */
    val isGang: Boolean get() = task == WHOLE_GANG

    internal companion object {
        /** Task number that stands for all tasks of a gang, which are stopped together. */
        const val WHOLE_GANG: Int = -1
    }
}

/**
 * Moves that were planned together and are stored in one row. The row is kept until all their jobs have ended, so that every leader counts
 * how often a task has been moved, and none moves it too often.
 */
internal class MoveBatch(
    val key: String,
    val plannedMillis: Long,
    val moves: List<Move>,
) {
    /** Whether the row is known to be written. */
    var isDurable: Boolean = false

    /** Whether the row is being deleted. */
    var isBeingRemoved: Boolean = false

    /** Encodes the value of the row. */
    fun encode(): JsonNode =
        Json.obj {
            put("st", "planned")
            put("at", plannedMillis)
            val jobs = putObject("jobs")
            moves.groupBy { it.job }.forEach { (id, ofJob) ->
                val row = jobs.putArray(id)
                row.add(ofJob.first().team).add(ofJob.first().jobClass)
                val list = row.addArray()
                ofJob.forEach {
                    list
                        .addArray()
                        .add(it.task)
                        .add(it.attempt)
                        .add(it.from)
                        .add(it.to)
                        .add(it.moveNumber)
                        .add(it.taskCount)
                        .add(it.reason.wireName)
                }
            }
        }

    internal companion object {
        /** Key prefix of the rows of moves. */
        const val PREFIX: String = "move/"

        /** Upper bound of the encoded size of a move and its job's entry in a row, in bytes. */
        const val BYTES_PER_MOVE: Int = 330

        // Indexes of a move's fields in its JSON array, in the order in which encode adds them.
        private const val TASK = 0
        private const val ATTEMPT = 1
        private const val FROM = 2
        private const val TO = 3
        private const val COUNT = 4
        private const val TASKS = 5
        private const val REASON = 6

        /** Decodes [row]; null if it is damaged or written by an unknown version. */
        fun decode(row: Row): MoveBatch? {
            val value = row.value
            if (!value.path("at").isIntegralNumber || !value.path("jobs").isObject) return null
            val moves =
                value.path("jobs").properties().flatMap { (id, entry) ->
                    val (team, jobClass, list) = listOf(entry.path(0), entry.path(1), entry.path(2))
                    if (!team.isTextual || !jobClass.isTextual || !list.isArray) return null
                    list.map { decode(id, team.asText(), jobClass.asText(), it) ?: return null }
                }
            return MoveBatch(row.key, value.path("at").asLong(), moves).also { it.isDurable = true }
        }

        private fun decode(
            job: String,
            team: String,
            jobClass: String,
            entry: JsonNode,
        ): Move? {
            val numbers = listOf(TASK, ATTEMPT, COUNT, TASKS).associateWith { entry.path(it) }
            if (numbers.values.any { !it.isInt } || !entry.path(FROM).isTextual) return null
            val reason = MoveReason.of(entry.path(REASON).asText()) ?: return null
            val move =
                Move(
                    job = job,
                    task = numbers.getValue(TASK).asInt(),
                    attempt = numbers.getValue(ATTEMPT).asInt(),
                    team = team,
                    jobClass = jobClass,
                    from = entry.path(FROM).asText(),
                    to = entry.path(TO).takeIf { it.isTextual }?.asText(),
                    moveNumber = numbers.getValue(COUNT).asInt(),
                    taskCount = numbers.getValue(TASKS).asInt(),
                    reason = reason,
                )
            return move.takeIf { it.task >= Move.WHOLE_GANG && it.attempt > 0 && it.moveNumber > 0 && it.taskCount > 0 }
        }
    }
}
