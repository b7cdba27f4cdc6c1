package burlridge.app

import burlridge.allocation.ActiveJobRow
import burlridge.allocation.JobRegistry
import burlridge.core.StepContext
import burlridge.store.ListResult
import burlridge.store.RequestPriority
import burlridge.store.Row
import burlridge.store.StoreClient
import burlridge.store.WatchEvent
import burlridge.store.WatchResult

/** Detects the jobs that other members accept by watching the rows of active jobs, in case the members' messages are lost. */
internal class SubmissionWatch(
    private val context: StepContext,
    private val store: StoreClient,
    private val registry: JobRegistry,
    /** Called after rows have changed. */
    private val onJobsChanged: () -> Unit,
) {
    /** The last revision whose changes have been processed. */
    private var revision = 0L

    /** Watches the changes after [revision] for as long as [isStillLeading]. */
    fun start(
        revision: Long,
        isStillLeading: () -> Boolean,
    ) {
        this.revision = revision
        watch(isStillLeading)
    }

    private fun watch(isStillLeading: () -> Boolean) {
        if (!isStillLeading()) return
        store.watch(ActiveJobRow.KEY_PREFIX, revision, WATCH_SECONDS) { result ->
            if (!isStillLeading()) return@watch
            when (result) {
                is WatchResult.Changes -> onChanges(result)
                WatchResult.Compacted -> relist(isStillLeading)
                is WatchResult.Failed -> Unit
            }
            context.schedule(WATCH_RESTART_DELAY_SECONDS) { watch(isStillLeading) }
        }
    }

    private fun onChanges(changes: WatchResult.Changes) {
        changes.events?.forEach { event ->
            if (event is WatchEvent.Put && event.key.startsWith(ActiveJobRow.KEY_PREFIX)) {
                registry.admit(Row(event.key, event.value, event.modRevision))
            }
        }
        revision = maxOf(revision, changes.revision)
        if (changes.hasEvents) onJobsChanged()
    }

    /** Lists all active jobs: the key-value store has compacted the changes since [revision]. */
    private fun relist(isStillLeading: () -> Boolean) {
        store.list(ActiveJobRow.KEY_PREFIX, RequestPriority.CLAIM) { listing ->
            if (listing !is ListResult.Listed || !isStillLeading()) return@list
            listing.value.rows.forEach { registry.admit(it) }
            revision = maxOf(revision, listing.value.revision)
        }
    }

    private companion object {
        const val WATCH_SECONDS = 10.0
        const val WATCH_RESTART_DELAY_SECONDS = 0.5
    }
}
