package burlridge.fleet

import burlridge.allocation.Job
import burlridge.allocation.JobRegistry
import burlridge.core.StepContext
import burlridge.job.JobSpec
import burlridge.job.Priority

/** How many tasks need capacity now, and for how many more it should be there before they come. */
internal class CapacityDemand(
    private val context: StepContext,
    private val registry: JobRegistry,
) {
    private val operator = context.settings.operator
    private val waitObjectives =
        context.settings.objectives.filter { it.kind == "wait" && it.jobClass != null && it.withinSeconds != null }
    private val recentJobs = RecentJobs(context, registry)

    /**
     * Whether all machines that can be had are kept: where no team has a guaranteed quota, nobody accounts for what a team uses, and no
     * objective is about cost. Where there are guarantees, machines are rented for work that is there or surely comes.
     */
    val keepsAllMachines: Boolean =
        context.settings.teams.values
            .none { it.cpus > 0 || it.gpus > 0 }

    /** Tasks of one job class that need capacity. */
    data class Need(
        val spec: JobSpec,
        val tasks: Int,
        /** How long they may still wait by the objectives; negative if they are late. */
        val slackSeconds: Double,
        /** How many tasks of their job class have an allocation already. */
        val allocatedTasks: Int,
    )

    /** Takes note of the jobs that are new, from which coming ones are predicted. */
    fun observe() = recentJobs.observe()

    /** Types that some kind of recent job cannot do without. */
    fun indispensableTypes(catalog: Catalog): Set<String> = recentJobs.indispensableTypes(catalog)

    /** All needs, in the order in which placement serves them: capacity that is reserved for gangs is not there for job arrays. */
    fun needs(catalog: Catalog): List<Need> {
        val unfinished = registry.jobs.values.filter { !it.isEnding }
        val allocatedTasks = allocatedTasksByClass { true }
        val waiting =
            unfinished.filter { it.unallocatedCount > 0 }.map {
                Need(it.spec, it.unallocatedCount, slackSeconds(it), allocatedTasks[it.spec.jobClass] ?: 0)
            }
        val (gangs, arrays) = waiting.sortedBy { it.spec.priority }.partition { it.spec.gang }
        return gangs + expectedGangs(catalog) + arrays + headroom()
    }

    private fun allocatedTasksByClass(isCounted: (Job) -> Boolean): Map<String, Int> {
        val counts = HashMap<String, Int>()
        registry.jobs.values.forEach {
            if (!it.isEnding && isCounted(it)) counts.merge(it.spec.jobClass, it.allocations.size, Int::plus)
        }
        return counts
    }

    /**
     * Gangs that are likely to come while a machine boots, or, where machines are kept anyway, while others become free; and two machines
     * for each job class that is to start at once and has had no job yet.
     */
    fun expectedGangs(catalog: Catalog): List<Need> {
        if (context.settings.workers.gang == null) return emptyList()
        val cheapest = catalog.types.values.minByOrNull { it.price } ?: return emptyList()
        val allocatedTasks = allocatedTasksByClass { it.spec.gang }
        return waitObjectives.distinctBy { it.jobClass }.mapNotNull { objective ->
            val jobs = recentJobs.of(objective.jobClass)
            val withinSeconds = objective.withinSeconds ?: Double.MAX_VALUE
            when {
                jobs == null -> needOfNewClass(objective.jobClass.orEmpty(), cheapest).takeIf { withinSeconds < cheapest.bootSeconds }
                !jobs.last().spec.gang || recentJobs.hasStoppedArriving(jobs) -> null
                else -> expectedGangs(jobs, allocatedTasks[objective.jobClass] ?: 0, cheapest.bootSeconds)
            }
        }
    }

    private fun expectedGangs(
        jobs: List<Job>,
        allocatedTasks: Int,
        bootSeconds: Double,
    ): Need = Need(jobs.last().spec, expectedGangTasks(jobs, allocatedTasks, bootSeconds), Double.MAX_VALUE, 0)

    private fun needOfNewClass(
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
                NEW_CLASS_MACHINES,
                type.size,
                "",
                0.0,
                listOf(type.name),
                null,
                oneZone = false,
                spread = false,
                allowsSpot = false,
                estimatedRunSeconds = type.bootSeconds,
                checkpointIntervalSeconds = 0.0,
                saveSeconds = 0.0,
                deadlineSeconds = null,
            )
        return Need(spec, NEW_CLASS_MACHINES, Double.MAX_VALUE, 0)
    }

    /** How many tasks of gangs like [jobs] are likely to come before more machines can be had, beyond what running ones will free. */
    private fun expectedGangTasks(
        jobs: List<Job>,
        allocatedTasks: Int,
        bootSeconds: Double,
    ): Int {
        val horizonSeconds =
            if (keepsAllMachines) context.settings.workers.reportSeconds * HORIZON_REPORTS else bootSeconds * LONG_BOOT_FACTOR
        val ageSeconds = (context.wallMillis - jobs.minOf { it.submittedMillis }) / MILLIS_PER_SECOND
        val observedSeconds = maxOf(ageSeconds, horizonSeconds / 2)
        val expectedJobs = jobs.size / observedSeconds * horizonSeconds
        val tasksPerJob = jobs.map { it.spec.taskCount }.average()
        val runSeconds =
            jobs
                .last()
                .spec
                .estimatedRunSeconds
                .coerceAtLeast(1.0)
        val freedTasks = allocatedTasks * minOf(1.0, horizonSeconds / runSeconds) / 2
        val likelyJobs = expectedJobs + Math.sqrt(expectedJobs) * operator.gangDeviations
        val likelyTasks = tasksPerJob * likelyJobs - freedTasks
        return Math.ceil(maxOf(likelyTasks, jobs.maxOf { it.spec.taskCount }.toDouble())).toInt()
    }

    /** How long the tasks of [job] may still wait by the objectives of its class and its deadline; without any, not at all. */
    private fun slackSeconds(job: Job): Double {
        val spec = job.spec
        val objectives = context.settings.objectives.filter { it.jobClass == spec.jobClass }
        val startWithin = objectives.filter { it.kind == "wait" }.mapNotNull { it.withinSeconds }
        val finishWithin = objectives.filter { it.kind == "finished" }.mapNotNull { it.withinSeconds } + listOfNotNull(spec.deadlineSeconds)
        val maxWaitSeconds = (startWithin + finishWithin.map { it - spec.estimatedRunSeconds * LONG_RUN_FACTOR }).minOrNull() ?: 0.0
        return maxWaitSeconds - (context.wallMillis - job.submittedMillis) / MILLIS_PER_SECOND
    }

    /** For each class of job arrays with a wait objective, capacity for part of a usual job, as long as jobs of it come. */
    private fun headroom(): List<Need> =
        waitObjectives.mapNotNull { objective ->
            val jobs = recentJobs.of(objective.jobClass)?.takeIf { !it.last().spec.gang && !recentJobs.hasStoppedArriving(it) }
            if (jobs == null) return@mapNotNull null
            val tasksPerJob = jobs.map { it.spec.taskCount }.average()
            Need(jobs.last().spec, Math.ceil(tasksPerJob * operator.headroom).toInt(), Double.MAX_VALUE, 0)
        }

    private companion object {
        const val NEW_CLASS_MACHINES = 2

        /** Boots take up to so many times their type's figure. */
        const val LONG_BOOT_FACTOR = 1.5
        const val HORIZON_REPORTS = 4
        const val MILLIS_PER_SECOND = 1000.0

        /** Run times are often so many times their estimate. */
        const val LONG_RUN_FACTOR = 1.5
    }
}
