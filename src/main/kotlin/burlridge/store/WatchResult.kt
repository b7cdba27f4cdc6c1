package burlridge.store

import com.fasterxml.jackson.databind.JsonNode

/** How a watch of the rows under a prefix ended. */
internal sealed interface WatchResult {
    /**
     * What changed after the revision that was asked for; no events where nothing changed while the watch was open.
     *
     * @property revision up to which all changes are in [events]; [NO_REVISION] where the answer names none, against the protocol.
     * @property events in the order of the answer; null where the answer holds no list of them, against the protocol.
     */
    data class Changes(
        val revision: Long,
        val events: List<WatchEvent>?,
    ) : WatchResult {
        /** Whether any row changed. */
        val hasEvents: Boolean get() = !events.isNullOrEmpty()
    }

    /** The changes since the revision that was asked for are not kept any more: the rows must be listed again. */
    data object Compacted : WatchResult

    /** There is no usable answer. [status] is its HTTP status, [NO_STATUS] where none came or the request was not sent. */
    data class Failed(
        val status: Int,
    ) : WatchResult

    companion object {
        /** In place of a revision that an answer lacks; below every revision. */
        const val NO_REVISION: Long = -1L

        /** In place of the HTTP status of an answer that never came. */
        const val NO_STATUS: Int = 0
    }
}

/** A change of one row, as a watch reports it. */
internal sealed interface WatchEvent {
    /** The row; empty where the event names none, against the protocol. */
    val key: String

    /** The revision of the change; 0 where the event names none, against the protocol. */
    val modRevision: Long

    /** The row was written. [value] is a missing node where the event carries none, against the protocol. */
    data class Put(
        override val key: String,
        val value: JsonNode,
        override val modRevision: Long,
    ) : WatchEvent

    /** The row was removed. */
    data class Delete(
        override val key: String,
        override val modRevision: Long,
    ) : WatchEvent
}
