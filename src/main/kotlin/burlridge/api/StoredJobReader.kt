package burlridge.api

import burlridge.allocation.ActiveJobRow
import burlridge.allocation.FinishedJobRow
import burlridge.allocation.JobRegistry
import burlridge.allocation.JobRowCodec
import burlridge.store.ReadResult
import burlridge.store.RequestPriority
import burlridge.store.Row
import burlridge.store.StoreClient

/** Reads a job's rows, and records jobs that have ended in the registry. */
internal class StoredJobReader(
    private val store: StoreClient,
    private val registry: JobRegistry,
) {
    /** Reads the active row first: a job moves from it to its finished row, so a job that ends between the two reads is not missed. */
    fun read(
        id: String,
        onResult: (StoredJob) -> Unit,
    ) {
        store.get(ActiveJobRow.key(id), RequestPriority.USER) { read ->
            when (read) {
                is ReadResult.Found -> {
                    onResult(
                        StoredJob.Active(JobRowCodec.activeFingerprint(read.value), JobRowCodec.submittedMillis(read.value)),
                    )
                }

                ReadResult.Failed -> {
                    onResult(StoredJob.Unreadable)
                }

                ReadResult.Absent -> {
                    readFinished(id, onResult)
                }
            }
        }
    }

    private fun readFinished(
        id: String,
        onResult: (StoredJob) -> Unit,
    ) {
        store.get(FinishedJobRow.key(id), RequestPriority.USER) { read ->
            when (read) {
                is ReadResult.Found -> onResult(finished(id, read.value))
                ReadResult.Absent -> onResult(StoredJob.Missing)
                ReadResult.Failed -> onResult(StoredJob.Unreadable)
            }
        }
    }

    private fun finished(
        id: String,
        row: Row,
    ): StoredJob {
        val end = JobRowCodec.decodeFinished(row) ?: return StoredJob.Unreadable
        registry.recordFinished(id, end)
        return StoredJob.Finished(end)
    }
}
