package burlridge.fleet

import burlridge.core.StepContext

/**
 * Backoff for offerings that the cloud has refused: they are not requested again until a time has passed that grows with the number of
 * consecutive refusals.
 */
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
        // Rentals that were requested together are refused for the same reason, so their refusals count as one.
        if (isBackedOff(offering)) return
        val count = refusalCounts.merge(offering, 1, Int::plus) ?: 1
        backoffUntil[offering] = context.now + minOf(BACKOFF_SECONDS * count, BACKOFF_SECONDS * MAX_BACKOFF_FACTOR)
    }

    /** Records that the cloud has granted machines of [offering]; the next refusal counts as the first. */
    fun recordGrant(offering: InstanceOffering) {
        refusalCounts.remove(offering)
    }

    /** Ends the backoff of [offering]: machines of it were returned, and can be rented again. */
    fun reset(offering: InstanceOffering) {
        backoffUntil.remove(offering)
        refusalCounts.remove(offering)
    }

    private companion object {
        const val BACKOFF_SECONDS = 15.0
        const val MAX_BACKOFF_FACTOR = 4
    }
}
