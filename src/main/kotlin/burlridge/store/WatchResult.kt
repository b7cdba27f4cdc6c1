package burlridge.store

import com.fasterxml.jackson.databind.JsonNode

/** Result of a watch of the rows under a prefix. */
internal sealed interface WatchResult {
    /**
     * The changes after the requested revision; no events if nothing changed while the watch was open.
     *
     * @property revision up to which all changes are in [events]; [NO_REVISION] if the answer has none, in violation of the protocol.
     * @property events in the order of the answer; null if the answer has no list of events, in violation of the protocol.
     */
    data class Changes(
        val revision: Long,
        val events: List<WatchEvent>?,
    ) : WatchResult {
        /** Whether any row changed. */
        val hasEvents: Boolean get() = !events.isNullOrEmpty()
    }

    /** The store no longer keeps the changes since the requested revision: the rows must be listed again. */
    data object Compacted : WatchResult

    /** There was no usable answer. [status] is its HTTP status; [NO_STATUS] if none arrived or the request was not sent. */
    data class Failed(
        val status: Int,
    ) : WatchResult

    companion object {
        /** Stands for the missing revision of an answer; below every revision. */
        const val NO_REVISION: Long = -1L

        /** Stands for the HTTP status of an answer that never arrived. */
        const val NO_STATUS: Int = 0
    }
}

/** A change of one row, as a watch reports it. */
internal sealed interface WatchEvent {
    /** Key of the row; empty if the event has none, in violation of the protocol. */
    val key: String

    /** Revision of the change; 0 if the event has none, in violation of the protocol. */
    val modRevision: Long

    /** The row was written. [value] is a missing node if the event has none, in violation of the protocol. */
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
