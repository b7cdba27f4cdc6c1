package burlridge.balance

import burlridge.core.StepContext
import burlridge.leadership.FencedStore
import burlridge.leadership.Leadership
import burlridge.store.Change
import burlridge.store.Condition
import burlridge.store.ReadResult
import burlridge.store.RequestPriority
import burlridge.store.Row
import burlridge.store.StoreClient
import burlridge.store.TransactionResult

/** The result of a requested change of a drain. */
internal sealed interface DrainChange {
    /** The state in [drain] is durable; it may have been so before the request. */
    data class Written(
        val drain: Drain,
    ) : DrainChange

    /** Another change of the same drain is being written; the requested change was not begun. */
    data object Busy : DrainChange

    /** Nothing was written; [reason] is one line of text for the operator. */
    data class Refused(
        val reason: String,
    ) : DrainChange
}

/**
 * All drains, each in its own row, keyed by target. Only the leader writes these rows, by compare-and-swap on the revision and fenced by
 * its term. A new leader reads all of them before its first placement.
 */
internal class DrainRegistry(
    private val context: StepContext,
    private val store: StoreClient,
    private val leadership: Leadership,
    private val onChange: () -> Unit,
) {
    private class Entry(
        var drain: Drain?,
    ) {
        /** The change whose write is in flight, if any; [callbacks] are called with its outcome. */
        var pendingWrite: Drain? = null
        val callbacks = ArrayList<(DrainChange) -> Unit>()
    }

    private val fenced = FencedStore(store, leadership)
    private val entries = LinkedHashMap<String, Entry>()

    /** Keys of the rows that cannot be decoded; these rows are left unchanged. */
    val damagedRows: LinkedHashSet<String> = LinkedHashSet()

    /** All drains, including cancelled ones whose rows are still kept. */
    val all: List<Drain> get() = entries.values.mapNotNull { it.drain }
    val isEmpty: Boolean get() = entries.isEmpty()

    /** Clears all state; called when a term begins or ends. */
    fun clear() {
        entries.clear()
        damagedRows.clear()
        onChange()
    }

    /** Loads a row that an earlier leader wrote. */
    fun load(row: Row) {
        val drain = Drain.decode(row)
        if (drain != null) {
            entries[row.key] = Entry(drain)
            onChange()
        } else if (damagedRows.add(row.key)) {
            context.infoLimited("drain row unreadable", "row" to row.key)
        }
    }

    /** Begins a drain of [target]; idempotent if there is an active one already. */
    fun request(
        target: DrainTarget,
        cause: DrainCause,
        onResult: (DrainChange) -> Unit,
    ) {
        val key = Drain.PREFIX + target.key
        if (key in damagedRows) return onResult(DrainChange.Refused("its row $key is damaged; remove it first"))
        val entry = entries.getOrPut(key) { Entry(null) }
        val current = entry.drain
        if (entry.pendingWrite == null && current?.isActive == true) return onResult(DrainChange.Written(current))
        val next = Drain(target, cause, DrainState.REQUESTED, context.wallMillis, context.wallMillis, current?.modRevision ?: 0)
        change(entry, next, onResult)
    }

    /** Cancels the drain of [target]. */
    fun cancel(
        target: DrainTarget,
        onResult: (DrainChange) -> Unit,
    ) {
        val entry = entries[Drain.PREFIX + target.key]
        val current = entry?.drain
        if (entry == null || (current == null && entry.pendingWrite == null)) {
            return onResult(DrainChange.Refused("there is no drain of ${target.kind} ${target.value}"))
        }
        if (current == null) return onResult(DrainChange.Busy)
        if (entry.pendingWrite == null && !current.isActive) return onResult(DrainChange.Written(current))
        change(entry, current.copy(state = DrainState.CANCELLED, changedMillis = context.wallMillis), onResult)
    }

    /** Puts [drain] into [state]. Does nothing while another change of it is being written; the next sweep retries. */
    fun advance(
        drain: Drain,
        state: DrainState,
    ) {
        val entry = entries[drain.rowKey] ?: return
        if (entry.pendingWrite == null &&
            entry.drain == drain
        ) {
            change(entry, drain.copy(state = state, changedMillis = context.wallMillis)) {}
        }
    }

    private fun change(
        entry: Entry,
        next: Drain,
        onResult: (DrainChange) -> Unit,
    ) {
        val pendingWrite = entry.pendingWrite
        when {
            pendingWrite == null -> {
                entry.callbacks += onResult
                write(entry, next)
            }

            pendingWrite.isActive == next.isActive -> {
                entry.callbacks += onResult
            }

            else -> {
                onResult(DrainChange.Busy)
            }
        }
    }

    private fun write(
        entry: Entry,
        next: Drain,
    ) {
        entry.pendingWrite = next
        fenced.commit(
            listOf(Condition(next.rowKey, next.modRevision)),
            listOf(Change.Put(next.rowKey, next.encode())),
            RequestPriority.CLAIM,
        ) { result ->
            when {
                result is TransactionResult.Committed -> onWritten(entry, next.copy(modRevision = result.revision))
                result is TransactionResult.Conflict && fenced.isFenced(result) -> fenced.stepDown()
                result is TransactionResult.Conflict -> readBack(entry, next)
                else -> finishWrite(entry, entry.drain, DrainChange.Refused("its row is not taken by the state service"))
            }
        }
    }

    /** Reads the row back after a conflict: only the leader writes it, so normally an earlier copy of the same write was executed. */
    private fun readBack(
        entry: Entry,
        next: Drain,
    ) {
        val isStillLeading = leadership.whileLeading(leadership.term)
        store.get(next.rowKey, RequestPriority.CLAIM) { read ->
            val row = (read as? ReadResult.Found)?.value
            when {
                !isStillLeading() -> Unit
                read is ReadResult.Failed -> context.schedule(RETRY_SECONDS) { if (isStillLeading()) readBack(entry, next) }
                row != null && next.isWrittenIn(row) -> onWritten(entry, next.copy(modRevision = row.modRevision))
                else -> finishWrite(entry, row?.let(Drain::decode), DrainChange.Refused("its row was changed by someone else"))
            }
        }
    }

    private fun onWritten(
        entry: Entry,
        drain: Drain,
    ) {
        context.info(
            "drain changed",
            drain.target.kind to drain.target.value,
            "state" to drain.state.wireName,
            "cause" to drain.cause.wireName,
        )
        finishWrite(entry, drain, DrainChange.Written(drain))
    }

    private fun finishWrite(
        entry: Entry,
        drain: Drain?,
        outcome: DrainChange,
    ) {
        val key = entry.pendingWrite?.rowKey
        entry.drain = drain
        entry.pendingWrite = null
        if (drain == null && key != null) entries.remove(key)
        onChange()
        val pendingCallbacks = entry.callbacks.toList()
        entry.callbacks.clear()
        pendingCallbacks.forEach { it(outcome) }
    }

    /** Deletes the row of a finished [drain] whose retention time is over. */
    fun deleteRow(drain: Drain) {
        val entry = entries[drain.rowKey]?.takeIf { it.pendingWrite == null && it.drain == drain } ?: return
        entry.pendingWrite = drain
        fenced.commit(
            listOf(Condition(drain.rowKey, drain.modRevision)),
            listOf(Change.Delete(drain.rowKey)),
            RequestPriority.CLEANUP,
        ) { result ->
            when {
                result is TransactionResult.Conflict && fenced.isFenced(result) -> fenced.stepDown()

                // Only this leader writes the row, so if the revision differs, an earlier copy of this write has deleted it.
                else -> finishWrite(entry, null, DrainChange.Busy)
            }
        }
    }

    private companion object {
        const val RETRY_SECONDS = 1.0
    }
}
