package burlridge.balance

/** The cost and the gain of a move, in seconds of time until the task ends. */
internal data class MoveGain(
    /** Remaining work, in seconds on a machine of normal speed. */
    val remainingSeconds: Double,
    /** Run time on the task's current machine as a multiple of the run time elsewhere. */
    val slowdown: Double,
    /** Work that must be repeated because it was not checkpointed, in seconds. */
    val lostSeconds: Double,
    /** Time to save a checkpoint. */
    val saveSeconds: Double,
    /** Time to fetch the image on the target machine. */
    val fetchSeconds: Double,
    /** Time until the stop is confirmed and the start command has arrived at the target. */
    val handoverSeconds: Double,
) {
    /** Net gain. The slowdown is an estimate, so only [COUNTED_GAIN_SHARE] of the gross gain is counted. */
    val gainSeconds: Double get() = remainingSeconds * (slowdown - 1.0) * COUNTED_GAIN_SHARE - costSeconds

    /** Total cost of the move. */
    val costSeconds: Double get() = lostSeconds + saveSeconds + fetchSeconds + handoverSeconds

    private companion object {
        const val COUNTED_GAIN_SHARE = 0.7
    }
}
