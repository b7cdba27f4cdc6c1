package burlridge.failover

import kotlin.math.exp
import kotlin.math.log10
import kotlin.math.sqrt

/**
 * The latest intervals between the heartbeats of one member, and how unusual the present silence is against them: the accrual
 * failure detector of Hayashibara et al., with the normal distribution's tail approximated by a logistic function.
 */
internal class ArrivalWindow(
    private val expectedSeconds: Double,
) {
    private val intervals = DoubleArray(CAPACITY)
    private var size = 0
    private var next = 0
    private var sum = 0.0
    private var squares = 0.0

    /** Adds an interval; extreme ones are clipped, so that neither a burst after a stall nor one long silence dominates the statistics. */
    fun add(intervalSeconds: Double) {
        val clipped = intervalSeconds.coerceIn(expectedSeconds * MIN_INTERVAL, expectedSeconds * MAX_INTERVAL)
        if (size == CAPACITY) remove(intervals[next]) else size++
        intervals[next] = clipped
        next = (next + 1) % CAPACITY
        sum += clipped
        squares += clipped * clipped
    }

    private fun remove(interval: Double) {
        sum -= interval
        squares -= interval * interval
    }

    /** Suspicion level of a silence of [elapsedSeconds]: 1 means one wrong suspicion in ten, 2 one in a hundred, and so on. */
    fun level(elapsedSeconds: Double): Double {
        val mean = if (size == 0) expectedSeconds else sum / size
        val variance = if (size == 0) 0.0 else (squares / size - mean * mean).coerceAtLeast(0.0)
        val deviation = sqrt(variance).coerceAtLeast(mean * MIN_DEVIATION)
        // Arrivals have a heavier tail than the normal distribution: a silence as long as a recent one raises no suspicion either.
        val longest = (0 until size).maxOfOrNull { intervals[it] } ?: expectedSeconds
        val distance = (elapsedSeconds - maxOf(mean * (1 + TOLERATED_PAUSE), longest)) / deviation
        val tail = exp(-distance * (LOGISTIC_LINEAR + LOGISTIC_CUBIC * distance * distance))
        val level = if (distance > 0) -log10(tail / (1 + tail)) else -log10(1 - 1 / (1 + tail))
        return level.coerceIn(0.0, MAX_LEVEL)
    }

    private companion object {
        const val CAPACITY = 64

        /** Bounds of an interval, as multiples of the expected one. */
        const val MIN_INTERVAL = 0.25
        const val MAX_INTERVAL = 8.0

        /** Least standard deviation, as a part of the mean. */
        const val MIN_DEVIATION = 0.25

        /** In mean intervals: one lost heartbeat raises no suspicion. */
        const val TOLERATED_PAUSE = 1.0
        const val MAX_LEVEL = 100.0

        /** Coefficients of the logistic approximation of the normal distribution function. */
        const val LOGISTIC_LINEAR = 1.5976
        const val LOGISTIC_CUBIC = 0.070566
    }
}
