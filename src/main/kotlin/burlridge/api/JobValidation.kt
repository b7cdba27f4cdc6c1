package burlridge.api

import burlridge.allocation.ActiveJobRow
import burlridge.allocation.JobRowCodec
import burlridge.core.StepContext
import burlridge.fleet.Catalog
import burlridge.job.JobSpec
import burlridge.settings.Team
import burlridge.store.StoreClient
import com.fasterxml.jackson.databind.JsonNode

/** The result of the check whether a job could ever run. */
internal sealed interface JobFeasibility {
    /** Some machine type can run the job's tasks, and the team's quota allows them. */
    data object Feasible : JobFeasibility

    /** The job cannot run in any state of the cluster; [reason] is reported to its owner. */
    data class Infeasible(
        val reason: String,
    ) : JobFeasibility
}

/** Checks whether a job could ever run; the result is the same for every repetition of its submission. */
internal class JobValidation(
    private val context: StepContext,
    private val store: StoreClient,
) {
    /** Checks [spec] against its team's quota, the machine types of [catalog] and the limits of the key-value store. */
    fun validate(
        spec: JobSpec,
        catalog: Catalog,
    ): JobFeasibility {
        val reason = infeasibilityReason(spec, catalog)
        return if (reason == null) JobFeasibility.Feasible else JobFeasibility.Infeasible(reason)
    }

    private fun infeasibilityReason(
        spec: JobSpec,
        catalog: Catalog,
    ): String? {
        val team = context.settings.teams[spec.team] ?: return "unknown team ${spec.team}"
        return when {
            team.cpusMax > 0 && spec.taskResources.cpus > team.cpusMax -> "a task needs more CPUs than the limit of ${team.name}"
            team.gpusMax > 0 && spec.taskResources.gpus > team.gpusMax -> "a task needs more GPUs than the limit of ${team.name}"
            catalog.eligibleTypes(spec).isEmpty() -> "a task fits no allowed machine type"
            !store.fitsValueLimit(activeRow(spec)) -> "the description is longer than the state service takes"
            spec.gang -> gangInfeasibilityReason(spec, team, catalog)
            else -> null
        }
    }

    private fun gangInfeasibilityReason(
        spec: JobSpec,
        team: Team,
        catalog: Catalog,
    ): String? {
        val total = spec.taskResources * spec.taskCount
        return when {
            team.cpusMax > 0 && total.cpus > team.cpusMax -> "all tasks together need more CPUs than the limit of ${team.name}"
            team.gpusMax > 0 && total.gpus > team.gpusMax -> "all tasks together need more GPUs than the limit of ${team.name}"
            spec.spread && spec.taskCount > 1 && !canSpread(spec, catalog) -> "its tasks can be in one zone only, and must be spread"
            else -> null
        }
    }

    private fun canSpread(
        spec: JobSpec,
        catalog: Catalog,
    ): Boolean {
        val zones = catalog.eligibleTypes(spec).flatMapTo(HashSet()) { it.zones }
        return !spec.oneZone && zones.size > 1
    }

    /** The row of a job that is accepted now. */
    fun activeRow(spec: JobSpec): JsonNode = JobRowCodec.encodeActive(ActiveJobRow(spec, context.wallMillis))
}
