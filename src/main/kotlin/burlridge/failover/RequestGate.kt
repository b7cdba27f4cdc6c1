package burlridge.failover

/** Admits one request at a time, and drops the results of those that were made before a reset. */
internal class RequestGate {
    private var generation = 0

    /** Whether a request waits for its result. */
    var isOpen: Boolean = false
        private set

    /** Forgets the open request: its result will be dropped. */
    fun reset() {
        generation++
        isOpen = false
    }

    /** Begins a request; its result goes to the function returned, which passes it to [onResult] unless the gate was reset meanwhile. */
    fun <T> begin(onResult: (T) -> Unit): (T) -> Unit {
        val requestGeneration = generation
        isOpen = true
        return { result ->
            if (generation == requestGeneration) {
                isOpen = false
                onResult(result)
            }
        }
    }
}
