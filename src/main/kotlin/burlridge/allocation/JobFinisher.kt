package burlridge.allocation

import burlridge.core.StepContext
import burlridge.leadership.FencedStore
import burlridge.leadership.Leadership
import burlridge.store.Change
import burlridge.store.Condition
import burlridge.store.ReadResult
import burlridge.store.RequestPriority
import burlridge.store.StoreClient
import burlridge.store.TransactionResult

/** Ends jobs. A single transaction replaces a job's active row with its finished row, so a job ends either as done or as cancelled. */
internal class JobFinisher(
    private val context: StepContext,
    private val store: StoreClient,
    private val leadership: Leadership,
    /** Called with each job that has ended and its finished row. */
    private val onFinished: (Job, FinishedJobRow) -> Unit,
) {
    private val fenced = FencedStore(store, leadership)

    /** Ends [job] with [jobState], unless this leader is writing or has written a final state already. */
    fun finish(
        job: Job,
        jobState: JobState,
    ) {
        if (job.isEnding) return
        job.pendingFinalState = jobState
        val id = job.spec.id
        val row = finishedRow(job, jobState)
        // Progress rows beyond the transaction's limit on changes are removed afterwards, or by a later leader that finds them.
        val removedKeys =
            job.progressRevisions.keys.take(
                (context.settings.storeLimits.changesPerTransaction - OWN_CHANGES).coerceAtLeast(0),
            )
        val ownChanges =
            listOf(Change.Delete(ActiveJobRow.key(id)), Change.Put(FinishedJobRow.key(id), JobRowCodec.encodeFinished(row)))
        fenced.commit(
            listOf(ActiveJobRow.condition(job), Condition(FinishedJobRow.key(id), 0)),
            ownChanges + removedKeys.map { Change.Delete(it) },
            if (jobState == JobState.DONE) RequestPriority.FINISH else RequestPriority.USER,
            onUncertain = { job.isEndUncertain = it },
        ) { result -> onResult(job, row, removedKeys, result) }
    }

    private fun finishedRow(
        job: Job,
        jobState: JobState,
    ) = FinishedJobRow(jobState, job.spec.fingerprint, job.spec.taskCount)

    private fun onResult(
        job: Job,
        row: FinishedJobRow,
        removedKeys: List<String>,
        result: TransactionResult,
    ) {
        when (result) {
            is TransactionResult.Committed -> {
                job.progressRevisions -= removedKeys
                onFinished(job, row)
            }

            is TransactionResult.Conflict -> {
                if (fenced.isFenced(result)) fenced.stepDown() else readBack(job)
            }

            else -> {
                job.pendingFinalState = null
                job.isEndUncertain = false
            }
        }
    }

    /** Reads the finished row to see how the job ended: an earlier copy of this leader's own transaction may have been applied. */
    private fun readBack(job: Job) {
        val stillLeading = leadership.whileLeading(leadership.term)
        store.get(FinishedJobRow.key(job.spec.id), RequestPriority.FINISH) { read ->
            if (!stillLeading()) return@get
            val stored = (read as? ReadResult.Found)?.let { JobRowCodec.decodeFinished(it.value) }
            if (stored != null) {
                onFinished(job, finishedRow(job, stored.jobState))
            } else {
                context.schedule(READ_RETRY_SECONDS) { if (stillLeading()) readBack(job) }
            }
        }
    }

    private companion object {
        const val READ_RETRY_SECONDS = 1.0

        /** Number of changes in the transaction besides the removal of progress rows. */
        const val OWN_CHANGES = 2
    }
}
