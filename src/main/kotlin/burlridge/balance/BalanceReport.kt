package burlridge.balance

import burlridge.json.Json
import com.fasterxml.jackson.databind.JsonNode
import com.fasterxml.jackson.databind.node.ObjectNode

/** One drain, with its progress if that is known. */
internal class DrainReport(
    private val drain: Drain,
    private val progress: DrainProgress?,
) {
    /** Adds the fields of this report to the JSON object [to]. */
    fun encode(to: ObjectNode) {
        drain.target
            .encode(to)
            .put("state", drain.state.wireName)
            .put("cause", drain.cause.wireName)
            .put("requested_ms", drain.requestedMillis)
            .put("changed_ms", drain.changedMillis)
        if (progress == null) return
        to
            .put("machines_left", progress.machineCount)
            .put("tasks_left", progress.tasksByDelay.values.sum())
        val waitsFor = to.putObject("waits_for")
        progress.tasksByDelay.forEach { (reason, count) -> waitsFor.put(reason.text, count) }
    }
}

/** The state of the leader's drains and moves, for `burlridge status`. */
internal class BalanceReport(
    private val leader: String,
    private val drains: List<DrainReport>,
    /** Machines with a spot reclaim notice. */
    private val machinesWithReclaimNotice: List<String>,
    /** The slowdown of each hot machine. */
    private val hotMachines: Map<String, Double>,
    private val moves: List<Move>,
    private val tasksMovedInWindow: Int,
    private val movesPerMinute: Int,
    private val damagedRows: List<String>,
) {
    /** Encodes this report as JSON. */
    fun encode(): JsonNode =
        Json.obj {
            put("leader", leader)
            putArray("drains").also { list -> drains.forEach { it.encode(list.addObject()) } }
            putArray("machines_with_notice").also { list -> machinesWithReclaimNotice.forEach(list::add) }
            val slowdowns = putObject("hot_machines")
            hotMachines.forEach { (machine, slowdown) -> slowdowns.put(machine, slowdown) }
            putArray("moves").also { list -> moves.take(MAX_LISTED_MOVES).forEach { encode(it, list.addObject()) } }
            put("open_moves", moves.size)
            put("moved_lately", tasksMovedInWindow)
            put("moves_per_minute", movesPerMinute)
            putArray("damaged_rows").also { list -> damagedRows.forEach(list::add) }
        }

    private fun encode(
        move: Move,
        to: ObjectNode,
    ) {
        to
            .put("task", if (move.isGang) "${move.job} (gang of ${move.taskCount})" else move.taskName)
            .put("run", move.attempt)
            .put("from", move.from)
            .put("to", move.to)
            .put("time", move.moveNumber)
            .put("reason", move.reason.wireName)
    }

    private companion object {
        /** Further moves are only counted. */
        const val MAX_LISTED_MOVES = 50
    }
}
