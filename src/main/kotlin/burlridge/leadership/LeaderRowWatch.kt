package burlridge.leadership

import burlridge.store.StoreClient
import burlridge.store.WatchResult

/**
 * Detects a change of the leader row before the next poll would: a failed leader is replaced sooner and, during an upgrade, by a member
 * that already runs this version and does not have to be replaced again.
 */
internal class LeaderRowWatch(
    private val store: StoreClient,
    /** Called when the row has changed since the watched revision. */
    private val onChanged: () -> Unit,
) {
    /** Revision after which the row is being watched; 0 if no watch is open. */
    private var watchedRevision = 0L

    /** Watches the row for changes after [modRevision], for at most [timeoutSeconds]; results of earlier watches are ignored. */
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
