package burlridge.placement

import burlridge.settings.Settings

/** The deployment's service-level objectives that placement follows, by job class. */
internal class PlacementObjectives(
    settings: Settings,
) {
    /** Classes whose tasks must start within a heartbeat interval; for these an image fetch is most of the wait. */
    private val urgentClasses: Set<String> =
        settings.objectives
            .filter { it.kind == START_OBJECTIVE && (it.withinSeconds ?: Double.MAX_VALUE) < settings.workers.reportSeconds }
            .mapNotNull { it.jobClass }
            .toSet()

    private val startWithinSeconds: Map<String?, Double> =
        settings.objectives
            .filter { it.kind == START_OBJECTIVE && it.jobClass != null && it.withinSeconds != null }
            .groupBy { it.jobClass }
            .mapValues { (_, objectives) -> objectives.minOf { it.withinSeconds ?: Double.MAX_VALUE } }

    private val finishWithinSeconds: Map<String?, Double?> =
        settings.objectives
            .filter { it.kind == FINISH_OBJECTIVE && it.jobClass != null && it.withinSeconds != null }
            .associate { it.jobClass to it.withinSeconds }

    /** Whether tasks of [jobClass] must start within a heartbeat interval. */
    fun isUrgent(jobClass: String): Boolean = jobClass in urgentClasses

    /** Whether there is an objective for how soon tasks of [jobClass] start. */
    fun hasStartObjective(jobClass: String): Boolean = startWithinSeconds.containsKey(jobClass)

    /** Number of seconds within which tasks of [jobClass] should start; [Double.MAX_VALUE] without an objective. */
    fun startWithinSeconds(jobClass: String): Double = startWithinSeconds[jobClass] ?: Double.MAX_VALUE

    /** Number of seconds within which jobs of [jobClass] should finish; null without an objective. */
    fun finishWithinSeconds(jobClass: String): Double? = finishWithinSeconds[jobClass]

    private companion object {
        const val START_OBJECTIVE = "wait"
        const val FINISH_OBJECTIVE = "finished"
    }
}
