package burlridge.job

/** An amount of what machines offer and tasks take. */
internal data class Resources(
    val cpus: Double,
    val gpus: Double,
    val memoryGb: Double,
) {
    /** Whether this fits into [free], but for errors of rounding. */
    fun fits(free: Resources): Boolean = cpus <= free.cpus + SLACK && gpus <= free.gpus + SLACK && memoryGb <= free.memoryGb + SLACK

    /** How many tasks that take [size] fit into this. */
    fun holds(size: Resources): Int {
        val byCpus = quotient(cpus, size.cpus)
        val byGpus = quotient(gpus, size.gpus)
        val byMemory = quotient(memoryGb, size.memoryGb)
        return minOf(byCpus, byGpus, byMemory).toInt().coerceAtLeast(0)
    }

    private fun quotient(
        free: Double,
        taken: Double,
    ): Double = if (taken > 0) (free + SLACK) / taken else UNLIMITED

    operator fun minus(other: Resources): Resources = Resources(cpus - other.cpus, gpus - other.gpus, memoryGb - other.memoryGb)

    operator fun times(tasks: Int): Resources = Resources(cpus * tasks, gpus * tasks, memoryGb * tasks)

    operator fun plus(other: Resources): Resources = Resources(cpus + other.cpus, gpus + other.gpus, memoryGb + other.memoryGb)

    internal companion object {
        val NONE: Resources = Resources(0.0, 0.0, 0.0)

        /** Tolerates the errors of rounding in sums and differences. */
        private const val SLACK = 1e-9

        /** How many tasks fit as far as a resource is concerned that they do not take. */
        private const val UNLIMITED = 1e6
    }
}
