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

    /** Tasks of one kind that want room; [pressing] if they cannot wait for cheap machines to fall free. */
    data class Need(
        val spec: JobSpec,
        val tasks: Int,
        val pressing: Boolean,
    )

    fun wanted(types: Catalog): List<Need> {
        val now = ledger.jobs.values.filter { it.ending == null }
        now.forEach { if (seen.add(it.spec.id)) remember(it.spec) }
        val waiting = now.filter { it.waiting > 0 }.map { Need(it.spec, it.waiting, pressing(it, types)) }
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

    /** Whether a machine asked for now is up only just in time for what the aims say of this job's lane. */
    private fun pressing(
        job: Job,
        types: Catalog,
    ): Boolean {
        val spec = job.spec
        val aims = ctx.settings.objectives.filter { it.lane == spec.lane }
        val startBy = aims.filter { it.kind == "wait" }.mapNotNull { it.withinS }
        val doneBy = aims.filter { it.kind == "finished" }.mapNotNull { it.withinS } + listOfNotNull(spec.deadlineS)
        val latest = (startBy + doneBy.map { it - spec.estimateS * LONG_RUN }).minOrNull() ?: return true
        val boot = types.allowed(spec).minOfOrNull { it.bootS } ?: 0.0
        return (ctx.wallMs - job.submittedMs) / 1000.0 > latest - boot * LONG_BOOT
    }

    /** For lanes with a wait aim, room for a job of the usual size. */
    private fun headroom(): List<Need> =
        waits.mapNotNull { aim ->
            val list = recent[aim.lane]?.takeIf { it.isNotEmpty() } ?: return@mapNotNull null
            Need(list.last(), Math.ceil(list.map { it.tasks }.average() * ctx.settings.operator.headroom).toInt(), pressing = false)
        }

    private companion object {
        const val REMEMBERED = 10

        /** Estimates are often wrong by half, and boots take up to one and a half times as long as usual. */
        const val LONG_RUN = 1.5
        const val LONG_BOOT = 1.5
    }
}
