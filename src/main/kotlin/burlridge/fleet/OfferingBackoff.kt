package burlridge.fleet

import burlridge.core.StepContext

/** Which offerings the cloud has refused, and until when they are not requested again: the longer, the more often that happened. */
internal class OfferingBackoff(
    private val context: StepContext,
) {
    private val backoffUntil = HashMap<InstanceOffering, Double>()
    private val refusalCounts = HashMap<InstanceOffering, Int>()

    fun clear() {
        backoffUntil.clear()
        refusalCounts.clear()
    }

    fun isBackedOff(offering: InstanceOffering): Boolean = context.now < (backoffUntil[offering] ?: 0.0)

    fun recordRefusal(offering: InstanceOffering) {
        // Several rentals that were requested together are refused for the same reason, and count once.
        if (isBackedOff(offering)) return
        val count = refusalCounts.merge(offering, 1, Int::plus) ?: 1
        backoffUntil[offering] = context.now + minOf(BACKOFF_SECONDS * count, BACKOFF_SECONDS * MAX_BACKOFF_FACTOR)
    }

    /** The cloud has rented out some of [offering]; the next refusal counts as the first. */
    fun recordGrant(offering: InstanceOffering) {
        refusalCounts.remove(offering)
    }

    /** Machines of [offering] were returned, so that they can be rented again. */
    fun reset(offering: InstanceOffering) {
        backoffUntil.remove(offering)
        refusalCounts.remove(offering)
    }

    private companion object {
        const val BACKOFF_SECONDS = 15.0
        const val MAX_BACKOFF_FACTOR = 4
    }
}
