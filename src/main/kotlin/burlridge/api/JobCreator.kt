package burlridge.api

import burlridge.allocation.ActiveJobRow
import burlridge.allocation.FinishedJobRow
import burlridge.allocation.JobRegistry
import burlridge.core.HttpResponse
import burlridge.job.JobSpec
import burlridge.leadership.Leadership
import burlridge.peer.PeerRequests
import burlridge.store.Change
import burlridge.store.Condition
import burlridge.store.RequestPriority
import burlridge.store.Row
import burlridge.store.StoreClient
import burlridge.store.Transaction
import burlridge.store.TransactionResult
import com.fasterxml.jackson.databind.JsonNode

/** Accepts a job by writing its row, on the condition that neither an active nor a finished row of the job exists. */
internal class JobCreator(
    private val store: StoreClient,
    private val leadership: Leadership,
    private val registry: JobRegistry,
    private val peers: PeerRequests,
    private val authority: JobAuthority,
    private val lookup: JobLookup,
    private val responses: JobResponses,
    private val validation: JobValidation,
    private val onStored: (String) -> Unit,
    private val onAdmitted: () -> Unit,
) {
    /** Writes the row of a new job, and responds once the write is durable, has failed or has timed out. */
    fun create(
        spec: JobSpec,
        respond: (HttpResponse) -> Unit,
    ) {
        val row = validation.activeRow(spec)
        val key = ActiveJobRow.key(spec.id)
        val transaction = Transaction(listOf(Condition(key, 0), Condition(FinishedJobRow.key(spec.id), 0)), listOf(Change.Put(key, row)))
        store.commit(transaction, RequestPriority.USER, MAX_WAIT_SECONDS) { result ->
            when (result) {
                is TransactionResult.Committed -> {
                    onCommitted(spec, row, result.revision)
                    respond(responses.accepted(spec.id))
                }

                is TransactionResult.Conflict -> {
                    lookup.refuseUnlessStored(spec.id, spec.fingerprint, HttpResponse.unavailable("try again"), respond)
                }

                TransactionResult.Unknown -> {
                    respond(responses.outcomeUnknown())
                }

                TransactionResult.Rejected, TransactionResult.LeaseNotFound, TransactionResult.TooLarge -> {
                    respond(HttpResponse.unavailable("the state service takes no more at the moment"))
                }
            }
        }
    }

    private fun onCommitted(
        spec: JobSpec,
        row: JsonNode,
        modRevision: Long,
    ) {
        onStored(spec.id)
        peers.broadcastJobAccepted(spec.id)
        if (leadership.isLeader && authority.isLoaded) {
            registry.admit(Row(ActiveJobRow.key(spec.id), row, modRevision))
            onAdmitted()
        }
    }

    private companion object {
        const val MAX_WAIT_SECONDS = 0.8
    }
}
