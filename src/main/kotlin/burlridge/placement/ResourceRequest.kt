package burlridge.placement

import burlridge.job.JobSpec
import burlridge.job.Resources

/** What a task asks of a machine. */
internal data class ResourceRequest(
    /** The machine types and the zone that it may use; null for any. */
    val types: List<String>?,
    val zone: String?,
    /** Whether it may use spot machines. */
    val spot: Boolean,
    val size: Resources,
) {
    /** Whether a task of [spec] fits only where this request does: if no machine satisfies this one, none satisfies that. */
    fun isImpliedBy(spec: JobSpec): Boolean =
        types == spec.machineTypes && zone == spec.zone && (spot || !spec.allowsSpot) && size.fits(spec.taskResources)

    internal companion object {
        fun of(spec: JobSpec): ResourceRequest = ResourceRequest(spec.machineTypes, spec.zone, spec.allowsSpot, spec.taskResources)
    }
}
