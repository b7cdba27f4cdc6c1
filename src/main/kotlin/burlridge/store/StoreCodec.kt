package burlridge.store

import burlridge.core.HttpStatus
import burlridge.json.Json
import com.fasterxml.jackson.databind.JsonNode

/**
 * Encodes the JSON requests to the key-value store and decodes its answers. The body of an answer is null if there is none or it is not
 * JSON; the status is [WatchResult.NO_STATUS] if no answer arrived.
 */
internal object StoreCodec {
    private const val LEASE_NOT_FOUND = "no such lease"

    // --- rows

    /** Decodes the answer to a read of the row [key]. */
    fun decodeRow(
        key: String,
        status: Int,
        body: JsonNode?,
    ): ReadResult<Row> {
        val value = body?.get("value")
        return when {
            status == HttpStatus.OK && value != null -> ReadResult.Found(Row(key, value, body.path("stamp").asLong()))
            status == HttpStatus.NOT_FOUND -> ReadResult.Absent
            else -> ReadResult.Failed
        }
    }

    /** Decodes the answer to a request for one page of a listing. */
    fun decodePage(
        status: Int,
        body: JsonNode?,
    ): ListResult<ListPage> {
        val pairs = body?.get("pairs")
        if (status != HttpStatus.OK || pairs == null || !pairs.isArray) return ListResult.Failed
        val rows = pairs.map { Row(it.path("key").asText(), it.path("value"), it.path("stamp").asLong()) }
        val isTruncated = body.path("truncated").asBoolean() && rows.isNotEmpty()
        return ListResult.Listed(ListPage(rows, isTruncated, body.path("ledgerRev").asLong()))
    }

    // --- transactions

    /** Encodes the request body of [transaction]. */
    fun encodeTransaction(transaction: Transaction): String =
        Json.write(
            Json.obj {
                val conditions = putArray("if")
                transaction.conditions.forEach { conditions.addObject().put("key", it.key).put("stamp", it.modRevision) }
                val changes = putArray("then")
                transaction.changes.forEach { changes.add(encodeChange(it)) }
            },
        )

    private fun encodeChange(change: Change): JsonNode =
        when (change) {
            is Change.Put -> {
                Json.obj {
                    put("set", change.key)
                    set<JsonNode>("value", change.value)
                    change.leaseId?.let { put("tether", it) }
                }
            }

            is Change.Delete -> {
                Json.obj { put("remove", change.key) }
            }
        }

    /** Decodes the answer to a transaction. */
    fun decodeTransactionResult(
        status: Int,
        body: JsonNode?,
    ): TransactionResult =
        when {
            status == HttpStatus.OK && body != null && body.path("ledgerRev").isNumber -> {
                TransactionResult.Committed(body.path("ledgerRev").asLong())
            }

            status == HttpStatus.CONFLICT && body != null -> {
                TransactionResult.Conflict(body.path("failed").map { it.asText() })
            }

            status == HttpStatus.BAD_REQUEST && body?.path("error")?.asText() == LEASE_NOT_FOUND -> {
                TransactionResult.LeaseNotFound
            }

            status == HttpStatus.BAD_REQUEST || status == HttpStatus.TOO_MANY_REQUESTS || status == HttpStatus.SERVICE_UNAVAILABLE -> {
                TransactionResult.Rejected
            }

            else -> {
                TransactionResult.Unknown
            }
        }

    // --- leases

    /** Encodes the body of a request for a lease. */
    fun encodeLeaseRequest(ttlMillis: Long): String = "{\"ttlMs\":$ttlMillis}"

    /** Decodes the answer to a request for a lease. */
    fun decodeLeaseGrant(
        status: Int,
        body: JsonNode?,
    ): LeaseGrant {
        val leaseId = body?.path("tether")
        return if (status == HttpStatus.OK && leaseId?.isNumber == true) LeaseGrant.Granted(leaseId.asLong()) else LeaseGrant.Failed
    }

    /** Decodes the answer to the renewal of a lease; only its status matters. */
    fun decodeLeaseRenewal(status: Int): LeaseRenewal =
        when (status) {
            HttpStatus.OK -> LeaseRenewal.RENEWED
            HttpStatus.NOT_FOUND -> LeaseRenewal.EXPIRED
            else -> LeaseRenewal.UNKNOWN
        }

    // --- watches

    /** Decodes the answer to a watch. */
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
