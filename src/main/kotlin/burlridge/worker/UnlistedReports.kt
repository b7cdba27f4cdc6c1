package burlridge.worker

/**
 * Bounds what heartbeats of unlisted machines take of the leader's memory. Whoever reaches a controller can send heartbeats in the names of
 * machines that do not exist, and a machine that the leader has not rented must be recorded all the same until the cloud's list shows it.
 */
internal class UnlistedReports(
    private val maxCharacters: Long,
    /** Whether the cloud, a rental or an allocation names the machine. */
    private val isVouchedFor: (machineId: String) -> Boolean,
    private val isRegistered: (machineId: String) -> Boolean,
) {
    private val charactersByMachine = HashMap<String, Int>()
    private var characters = 0L
    private var nextCleanupAt = 0.0

    /** Forgets all machines when a term begins or ends. */
    fun clear() {
        charactersByMachine.clear()
        characters = 0
    }

    /** Whether a heartbeat of [machineId] with [length] characters may be recorded at [now], in seconds. */
    fun admits(
        machineId: String,
        length: Int,
        now: Double,
    ): Boolean {
        if (isVouchedFor(machineId)) return true
        val size = maxOf(length, MIN_CHARACTERS)
        val added = size - (charactersByMachine[machineId] ?: 0)
        if (characters + added > maxCharacters) cleanUp(now)
        if (characters + added > maxCharacters) return false
        charactersByMachine[machineId] = size
        characters += added
        return true
    }

    /** Forgets the machines that are vouched for by now, and those that are gone. */
    private fun cleanUp(now: Double) {
        if (now < nextCleanupAt) return
        nextCleanupAt = now + CLEANUP_INTERVAL_SECONDS
        charactersByMachine.keys.removeIf { isVouchedFor(it) || !isRegistered(it) }
        characters = charactersByMachine.values.sumOf { it.toLong() }
    }

    private companion object {
        /** A machine without tasks takes about as much as this many characters of a heartbeat. */
        const val MIN_CHARACTERS = 200
        const val CLEANUP_INTERVAL_SECONDS = 1.0
    }
}
