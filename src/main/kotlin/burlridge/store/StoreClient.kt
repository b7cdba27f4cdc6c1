package burlridge.store

import burlridge.core.CallOutcome
import burlridge.core.HttpStatus
import burlridge.core.StepContext
import burlridge.json.Json
import com.fasterxml.jackson.databind.JsonNode

/**
 * The client of the key-value store. Requests wait in a [RequestQueue] for this member's share of the rate limits; one that waits too long
 * ends as if the store had refused it.
 */
internal class StoreClient(
    private val context: StepContext,
) {
    private val endpoint = context.settings.stateEndpoint
    private val limits = TransactionLimits(context.settings.storeLimits)
    private val queue = RequestQueue(context)
    private var lastServedAt = 0.0
    private var lastFailedAt = -1.0

    /** Whether the latest call was answered with a status other than 503, or any call was within the last [CALL_TIMEOUT_SECONDS]. */
    val isServing: Boolean get() = lastFailedAt < lastServedAt || context.now - lastServedAt < CALL_TIMEOUT_SECONDS

    /** Sets whether this member leads, which gives it a larger share of the rate limits. */
    fun setLeader(isLeader: Boolean) {
        queue.isLeader = isLeader
    }

    /** Sends the queued requests that the rate limits allow now; called at the end of each step. */
    fun sendQueued() = queue.sendQueued()

    /** Whether a row can hold [value]. */
    fun fitsValueLimit(value: JsonNode): Boolean = limits.fitsValue(value)

    // --- reads

    /** Reads the row [key]. */
    fun get(
        key: String,
        priority: RequestPriority,
        onResult: (ReadResult<Row>) -> Unit,
    ) {
        enqueueRead(priority, { onResult(ReadResult.Failed) }) {
            call("GET", StorePaths.row(key), null, CALL_TIMEOUT_SECONDS) { status, body ->
                onResult(StoreCodec.decodeRow(key, status, body))
            }
        }
    }

    /** Reads all rows under [prefix], in as many pages as needed. */
    fun list(
        prefix: String,
        priority: RequestPriority,
        onResult: (ListResult<Listing>) -> Unit,
    ) {
        listPage(prefix, "", MAX_PAGE_ROWS, priority) { page ->
            when (page) {
                ListResult.Failed -> onResult(ListResult.Failed)
                is ListResult.Listed -> listRest(prefix, priority, page.value, ArrayList(), page.value.revision, onResult)
            }
        }
    }

    /** Adds [page] to [rows] and reads the pages after it; the listing has the revision of its first page. */
    private fun listRest(
        prefix: String,
        priority: RequestPriority,
        page: ListPage,
        rows: ArrayList<Row>,
        firstRevision: Long,
        onResult: (ListResult<Listing>) -> Unit,
    ) {
        rows += page.rows
        if (!page.isTruncated) return onResult(ListResult.Listed(Listing(rows, firstRevision)))
        listPage(prefix, rows.last().key, MAX_PAGE_ROWS, priority) { next ->
            when (next) {
                ListResult.Failed -> onResult(ListResult.Failed)
                is ListResult.Listed -> listRest(prefix, priority, next.value, rows, firstRevision, onResult)
            }
        }
    }

    /** Reads at most [limit] rows under [prefix] whose keys follow [after]; an empty [after] reads from the first row. */
    fun listPage(
        prefix: String,
        after: String,
        limit: Int,
        priority: RequestPriority,
        onResult: (ListResult<ListPage>) -> Unit,
    ) {
        enqueueRead(priority, { onResult(ListResult.Failed) }) {
            call("GET", StorePaths.listing(prefix, after, limit), null, CALL_TIMEOUT_SECONDS) { status, body ->
                onResult(StoreCodec.decodePage(status, body))
            }
        }
    }

    /** Waits at most [blockSeconds] for changes of the rows under [prefix] after [revision]. */
    fun watch(
        prefix: String,
        revision: Long,
        blockSeconds: Double,
        priority: RequestPriority = RequestPriority.CLAIM,
        onResult: (WatchResult) -> Unit,
    ) {
        enqueueRead(priority, { onResult(WatchResult.Failed(WatchResult.NO_STATUS)) }) {
            val path = StorePaths.watch(prefix, revision, (blockSeconds * MILLIS_PER_SECOND).toLong())
            call("GET", path, null, blockSeconds + CALL_TIMEOUT_SECONDS) { status, body ->
                onResult(StoreCodec.decodeWatch(status, body))
            }
        }
    }

    // --- transactions

    /** Sends [transaction] once and calls [onSend] at that time; it is rejected if it waits in the queue longer than [maxWaitSeconds]. */
    fun commit(
        transaction: Transaction,
        priority: RequestPriority,
        maxWaitSeconds: Double = WRITE_MAX_WAIT_SECONDS,
        onSend: () -> Unit = {},
        onResult: (TransactionResult) -> Unit,
    ) {
        val body = StoreCodec.encodeTransaction(transaction)
        val exceeded = limits.exceededBy(transaction, body)
        if (exceeded != null) {
            logTooLarge(transaction, exceeded)
            context.schedule(0.0) { onResult(TransactionResult.TooLarge) }
            return
        }
        queue.enqueue(priority, transaction.changes.size, maxWaitSeconds, { onResult(TransactionResult.Rejected) }) {
            onSend()
            context.call(endpoint, "POST", StorePaths.TRANSACTION, body, CALL_TIMEOUT_SECONDS) { onResult(transactionResult(it)) }
        }
    }

    private fun logTooLarge(
        transaction: Transaction,
        exceeded: LimitExceeded,
    ) {
        context.error(
            "transaction exceeds store limit",
            "limit" to exceeded.limit.label,
            "actual" to exceeded.actual,
            "allowed" to exceeded.allowed,
            "keys" to transaction.changes.joinToString(",", limit = MAX_KEYS_LOGGED) { it.key },
        )
    }

    private fun transactionResult(outcome: CallOutcome): TransactionResult {
        observe(outcome)
        return when (outcome) {
            CallOutcome.NotSent -> TransactionResult.Rejected
            CallOutcome.Unknown -> TransactionResult.Unknown
            is CallOutcome.Responded -> transactionResult(outcome)
        }
    }

    private fun transactionResult(response: CallOutcome.Responded): TransactionResult {
        val result = StoreCodec.decodeTransactionResult(response.status, Json.parseOrNull(response.body))
        if (response.status == HttpStatus.BAD_REQUEST && result is TransactionResult.Rejected) {
            context.error("transaction refused as malformed", "response" to response.body)
        }
        return result
    }

    /**
     * Repeats [transaction] until its outcome is known or [isWanted] returns false; each row must have a condition on its revision, so that
     * at most one copy can be executed. [onUncertaintyChanged] is called with true when a copy is sent, since the copy may be executed
     * although no answer arrives, and with false once all copies sent are known to be refused.
     */
    fun commitUntilKnown(
        transaction: Transaction,
        priority: RequestPriority,
        isWanted: () -> Boolean,
        onUncertaintyChanged: (Boolean) -> Unit = {},
        onResult: (TransactionResult) -> Unit,
    ) = CommitRetry(context, this, transaction, priority, isWanted, onUncertaintyChanged, onResult).run()

    // --- leases

    /** Requests a lease that expires [ttlMillis] after its last renewal. */
    fun grantLease(
        ttlMillis: Long,
        onResult: (LeaseGrant) -> Unit,
    ) {
        enqueueRead(RequestPriority.LEADERSHIP, { onResult(LeaseGrant.Failed) }) {
            call("POST", StorePaths.LEASES, StoreCodec.encodeLeaseRequest(ttlMillis), CALL_TIMEOUT_SECONDS) { status, body ->
                onResult(StoreCodec.decodeLeaseGrant(status, body))
            }
        }
    }

    /** Renews a lease immediately, bypassing the queue. */
    fun renewLease(
        leaseId: Long,
        timeoutSeconds: Double,
        onResult: (LeaseRenewal) -> Unit,
    ) {
        call("POST", StorePaths.leaseRenewal(leaseId), "", timeoutSeconds) { status, _ ->
            onResult(StoreCodec.decodeLeaseRenewal(status))
        }
    }

    /** Revokes a lease, which deletes the rows attached to it. If the call fails, the lease expires by itself. */
    fun revokeLease(leaseId: Long) {
        call("DELETE", StorePaths.lease(leaseId), null, CALL_TIMEOUT_SECONDS) { _, _ -> }
    }

    // --- calls

    private fun enqueueRead(
        priority: RequestPriority,
        onDropped: () -> Unit,
        send: () -> Unit,
    ) = queue.enqueue(priority, 0, READ_MAX_WAIT_SECONDS, onDropped, send)

    /** Calls [onResponse] with [WatchResult.NO_STATUS] if no answer arrived. */
    private fun call(
        method: String,
        path: String,
        body: String?,
        timeoutSeconds: Double,
        onResponse: (Int, JsonNode?) -> Unit,
    ) {
        context.call(endpoint, method, path, body, timeoutSeconds) { outcome ->
            observe(outcome)
            if (outcome is CallOutcome.Responded) {
                onResponse(outcome.status, Json.parseOrNull(outcome.body))
            } else {
                onResponse(WatchResult.NO_STATUS, null)
            }
        }
    }

    private fun observe(outcome: CallOutcome) {
        val status = (outcome as? CallOutcome.Responded)?.status
        if (status == HttpStatus.TOO_MANY_REQUESTS) {
            queue.pause()
            context.info("store requests throttled")
        }
        if (status == null || status == HttpStatus.SERVICE_UNAVAILABLE) lastFailedAt = context.now else lastServedAt = context.now
    }

    private companion object {
        const val MAX_PAGE_ROWS = 500
        const val CALL_TIMEOUT_SECONDS = 2.0
        const val READ_MAX_WAIT_SECONDS = 1.0
        const val WRITE_MAX_WAIT_SECONDS = 1.0
        const val MILLIS_PER_SECOND = 1000
        const val MAX_KEYS_LOGGED = 4
    }
}
