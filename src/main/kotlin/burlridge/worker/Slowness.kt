package burlridge.worker

import burlridge.allocation.Claim
import burlridge.allocation.Ledger
import burlridge.allocation.Phase

/** Compares how long tasks run on a machine with others of the same jobs. */
internal class Slowness(
    private val ledger: Ledger,
) {
    fun running(machine: Machine): List<Claim> =
        ledger.claims.byMachine[machine.id]
            ?.values
            ?.filter { it.phase == Phase.RUNNING }
            .orEmpty()

    fun isSlow(machine: Machine): Boolean {
        // By the last report's time: a machine that cannot be heard is not slow for that.
        val times =
            running(machine).mapNotNull { claim ->
                val usual = ledger.jobs[claim.job]?.usualRunS ?: return@mapNotNull null
                claim.startedAt?.let { (machine.lastReportAt - it) / usual.coerceAtLeast(1.0) }
            }
        val overdue = times.count { it > SLOW }
        return (overdue >= 2 && overdue * 2 > times.size) || (overdue > 0 && overdue == times.size && times.max() > VERY_SLOW)
    }

    internal companion object {
        const val SLOW = 1.6
        private const val VERY_SLOW = 2.2
    }
}
