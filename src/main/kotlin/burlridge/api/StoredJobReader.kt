package burlridge.api

import burlridge.allocation.ActiveJobRow
import burlridge.allocation.FinishedJobRow
import burlridge.allocation.JobRegistry
import burlridge.allocation.JobRowCodec
import burlridge.allocation.JobState
import burlridge.store.ReadResult
import burlridge.store.RequestPriority
import burlridge.store.Row
import burlridge.store.StoreClient

/** What the rows of a job say. */
internal sealed interface StoredJob {
    val fingerprint: String?
    val jobState: JobState

    data object Missing : StoredJob {
        override val fingerprint: String? = null
        override val jobState: JobState = JobState.QUEUED
    }

    data class Live(
        override val fingerprint: String,
    ) : StoredJob {
        override val jobState: JobState = JobState.QUEUED
    }

    data class Over(
        val end: FinishedJobRow,
    ) : StoredJob {
        override val fingerprint: String = end.fingerprint
        override val jobState: JobState = end.jobState
    }
}

internal class StoredJobReader(
    private val store: StoreClient,
    private val registry: JobRegistry,
) {
    /** The live row first: a job moves from there to its end, so one that is missed there is found here. Null when a read failed. */
    fun read(
        id: String,
        onResult: (StoredJob?) -> Unit,
    ) {
        store.get(ActiveJobRow.key(id), RequestPriority.USER) { live ->
            when (live) {
                is ReadResult.Found -> {
                    onResult(
                        StoredJob.Live(JobRowCodec.activeFingerprint(live.value)),
                    )
                }

                ReadResult.Failed -> {
                    onResult(null)
                }

                ReadResult.Absent -> {
                    store.get(FinishedJobRow.key(id), RequestPriority.USER) { over ->
                        when (over) {
                            is ReadResult.Found -> onResult(recordEnd(id, over.value))
                            ReadResult.Absent -> onResult(StoredJob.Missing)
                            ReadResult.Failed -> onResult(null)
                        }
                    }
                }
            }
        }
    }

    private fun recordEnd(
        id: String,
        row: Row,
    ): StoredJob.Over? {
        val end = JobRowCodec.decodeFinished(row) ?: return null
        registry.recordEnd(id, end)
        return StoredJob.Over(end)
    }
}
