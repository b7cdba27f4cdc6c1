package burlridge.leadership

import burlridge.store.StoreClient
import burlridge.store.WatchResult

/**
 * Notices that the leader row has changed before the next poll would: a leader that is gone is followed sooner, and during an upgrade by a
 * member of this version, which will not be replaced any more.
 */
internal class LeaderRowWatch(
    private val store: StoreClient,
    /** Called when the row has changed since it was last watched. */
    private val onChanged: () -> Unit,
) {
    /** The revision of the row that is being watched; 0 for none. */
    private var watchedRevision = 0L

    /** Watches the row from [modRevision] on, for at most [timeoutSeconds]; only the latest watch counts. */
    fun watch(
        modRevision: Long,
        timeoutSeconds: Double,
    ) {
        if (watchedRevision == modRevision) return
        watchedRevision = modRevision
        store.watch(LeaderRow.KEY, modRevision, timeoutSeconds) { result ->
            if (watchedRevision != modRevision) return@watch
            watchedRevision = 0
            if (result is WatchResult.Changes && result.hasEvents) onChanged()
        }
    }
}
