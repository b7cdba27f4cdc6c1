package burlridge.placement

import burlridge.job.Resources
import burlridge.settings.Team

/** The quotas and guaranteed shares of the teams. */
internal class TeamQuotas(
    private val teams: Map<String, Team>,
) {
    /** Whether [usage] exceeds the quota of [team], where a maximum of 0 is no limit; always true for a team not in the settings. */
    fun isExceeded(
        team: String,
        usage: Resources,
    ): Boolean {
        val quota = teams[team] ?: return true
        return (quota.cpusMax > 0 && usage.cpus > quota.cpusMax) || (quota.gpusMax > 0 && usage.gpus > quota.gpusMax)
    }

    /** Fraction of its guaranteed share that [team] uses with [usage], the larger one of CPUs and GPUs; 0 if nothing is guaranteed. */
    fun guaranteedShareUsed(
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
