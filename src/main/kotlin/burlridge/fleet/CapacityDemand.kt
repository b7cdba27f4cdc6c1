package burlridge.fleet

import burlridge.allocation.Job
import burlridge.allocation.JobRegistry
import burlridge.core.StepContext
import burlridge.job.JobSpec
import burlridge.job.Priority

/** How many tasks want room now, and how many more should find room at once. */
internal class CapacityDemand(
    private val context: StepContext,
    private val registry: JobRegistry,
) {
    private val waits = context.settings.objectives.filter { it.kind == "wait" && it.jobClass != null && it.withinSeconds != null }
    private val recent = HashMap<String, ArrayDeque<Job>>()
    private val seen = HashSet<String>()

    /**
     * Where no team is guaranteed anything, nobody counts what a team uses, and no aim speaks of money: whatever can be had is
     * kept. Guarantees are bought, so where there are some, machines are rented for work that is there or surely comes.
     */
    val keepsAllMachines: Boolean =
        context.settings.teams.values
            .none { it.cpus > 0 || it.gpus > 0 }

    /** Tasks of one kind that want room, how long they may still wait for it, and how many like them have some already. */
    data class Need(
        val spec: JobSpec,
        val tasks: Int,
        val slackSeconds: Double,
        val held: Int,
    )

    /** Takes note of the jobs there are, so that what comes can be guessed from what came. */
    fun observe() {
        registry.jobs.values.forEach { if (!it.isEnding && seen.add(it.spec.id)) remember(it) }
        // A job that is over does not come again.
        if (seen.size > MOST_SEEN && seen.size > registry.jobs.size * 2) seen.retainAll(registry.jobs.keys)
    }

    fun wanted(types: Catalog): List<Need> {
        val now = registry.jobs.values.filter { !it.isEnding }
        val held = HashMap<String, Int>()
        now.forEach { held.merge(it.spec.jobClass, it.allocations.size, Int::plus) }
        val waiting =
            now.filter { it.unallocatedCount > 0 }.map {
                Need(
                    it.spec,
                    it.unallocatedCount,
                    slackSeconds(it),
                    held[it.spec.jobClass] ?: 0,
                )
            }
        // In the order in which placement gives room away: what is kept for gangs is no room for arrays.
        val (gangs, arrays) = waiting.sortedBy { it.spec.priority }.partition { it.spec.gang }
        return gangs + expectedGangs(types) + arrays + headroom()
    }

    /**
     * Room for the gangs that come while a machine boots, or where machines are kept anyway while others fall free; and two
     * machines for each job class that is to start at once and of which nothing has come yet.
     */
    fun expectedGangs(types: Catalog): List<Need> {
        if (context.settings.workers.gang == null) return emptyList()
        val cheapest = types.types.values.minByOrNull { it.price } ?: return emptyList()
        val held = HashMap<String, Int>()
        registry.jobs.values.forEach {
            if (it.spec.gang &&
                !it.isEnding
            ) {
                held.merge(it.spec.jobClass, it.allocations.size, Int::plus)
            }
        }
        return waits.distinctBy { it.jobClass }.mapNotNull { aim ->
            val list = recent[aim.jobClass]
            val tightSeconds = aim.withinSeconds ?: Double.MAX_VALUE
            when {
                list == null -> unseen(aim.jobClass.orEmpty(), cheapest).takeIf { tightSeconds < cheapest.bootSeconds }
                !list.last().spec.gang || hasStoppedArriving(list) -> null
                else -> Need(list.last().spec, gangTasks(list, held[aim.jobClass] ?: 0, cheapest.bootSeconds), Double.MAX_VALUE, 0)
            }
        }
    }

    private fun unseen(
        jobClass: String,
        type: MachineType,
    ): Need {
        val spec =
            JobSpec(
                "j-0",
                jobClass,
                context.settings.teams.keys
                    .first(),
                Priority.LOW,
                BET_MACHINES,
                type.size,
                "",
                0.0,
                listOf(type.name),
                null,
                oneZone = false,
                spread = false,
                spot = false,
                estimateSeconds = type.bootSeconds,
                checkpointSeconds = 0.0,
                saveSeconds = 0.0,
                deadlineSeconds = null,
            )
        return Need(spec, BET_MACHINES, Double.MAX_VALUE, 0)
    }

    /** So many tasks of a job class of gangs are likely to come, beyond the room that those who run will leave, before more can be had. */
    private fun gangTasks(
        list: List<Job>,
        held: Int,
        bootSeconds: Double,
    ): Int {
        val soonSeconds = if (keepsAllMachines) context.settings.workers.reportSeconds * SOON_REPORTS else bootSeconds * LONG_BOOT
        val overSeconds = maxOf((context.wallMillis - list.minOf { it.submittedMillis }) / MILLIS_PER_SECOND.toDouble(), soonSeconds / 2)
        val jobs = list.size / overSeconds * soonSeconds
        val tasks = list.map { it.spec.tasks }.average()
        val draining =
            held *
                minOf(
                    1.0,
                    soonSeconds /
                        list
                            .last()
                            .spec.estimateSeconds
                            .coerceAtLeast(1.0),
                ) / 2
        val likely = tasks * (jobs + Math.sqrt(jobs) * context.settings.operator.gangDeviations) - draining
        return Math.ceil(maxOf(likely, list.maxOf { it.spec.tasks }.toDouble())).toInt()
    }

    private fun remember(job: Job) {
        val list = recent.getOrPut(job.spec.jobClass) { ArrayDeque() }
        list.addLast(job)
        if (list.size > REMEMBERED) list.removeFirst()
    }

    /** Types that some kind of recent job cannot do without: other jobs leave them alone while there is another way. */
    fun indispensable(types: Catalog): Set<String> =
        recent.values.mapNotNullTo(HashSet()) { list ->
            types
                .allowed(list.last().spec)
                .singleOrNull()
                ?.name
        }

    /** How long the tasks of [job] may still wait by what the aims say of its job class; where they say nothing, not at all. */
    private fun slackSeconds(job: Job): Double {
        val spec = job.spec
        val aims = context.settings.objectives.filter { it.jobClass == spec.jobClass }
        val startBy = aims.filter { it.kind == "wait" }.mapNotNull { it.withinSeconds }
        val doneBy = aims.filter { it.kind == "finished" }.mapNotNull { it.withinSeconds } + listOfNotNull(spec.deadlineSeconds)
        val latest = (startBy + doneBy.map { it - spec.estimateSeconds * LONG_RUN }).minOrNull() ?: 0.0
        return latest - (context.wallMillis - job.submittedMillis) / 1000.0
    }

    /** For job classes with a wait aim, room for a job of the usual size, as long as jobs of it come. */
    private fun headroom(): List<Need> =
        waits.mapNotNull { aim ->
            val list = recent[aim.jobClass]?.takeIf { !it.last().spec.gang && !hasStoppedArriving(it) } ?: return@mapNotNull null
            val usual = list.map { it.spec.tasks }.average()
            Need(list.last().spec, Math.ceil(usual * context.settings.operator.headroom).toInt(), Double.MAX_VALUE, 0)
        }

    /** Whether nothing has come for many times as long as usual: then what is kept free would be paid for nobody. */
    private fun hasStoppedArriving(list: List<Job>): Boolean {
        if (list.size < REMEMBERED) return false
        val submitted = list.map { it.submittedMillis }
        val gapMillis = (submitted.max() - submitted.min()).toDouble() / (list.size - 1)
        return context.wallMillis - submitted.max() > maxOf(gapMillis * DRY_GAPS, context.settings.workers.leaseSeconds * MILLIS_PER_SECOND)
    }

    private companion object {
        const val REMEMBERED = 10
        const val MOST_SEEN = 1000
        const val DRY_GAPS = 8
        const val BET_MACHINES = 2

        /** Boots take up to half as long again as their type's figure. */
        const val LONG_BOOT = 1.5
        const val SOON_REPORTS = 4
        const val MILLIS_PER_SECOND = 1000

        /** Estimates are often wrong by half. */
        const val LONG_RUN = 1.5
    }
}
