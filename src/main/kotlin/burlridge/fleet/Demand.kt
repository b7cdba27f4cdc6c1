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

    /** A task that must start within a report interval can wait for no machine: whatever can be had is kept. */
    val lavish: Boolean = waits.any { (it.withinS ?: 0.0) < ctx.settings.workers.reportS }

    fun wanted(): List<Pair<JobSpec, Int>> {
        val now = ledger.jobs.values.filter { it.ending == null }
        now.forEach { if (seen.add(it.spec.id)) remember(it.spec) }
        val waiting = now.map { it.spec to it.spec.tasks - it.done.cardinality() - it.claims.size }.filter { it.second > 0 }
        return waiting.sortedBy { it.first.priority } + headroom()
    }

    private fun remember(spec: JobSpec) {
        val list = recent.getOrPut(spec.lane) { ArrayDeque() }
        list.addLast(spec)
        if (list.size > REMEMBERED) list.removeFirst()
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
