package burlridge.fleet

import burlridge.allocation.Job
import burlridge.allocation.JobRegistry
import burlridge.core.StepContext
import burlridge.job.JobSpec
import burlridge.job.Priority

/** Determines how many tasks need capacity now, and for how many expected tasks it should be provided in advance. */
internal class CapacityDemand(
    private val context: StepContext,
    private val registry: JobRegistry,
) {
    private val operator = context.settings.operator
    private val waitObjectives =
        context.settings.objectives.filter { it.kind == "wait" && it.jobClass != null && it.withinSeconds != null }
    private val recentJobs = RecentJobs(context, registry)

    /**
     * Whether all machines that the cloud rents out are kept. This is so if no team has a guaranteed quota: then the usage of teams is not
     * accounted for, and no objective is about cost. With guarantees, machines are rented only for waiting work and work that is expected.
     */
    val keepsAllMachines: Boolean =
        context.settings.teams.values
            .none { it.cpus > 0 || it.gpus > 0 }

    /** Tasks of one job class that need capacity. */
    data class Need(
        val spec: JobSpec,
        val tasks: Int,
        /** How long they may still wait without missing an objective; negative if they are late. */
        val slackSeconds: Double,
        /** Number of tasks of their job class that already have an allocation. */
        val allocatedTasks: Int,
    )

    /** Records new jobs, from which future ones are predicted. */
    fun observe() = recentJobs.observe()

    /** Machine types that are the only choice for the newest job of some class. */
    fun indispensableTypes(catalog: Catalog): Set<String> = recentJobs.indispensableTypes(catalog)

    /**
     * All needs, in the order in which placement serves them: gangs come before job arrays, which cannot use the capacity reserved for
     * gangs.
     */
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
     * Gangs that are likely to arrive while a machine boots or, if all machines are kept anyway, while machines become free. Also two
     * machines for each job class that has had no job yet and whose start objective is shorter than the boot of the
     * cheapest machine type.
     */
    fun expectedGangs(catalog: Catalog): List<Need> {
        if (context.settings.workers.gang == null) return emptyList()
        val cheapest = catalog.types.values.minByOrNull { it.price } ?: return emptyList()
        val allocatedTasks = allocatedTasksByClass { it.spec.gang }
        return waitObjectives.distinctBy { it.jobClass }.mapNotNull { objective ->
            val jobs = recentJobs.ofClass(objective.jobClass)
            val withinSeconds = objective.withinSeconds ?: Double.MAX_VALUE
            when {
                jobs == null -> needForNewClass(objective.jobClass.orEmpty(), cheapest).takeIf { withinSeconds < cheapest.bootSeconds }
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

    private fun needForNewClass(
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
                MACHINES_FOR_NEW_CLASS,
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
        return Need(spec, MACHINES_FOR_NEW_CLASS, Double.MAX_VALUE, 0)
    }

    /**
     * Number of tasks of gangs like [jobs] that are likely to arrive before more machines are available, less the tasks whose capacity will
     * be free by then; at least the tasks of the largest gang.
     */
    private fun expectedGangTasks(
        jobs: List<Job>,
        allocatedTasks: Int,
        bootSeconds: Double,
    ): Int {
        val horizonSeconds =
            if (keepsAllMachines) context.settings.workers.reportSeconds * HORIZON_HEARTBEAT_INTERVALS else bootSeconds * BOOT_SAFETY_FACTOR
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

    /**
     * How long the tasks of [job] may still wait to meet the objectives of its class and its deadline; without any of these they should not
     * wait at all.
     */
    private fun slackSeconds(job: Job): Double {
        val spec = job.spec
        val objectives = context.settings.objectives.filter { it.jobClass == spec.jobClass }
        val startWithin = objectives.filter { it.kind == "wait" }.mapNotNull { it.withinSeconds }
        val finishWithin = objectives.filter { it.kind == "finished" }.mapNotNull { it.withinSeconds } + listOfNotNull(spec.deadlineSeconds)
        val maxWaitSeconds = (startWithin + finishWithin.map { it - spec.estimatedRunSeconds * RUN_TIME_SAFETY_FACTOR }).minOrNull() ?: 0.0
        return maxWaitSeconds - (context.wallMillis - job.submittedMillis) / MILLIS_PER_SECOND
    }

    /**
     * Spare capacity for each class of job arrays with a start objective, as long as its jobs keep arriving: the tasks of an average job
     * times the setting `headroom`.
     */
    private fun headroom(): List<Need> =
        waitObjectives.mapNotNull { objective ->
            val jobs = recentJobs.ofClass(objective.jobClass)?.takeIf { !it.last().spec.gang && !recentJobs.hasStoppedArriving(it) }
            if (jobs == null) return@mapNotNull null
            val tasksPerJob = jobs.map { it.spec.taskCount }.average()
            Need(jobs.last().spec, Math.ceil(tasksPerJob * operator.headroom).toInt(), Double.MAX_VALUE, 0)
        }

    private companion object {
        const val MACHINES_FOR_NEW_CLASS = 2

        /** A boot takes up to this many times the boot time of its machine type. */
        const val BOOT_SAFETY_FACTOR = 1.5
        const val HORIZON_HEARTBEAT_INTERVALS = 4
        const val MILLIS_PER_SECOND = 1000.0

        /** Run times are often this many times their estimate. */
        const val RUN_TIME_SAFETY_FACTOR = 1.5
    }
}
