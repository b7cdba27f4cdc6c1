package burlridge.placement

import burlridge.job.Resources
import burlridge.settings.Team

/** The quotas and guaranteed shares of the teams. */
internal class TeamQuotas(
    private val teams: Map<String, Team>,
) {
    /** Whether [usage] is above the quota of [team]; a team that the settings do not name has none. */
    fun isExceeded(
        team: String,
        usage: Resources,
    ): Boolean {
        val quota = teams[team] ?: return true
        return (quota.cpusMax > 0 && usage.cpus > quota.cpusMax) || (quota.gpusMax > 0 && usage.gpus > quota.gpusMax)
    }

    /** The part of its guaranteed share that [team] uses with [usage], the larger of CPUs and GPUs; 0 where nothing is guaranteed. */
    fun shareUsed(
        team: String,
        usage: Resources,
    ): Double {
        val guaranteed = teams[team] ?: return 0.0
        return maxOf(
            if (guaranteed.cpus > 0) usage.cpus / guaranteed.cpus else 0.0,
            if (guaranteed.gpus > 0) usage.gpus / guaranteed.gpus else 0.0,
        )
    }
}
