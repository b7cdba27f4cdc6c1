package burlridge.failover

/** Tracks the one request that may be in flight, and drops the results of requests that were begun before a reset. */
internal class RequestGate {
    private var generation = 0

    /** Whether a request is in flight; no other may be begun then. */
    var hasRequestInFlight: Boolean = false
        private set

    /** Abandons the request in flight: its result will be dropped. */
    fun reset() {
        generation++
        hasRequestInFlight = false
    }

    /** Begins a request; the returned callback passes its result to [onResult] unless the gate was reset in the meantime. */
    fun <T> begin(onResult: (T) -> Unit): (T) -> Unit {
        val requestGeneration = generation
        hasRequestInFlight = true
        return { result ->
            if (generation == requestGeneration) {
                hasRequestInFlight = false
                onResult(result)
            }
        }
    }
}
