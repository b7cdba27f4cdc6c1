package burlridge.fleet

import burlridge.app.Context
import burlridge.intake.JobSpec
import burlridge.intent.Job
import burlridge.intent.Ledger

/** How many tasks want room now, and how many more should find room at once. */
internal class Demand(
    private val ctx: Context,
    private val ledger: Ledger,
) {
    private val waits = ctx.settings.objectives.filter { it.kind == "wait" && it.lane != null && it.withinS != null }
    private val recent = HashMap<String, ArrayDeque<JobSpec>>()
    private val seen = HashSet<String>()

    /**
     * Where no team is guaranteed anything, nobody counts what a team uses, and no aim speaks of money: whatever can be had is
     * kept. Guarantees are bought, so where there are some, machines are rented for work that is there or surely comes.
     */
    val lavish: Boolean =
        ctx.settings.teams.values
            .none { it.cpus > 0 || it.gpus > 0 }

    /** Tasks of one kind that want room, how long they may still wait for it, and how many like them have some already. */
    data class Need(
        val spec: JobSpec,
        val tasks: Int,
        val slackS: Double,
        val held: Int,
    )

    fun wanted(): List<Need> {
        val now = ledger.jobs.values.filter { it.ending == null }
        now.forEach { if (seen.add(it.spec.id)) remember(it.spec) }
        val held = HashMap<String, Int>()
        now.forEach { held.merge(it.spec.lane, it.claims.size, Int::plus) }
        val waiting = now.filter { it.waiting > 0 }.map { Need(it.spec, it.waiting, slackS(it), held[it.spec.lane] ?: 0) }
        return waiting.sortedBy { it.spec.priority } + headroom()
    }

    private fun remember(spec: JobSpec) {
        val list = recent.getOrPut(spec.lane) { ArrayDeque() }
        list.addLast(spec)
        if (list.size > REMEMBERED) list.removeFirst()
    }

    /** Types that some kind of recent job cannot do without: other jobs leave them alone while there is another way. */
    fun indispensable(types: Catalog): Set<String> =
        recent.values.mapNotNullTo(HashSet()) { list ->
            types
                .allowed(list.last())
                .singleOrNull()
                ?.name
        }

    /** How long the tasks of [job] may still wait by what the aims say of its lane; where they say nothing, not at all. */
    private fun slackS(job: Job): Double {
        val spec = job.spec
        val aims = ctx.settings.objectives.filter { it.lane == spec.lane }
        val startBy = aims.filter { it.kind == "wait" }.mapNotNull { it.withinS }
        val doneBy = aims.filter { it.kind == "finished" }.mapNotNull { it.withinS } + listOfNotNull(spec.deadlineS)
        val latest = (startBy + doneBy.map { it - spec.estimateS * LONG_RUN }).minOrNull() ?: 0.0
        return latest - (ctx.wallMs - job.submittedMs) / 1000.0
    }

    /** For lanes with a wait aim, room for a job of the usual size. */
    private fun headroom(): List<Need> =
        waits.mapNotNull { aim ->
            val list = recent[aim.lane]?.takeIf { it.isNotEmpty() } ?: return@mapNotNull null
            Need(list.last(), Math.ceil(list.map { it.tasks }.average() * ctx.settings.operator.headroom).toInt(), Double.MAX_VALUE, 0)
        }

    private companion object {
        const val REMEMBERED = 10

        /** Estimates are often wrong by half. */
        const val LONG_RUN = 1.5
    }
}
