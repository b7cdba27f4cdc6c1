package burlridge.api

import burlridge.allocation.ActiveJobRow
import burlridge.allocation.JobRowCodec
import burlridge.core.StepContext
import burlridge.fleet.Catalog
import burlridge.job.JobSpec
import burlridge.settings.Team
import burlridge.store.StoreClient
import com.fasterxml.jackson.databind.JsonNode

/** Whether a job could ever run; the same for every repeat of its submission. */
internal class JobValidation(
    private val context: StepContext,
    private val store: StoreClient,
) {
    /** The reason why [spec] can never run, or null. */
    fun neverRuns(
        spec: JobSpec,
        types: Catalog,
    ): String? {
        val team = context.settings.teams[spec.team] ?: return "unknown team ${spec.team}"
        if (team.cpusMax > 0 && spec.size.cpus > team.cpusMax) return "a task needs more CPUs than the limit of ${team.name}"
        if (team.gpusMax > 0 && spec.size.gpus > team.gpusMax) return "a task needs more GPUs than the limit of ${team.name}"
        if (types.allowed(spec).isEmpty()) return "a task fits no allowed machine type"
        if (!store.fitsValueLimit(liveRow(spec))) return "the description is longer than the state service takes"
        return if (spec.gang) neverGathers(spec, team, types) else null
    }

    private fun neverGathers(
        spec: JobSpec,
        team: Team,
        types: Catalog,
    ): String? {
        val all = spec.size * spec.tasks
        val zones =
            types
                .allowed(spec)
                .flatMap { it.zones }
                .distinct()
                .size
        return when {
            team.cpusMax > 0 && all.cpus > team.cpusMax -> "all tasks together need more CPUs than the limit of ${team.name}"
            team.gpusMax > 0 && all.gpus > team.gpusMax -> "all tasks together need more GPUs than the limit of ${team.name}"
            spec.spread && spec.tasks > 1 && (spec.oneZone || zones < 2) -> "its tasks can be in one zone only, and must be spread"
            else -> null
        }
    }

    /** The row of an accepted job. */
    fun liveRow(spec: JobSpec): JsonNode = JobRowCodec.encodeActive(ActiveJobRow(spec, context.wallMillis))
}
