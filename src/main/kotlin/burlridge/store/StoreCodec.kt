package burlridge.store

import burlridge.core.HttpStatus
import com.fasterxml.jackson.databind.JsonNode

/** The JSON of the key-value store's requests and answers. */
internal object StoreCodec {
    /** The answer of [status] and [body] to a watch. */
    fun decodeWatch(
        status: Int,
        body: JsonNode?,
    ): WatchResult =
        when {
            status == HttpStatus.OK && body != null -> decodeChanges(body)
            status == HttpStatus.GONE -> WatchResult.Compacted
            else -> WatchResult.Failed(status)
        }

    private fun decodeChanges(body: JsonNode): WatchResult.Changes {
        val revision = body.path("ledgerRev").asLong(WatchResult.NO_REVISION)
        val events = body.path("events")
        return WatchResult.Changes(revision, if (events.isArray) events.map(::decodeEvent) else null)
    }

    private fun decodeEvent(event: JsonNode): WatchEvent {
        val key = event.path("set").asText(event.path("remove").asText(""))
        val modRevision = event.path("stamp").asLong()
        return if (event.has("set")) WatchEvent.Put(key, event.path("value"), modRevision) else WatchEvent.Delete(key, modRevision)
    }
}
