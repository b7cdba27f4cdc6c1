package burlridge.fleet

import burlridge.app.Context
import burlridge.intake.JobSpec
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

    fun wanted(): List<Pair<JobSpec, Int>> {
        val now = ledger.jobs.values.filter { it.ending == null }
        now.forEach { if (seen.add(it.spec.id)) remember(it.spec) }
        val waiting = now.map { it.spec to it.waiting }.filter { it.second > 0 }
        return waiting.sortedBy { it.first.priority } + headroom()
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

    /** For lanes with a wait aim, room for a job of the usual size. */
    private fun headroom(): List<Pair<JobSpec, Int>> =
        waits.mapNotNull { aim ->
            val list = recent[aim.lane]?.takeIf { it.isNotEmpty() } ?: return@mapNotNull null
            list.last() to Math.ceil(list.map { it.tasks }.average() * ctx.settings.operator.headroom).toInt()
        }

    private companion object {
        const val REMEMBERED = 10
    }
}
