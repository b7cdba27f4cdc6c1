package burlridge.balance

/** What a move costs and gains, in seconds until the task's end. */
internal data class MoveGain(
    /** Work that remains, in seconds on a machine of ordinary speed. */
    val remainingSeconds: Double,
    /** How many times as long the work takes where the task is now. */
    val slowdown: Double,
    /** Work that is done again because it was not checkpointed. */
    val lostSeconds: Double,
    /** Time to save a checkpoint. */
    val saveSeconds: Double,
    /** Time to fetch the image at the target. */
    val fetchSeconds: Double,
    /** Time until the stop is confirmed and the new start has arrived. */
    val handoverSeconds: Double,
) {
    /** Net gain; the slowdown is an estimate, so only a part of it is counted. */
    val gainSeconds: Double get() = remainingSeconds * (slowdown - 1.0) * COUNTED_GAIN_SHARE - costSeconds

    /** Everything that the move costs. */
    val costSeconds: Double get() = lostSeconds + saveSeconds + fetchSeconds + handoverSeconds

    private companion object {
        const val COUNTED_GAIN_SHARE = 0.7
    }
}
