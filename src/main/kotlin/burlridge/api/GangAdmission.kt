package burlridge.api

import burlridge.allocation.JobRegistry
import burlridge.core.HttpResponse
import burlridge.core.HttpStatus
import burlridge.core.StepContext
import burlridge.leadership.GangFeatureGate
import burlridge.leadership.GangSupport

/**
 * Decides whether gangs can be submitted. They are accepted only once every member supports them, so that none is forwarded to a member
 * that may not support it. Until then the submission of a gang is refused at once, unless the gang has been accepted already: then the
 * response is its state.
 */
internal class GangAdmission(
    private val context: StepContext,
    private val registry: JobRegistry,
    private val gangGate: GangFeatureGate,
    private val lookup: JobLookup,
    private val responses: JobResponses,
) {
    private val retryAfterSeconds = Math.ceil(context.settings.workers.reportSeconds).toInt()

    /** Calls [onAdmitted] if the gang in [body] may be submitted; responds otherwise. */
    fun check(
        body: SubmissionBody,
        respond: (HttpResponse) -> Unit,
        onAdmitted: () -> Unit,
    ) {
        val id = body.jobId
        when {
            context.settings.workers.gang == null -> refuse(id, HttpResponse.error(HttpStatus.BAD_REQUEST, GANGS_NOT_ENABLED), respond)
            gangGate.allMembersSupportGangs || isKnown(id) -> onAdmitted()
            else -> gangGate.check { onSupportChecked(it, id, respond, onAdmitted) }
        }
    }

    private fun isKnown(id: String?): Boolean = id != null && (registry.finishedJob(id) != null || registry.jobs.containsKey(id))

    private fun onSupportChecked(
        support: GangSupport,
        id: String?,
        respond: (HttpResponse) -> Unit,
        onAdmitted: () -> Unit,
    ) {
        when (support) {
            GangSupport.ALL_MEMBERS -> onAdmitted()
            GangSupport.NOT_ALL_MEMBERS -> refuse(id, HttpResponse.unavailable(NOT_ALL_MEMBERS_SUPPORT_GANGS, retryAfterSeconds), respond)
            GangSupport.UNKNOWN -> respond(responses.storeUnavailable())
        }
    }

    private fun refuse(
        id: String?,
        refusal: HttpResponse,
        respond: (HttpResponse) -> Unit,
    ) {
        if (id == null) respond(refusal) else lookup.refuseUnlessStored(id, null, refusal, respond)
    }

    private companion object {
        const val GANGS_NOT_ENABLED = "this deployment serves no gangs: params.workers sets no gang times"
        const val NOT_ALL_MEMBERS_SUPPORT_GANGS = "not every member knows gangs yet"
    }
}
