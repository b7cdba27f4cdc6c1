package burlridge.worker

import burlridge.app.Json
import burlridge.intent.Claim
import burlridge.intent.Ledger
import burlridge.intent.Standing
import com.fasterxml.jackson.databind.JsonNode
import com.fasterxml.jackson.databind.node.ArrayNode

/** What the answer to a report tells its worker to do. */
internal class Orders(
    private val ledger: Ledger,
    private val nextToken: () -> Long,
) {
    /** Every task that has no business on [machine] any more is halted, and again until it is gone. */
    fun halts(
        machine: Machine,
        orders: ArrayNode,
    ) {
        for (report in machine.reported.values) {
            if (report.exited) continue
            val claim =
                ledger.claims.byMachine[machine.id]
                    ?.get(report.piece)
                    ?.takeIf { it.run == report.run }
            when {
                claim == null || withdrawn(claim) -> {
                    orders.add(order("halt", report.piece, report.run, 0.0))
                }

                // The tasks of a gang that saves are all told at the same time, by commands.
                claim.stopGraceS != null && report.standing != "saving" && !(savesAsGang(claim)) -> {
                    orders.add(order("halt", report.piece, report.run, claim.stopGraceS))
                }
            }
        }
    }

    /** An exited task is forgotten once its end is durable, and only while no start of it can still be on its way. */
    fun reaps(
        machine: Machine,
        orders: ArrayNode,
    ) {
        if (machine.commanding || machine.echoed <= machine.openToken) return
        for (report in machine.reported.values) {
            if (!report.exited) continue
            val name = report.piece.substringBefore('/')
            val task = report.piece.substringAfter('/').toIntOrNull() ?: continue
            val job = ledger.jobs[name]
            if (job != null && report.cause == "done" && !job.durable.get(task)) {
                ledger.markDone(job, task)
                continue
            }
            val claim = ledger.claims.byMachine[machine.id]?.get(report.piece)
            if (claim != null && claim.run == report.run) continue
            // A repeat of the start may still come, and after the reap it would count as new. One that is done ends at once
            // again; any other must first be void, for it may run elsewhere by then, or be cancelled.
            val harmless = report.cause == "done" && (job != null || ledger.end(name)?.standing == Standing.DONE)
            if (!harmless && machine.echoed <= machine.runToken) {
                if (machine.token <= machine.runToken) machine.token = nextToken()
                continue
            }
            orders.add(order("reap", report.piece, report.run))
        }
    }

    /** Its job is over, or its user has asked to cancel it. */
    fun withdrawn(claim: Claim): Boolean = ledger.jobs[claim.job]?.let { it.ending == Standing.WITHDRAWN } ?: true

    /** The tasks of a gang that saves are all told by commands, at the same time. */
    fun savesAsGang(claim: Claim): Boolean = (claim.stopGraceS ?: 0.0) > 0 && ledger.jobs[claim.job]?.spec?.gang == true

    fun order(
        verb: String,
        piece: String,
        run: Int,
        graceS: Double? = null,
    ): JsonNode =
        Json.obj {
            put("verb", verb)
            put("piece", piece)
            put("try", run)
            graceS?.let { put("windDownS", it) }
        }
}
