package burlridge.job

/** Amounts of CPUs, GPUs and memory, as machines offer and tasks use them. */
internal data class Resources(
    val cpus: Double,
    val gpus: Double,
    val memoryGb: Double,
) {
    /** Whether this fits into [free], within the rounding tolerance. */
    fun fits(free: Resources): Boolean =
        cpus <= free.cpus + ROUNDING_TOLERANCE && gpus <= free.gpus + ROUNDING_TOLERANCE && memoryGb <= free.memoryGb + ROUNDING_TOLERANCE

    /** Number of tasks that fit into this if each takes [taskResources]. */
    fun fitCount(taskResources: Resources): Int {
        val byCpus = quotient(cpus, taskResources.cpus)
        val byGpus = quotient(gpus, taskResources.gpus)
        val byMemory = quotient(memoryGb, taskResources.memoryGb)
        return minOf(byCpus, byGpus, byMemory).toInt().coerceAtLeast(0)
    }

    private fun quotient(
        free: Double,
        required: Double,
    ): Double = if (required > 0) (free + ROUNDING_TOLERANCE) / required else UNCONSTRAINED_COUNT

    operator fun minus(other: Resources): Resources = Resources(cpus - other.cpus, gpus - other.gpus, memoryGb - other.memoryGb)

    operator fun times(tasks: Int): Resources = Resources(cpus * tasks, gpus * tasks, memoryGb * tasks)

    operator fun plus(other: Resources): Resources = Resources(cpus + other.cpus, gpus + other.gpus, memoryGb + other.memoryGb)

    internal companion object {
        val NONE: Resources = Resources(0.0, 0.0, 0.0)

        /** Tolerance for rounding errors in sums and differences. */
        private const val ROUNDING_TOLERANCE = 1e-9

        /** Number of tasks that fit into a resource that they do not use. */
        private const val UNCONSTRAINED_COUNT = 1e6
    }
}
