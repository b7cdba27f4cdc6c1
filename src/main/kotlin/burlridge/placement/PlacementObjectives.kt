package burlridge.placement

import burlridge.settings.Settings

/** What the deployment's service-level objectives demand of placement, by job class. */
internal class PlacementObjectives(
    settings: Settings,
) {
    /** Classes whose tasks must start within a heartbeat interval: for these an image fetch is most of the wait. */
    private val urgentClasses: Set<String> =
        settings.objectives
            .filter { it.kind == START_OBJECTIVE && (it.withinSeconds ?: Double.MAX_VALUE) < settings.workers.reportSeconds }
            .mapNotNull { it.jobClass }
            .toSet()

    private val startSeconds: Map<String?, Double> =
        settings.objectives
            .filter { it.kind == START_OBJECTIVE && it.jobClass != null && it.withinSeconds != null }
            .groupBy { it.jobClass }
            .mapValues { (_, objectives) -> objectives.minOf { it.withinSeconds ?: Double.MAX_VALUE } }

    private val finishSeconds: Map<String?, Double?> =
        settings.objectives
            .filter { it.kind == FINISH_OBJECTIVE && it.jobClass != null && it.withinSeconds != null }
            .associate { it.jobClass to it.withinSeconds }

    /** Whether tasks of [jobClass] must start within a heartbeat interval. */
    fun isUrgent(jobClass: String): Boolean = jobClass in urgentClasses

    /** Whether tasks of [jobClass] are to start within some time. */
    fun hasStartObjective(jobClass: String): Boolean = startSeconds.containsKey(jobClass)

    /** Within how many seconds tasks of [jobClass] are to start; the largest number where no objective says. */
    fun startSeconds(jobClass: String): Double = startSeconds[jobClass] ?: Double.MAX_VALUE

    /** Within how many seconds jobs of [jobClass] are to be done; null where no objective says. */
    fun finishSeconds(jobClass: String): Double? = finishSeconds[jobClass]

    private companion object {
        const val START_OBJECTIVE = "wait"
        const val FINISH_OBJECTIVE = "finished"
    }
}
