package burlridge.failover

import kotlin.math.exp
import kotlin.math.log10
import kotlin.math.sqrt

/**
 * Keeps the latest intervals between the heartbeats of one member and rates how unusual the current silence is compared to them. This
 * is the accrual failure detector of Hayashibara et al., with the tail of the normal distribution approximated by a logistic function.
 */
internal class ArrivalWindow(
    private val expectedIntervalSeconds: Double,
) {
    private val intervals = DoubleArray(CAPACITY)
    private var size = 0
    private var nextIndex = 0
    private var sum = 0.0
    private var sumOfSquares = 0.0

    /** Adds an interval, clipped so that neither a burst after a stall nor one long silence dominates the statistics. */
    fun add(intervalSeconds: Double) {
        val clippedInterval =
            intervalSeconds.coerceIn(expectedIntervalSeconds * MIN_INTERVAL_MULTIPLE, expectedIntervalSeconds * MAX_INTERVAL_MULTIPLE)
        if (size == CAPACITY) remove(intervals[nextIndex]) else size++
        intervals[nextIndex] = clippedInterval
        nextIndex = (nextIndex + 1) % CAPACITY
        sum += clippedInterval
        sumOfSquares += clippedInterval * clippedInterval
    }

    private fun remove(interval: Double) {
        sum -= interval
        sumOfSquares -= interval * interval
    }

    /** Returns the suspicion level of a silence of [silenceSeconds]: 1 means one wrong suspicion in ten, 2 one in a hundred, and so on. */
    fun suspicionLevel(silenceSeconds: Double): Double {
        val mean = if (size == 0) expectedIntervalSeconds else sum / size
        val variance = if (size == 0) 0.0 else (sumOfSquares / size - mean * mean).coerceAtLeast(0.0)
        val deviation = sqrt(variance).coerceAtLeast(mean * MIN_DEVIATION_FRACTION)
        // Arrivals have a heavier tail than the normal distribution, so a silence as long as a recent one raises no suspicion either.
        val longestInterval = (0 until size).maxOfOrNull { intervals[it] } ?: expectedIntervalSeconds
        val normalizedDistance = (silenceSeconds - maxOf(mean * (1 + TOLERATED_PAUSE_INTERVALS), longestInterval)) / deviation
        val tail = exp(-normalizedDistance * (LOGISTIC_LINEAR + LOGISTIC_CUBIC * normalizedDistance * normalizedDistance))
        val level = if (normalizedDistance > 0) -log10(tail / (1 + tail)) else -log10(1 - 1 / (1 + tail))
        return level.coerceIn(0.0, MAX_LEVEL)
    }

    private companion object {
        const val CAPACITY = 64

        /** Bounds to which an interval is clipped, as multiples of the expected interval. */
        const val MIN_INTERVAL_MULTIPLE = 0.25
        const val MAX_INTERVAL_MULTIPLE = 8.0

        /** Lower bound of the standard deviation, as a fraction of the mean. */
        const val MIN_DEVIATION_FRACTION = 0.25

        /** Silence tolerated beyond the mean interval, in mean intervals: one lost heartbeat raises no suspicion. */
        const val TOLERATED_PAUSE_INTERVALS = 1.0
        const val MAX_LEVEL = 100.0

        /** Coefficients of the logistic approximation of the normal distribution function. */
        const val LOGISTIC_LINEAR = 1.5976
        const val LOGISTIC_CUBIC = 0.070566
    }
}
