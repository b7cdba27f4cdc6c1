package burlridge.placement

import burlridge.job.JobSpec
import burlridge.job.Resources

/** The requirements that a task has of its machine. */
internal data class ResourceRequest(
    /** The machine types and the zone that it may use; null for any. */
    val types: List<String>?,
    val zone: String?,
    /** Whether it may use spot machines. */
    val spot: Boolean,
    val size: Resources,
) {
    /** Whether each machine that satisfies [spec] satisfies this request too: if none satisfies this request, none satisfies [spec]. */
    fun isNoStricterThan(spec: JobSpec): Boolean =
        types == spec.machineTypes && zone == spec.zone && (spot || !spec.allowsSpot) && size.fits(spec.taskResources)

    internal companion object {
        fun of(spec: JobSpec): ResourceRequest = ResourceRequest(spec.machineTypes, spec.zone, spec.allowsSpot, spec.taskResources)
    }
}
