package burlridge.allocation

import burlridge.leadership.ElectionCause
import burlridge.leadership.LeadershipListener
import burlridge.leadership.StepDownReason

/** Ignores elections, for tests that load or write rows themselves. */
internal object IgnoringListener : LeadershipListener {
    override fun onElected(cause: ElectionCause) = Unit

    override fun onDeposed(
        term: Long,
        reason: StepDownReason,
    ) = Unit
}
