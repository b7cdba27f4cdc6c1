package burlridge.store

import burlridge.core.CallOutcome
import burlridge.core.HttpStatus
import burlridge.core.StepContext
import burlridge.json.Json
import com.fasterxml.jackson.databind.JsonNode
import com.google.common.base.Utf8

/** The client of the state service. Writes wait in a queue for this member's part of the shared budget. */
internal class StoreClient(
    private val context: StepContext,
) {
    private val settings = context.settings

    // Users come in bursts, and hardly to all members in the same second: each may use more than its part for a moment.
    private val writes = TokenBucket(settings.store.writeRps / BURST_PART)
    private val requests = TokenBucket(settings.store.rps / BURST_PART)
    private val counters = RequestPriority.entries.associateWith { "store.requests.${it.name.lowercase()}" }
    private val queues = RequestPriority.entries.associateWith { ArrayDeque<QueuedRequest>() }
    private val reads = RequestPriority.entries.associateWith { ArrayDeque<QueuedRequest>() }
    private val lines = queues.values + reads.values
    private var isLeader = false
    private var lastServedAt = 0.0
    private var lastRefusedAt = -1.0
    private var pausedUntil = 0.0

    private class QueuedRequest(
        val cost: Int,
        val since: Double,
        val patienceSeconds: Double,
        val send: () -> Unit,
        val drop: () -> Unit,
        val counter: String,
    )

    /** Whether the state service has lately answered this member with anything but a refusal. */
    val isServing: Boolean get() = lastRefusedAt < lastServedAt || context.now - lastServedAt < CALL_TIMEOUT_SECONDS

    fun setLeader(isLeader: Boolean) {
        this.isLeader = isLeader
    }

    fun get(
        key: String,
        priority: RequestPriority,
        onResult: (ReadResult<Row>) -> Unit,
    ) {
        enqueue(priority, 0, READ_PATIENCE_SECONDS, { onResult(ReadResult.Failed) }) {
            call("GET", "/store/$key", null, CALL_TIMEOUT_SECONDS) { status, body ->
                val value = body?.get("value")
                when {
                    status == 200 && value != null -> onResult(ReadResult.Found(Row(key, value, body.path("stamp").asLong())))
                    status == 404 -> onResult(ReadResult.Absent)
                    else -> onResult(ReadResult.Failed)
                }
            }
        }
    }

    fun list(
        prefix: String,
        priority: RequestPriority,
        onResult: (ListResult<Listing>) -> Unit,
    ) {
        pages(prefix, "", priority, ArrayList(), 0L, onResult)
    }

    private fun pages(
        prefix: String,
        from: String,
        priority: RequestPriority,
        rows: ArrayList<Row>,
        firstRevision: Long,
        onResult: (ListResult<Listing>) -> Unit,
    ) {
        listPage(prefix, from, PAGE, priority) { page ->
            if (page !is ListResult.Listed) return@listPage onResult(ListResult.Failed)
            rows += page.value.rows
            val revision = if (from.isEmpty()) page.value.revision else firstRevision
            if (page.value.truncated) {
                pages(prefix, rows.last().key, priority, rows, revision, onResult)
            } else {
                onResult(ListResult.Listed(Listing(rows, revision)))
            }
        }
    }

    /** One page of the rows under [prefix], those after the key [from]. */
    fun listPage(
        prefix: String,
        from: String,
        limit: Int,
        priority: RequestPriority,
        onResult: (ListResult<ListPage>) -> Unit,
    ) {
        enqueue(priority, 0, READ_PATIENCE_SECONDS, { onResult(ListResult.Failed) }) {
            val after = if (from.isEmpty()) "" else "&from=$from"
            call("GET", "/store?starts=$prefix$after&limit=$limit", null, CALL_TIMEOUT_SECONDS) { status, body ->
                val pairs = body?.get("pairs")
                if (status != 200 || pairs == null || !pairs.isArray) {
                    onResult(ListResult.Failed)
                } else {
                    val rows = pairs.map { Row(it.path("key").asText(), it.path("value"), it.path("stamp").asLong()) }
                    val truncated = body.path("truncated").asBoolean() && rows.isNotEmpty()
                    onResult(ListResult.Listed(ListPage(rows, truncated, body.path("ledgerRev").asLong())))
                }
            }
        }
    }

    fun commit(
        transaction: Transaction,
        priority: RequestPriority,
        patienceSeconds: Double = WRITE_PATIENCE_SECONDS,
        onSend: () -> Unit = {},
        onResult: (TransactionResult) -> Unit,
    ) {
        val body =
            Json.write(
                Json.obj {
                    putArray("if").apply {
                        transaction.conditions.forEach { c ->
                            addObject().put("key", c.key).put("stamp", c.modRevision)
                        }
                    }
                    putArray("then").apply { transaction.changes.forEach { add(encode(it)) } }
                },
            )
        val excess = excess(transaction, body)
        if (excess != null) {
            context.error("a transaction is not sent: $excess: ${transaction.changes.joinToString(limit = 4) { it.key }}")
            context.schedule(0.0) { onResult(TransactionResult.TooLarge) }
            return
        }
        enqueue(priority, transaction.changes.size, patienceSeconds, { onResult(TransactionResult.Rejected) }) {
            onSend()
            context.call(settings.state, "POST", "/multi", body, CALL_TIMEOUT_SECONDS) { outcome -> onResult(settle(outcome)) }
        }
    }

    /** The one place where every transaction meets the limits, those announced for later included; null where it keeps them. */
    private fun excess(
        transaction: Transaction,
        body: String,
    ): String? {
        val limits = settings.store
        val largest = transaction.changes.maxOfOrNull { if (it is Change.Put) bytesOf(it.value) else 0 } ?: 0
        return when {
            transaction.changes.size > limits.changesPerTransaction -> {
                "${transaction.changes.size} changes of ${limits.changesPerTransaction}"
            }

            transaction.conditions.size > limits.changesPerTransaction * CONDITIONS_PER_OP -> {
                "${transaction.conditions.size} conditions"
            }

            largest > limits.valueBytes -> {
                "a value of $largest bytes of ${limits.valueBytes}"
            }

            body.length > MOST_BYTES / 2 && Utf8.encodedLength(body) > MOST_BYTES -> {
                "more than $MOST_BYTES bytes"
            }

            else -> {
                null
            }
        }
    }

    /** Whether [value] may stand in a row. */
    fun fitsValueLimit(value: JsonNode): Boolean = bytesOf(value) <= settings.store.valueBytes

    private fun bytesOf(value: JsonNode): Int = Utf8.encodedLength(Json.write(value))

    private fun encode(op: Change): JsonNode =
        when (op) {
            is Change.Put -> {
                Json.obj {
                    put("set", op.key)
                    set<JsonNode>("value", op.value)
                    op.leaseId?.let { put("tether", it) }
                }
            }

            is Change.Delete -> {
                Json.obj { put("remove", op.key) }
            }
        }

    private fun settle(outcome: CallOutcome): TransactionResult {
        note(outcome)
        if (outcome is CallOutcome.NotSent) return TransactionResult.Rejected
        val answer = outcome as? CallOutcome.Responded ?: return TransactionResult.Unknown
        val body = Json.parseOrNull(answer.body)
        return when {
            answer.status == 200 && body != null && body.path("ledgerRev").isNumber -> {
                TransactionResult.Committed(body.path("ledgerRev").asLong())
            }

            answer.status == 409 && body != null -> {
                TransactionResult.Conflict(body.path("failed").map { it.asText() })
            }

            answer.status == 429 || answer.status == 503 -> {
                TransactionResult.Rejected
            }

            answer.status == 400 && body?.path("error")?.asText() == "no such lease" -> {
                TransactionResult.LeaseNotFound
            }

            answer.status == 400 -> {
                context.error("state service calls a transaction malformed: ${answer.body}")
                TransactionResult.Rejected
            }

            else -> {
                TransactionResult.Unknown
            }
        }
    }

    /**
     * Repeats [transaction] until its outcome is known or [stillWanted] says no; each of our rows is written under a stamp that only
     * one copy can match.
     * [doubt] is told true while a copy may have been carried out without our knowing, and false once all that were sent are refused.
     */
    fun commitUntilKnown(
        transaction: Transaction,
        priority: RequestPriority,
        stillWanted: () -> Boolean,
        doubt: (Boolean) -> Unit = {},
        onResult: (TransactionResult) -> Unit,
    ) {
        repeated(transaction, priority, stillWanted, doubt, everUnknown = false, onResult)
    }

    private fun repeated(
        transaction: Transaction,
        priority: RequestPriority,
        stillWanted: () -> Boolean,
        doubt: (Boolean) -> Unit,
        everUnknown: Boolean,
        onResult: (TransactionResult) -> Unit,
    ) {
        commit(transaction, priority, PATIENT_SECONDS, { doubt(true) }) { result ->
            when {
                !stillWanted() -> {
                    Unit
                }

                result is TransactionResult.Rejected || result is TransactionResult.Unknown -> {
                    val unknown = everUnknown || result is TransactionResult.Unknown
                    doubt(unknown)
                    context.schedule(RETRY_SECONDS) {
                        if (stillWanted()) repeated(transaction, priority, stillWanted, doubt, unknown, onResult)
                    }
                }

                else -> {
                    onResult(result)
                }
            }
        }
    }

    fun grantLease(
        ttlMillis: Long,
        onResult: (LeaseGrant) -> Unit,
    ) {
        enqueue(RequestPriority.LEADERSHIP, 0, READ_PATIENCE_SECONDS, { onResult(LeaseGrant.Failed) }) {
            call("POST", "/leases", "{\"ttlMs\":$ttlMillis}", CALL_TIMEOUT_SECONDS) { status, body ->
                val leaseId = body?.path("tether")?.takeIf { status == HttpStatus.OK && it.isNumber }?.asLong()
                onResult(if (leaseId == null) LeaseGrant.Failed else LeaseGrant.Granted(leaseId))
            }
        }
    }

    fun renewLease(
        leaseId: Long,
        timeoutSeconds: Double,
        onResult: (LeaseRenewal) -> Unit,
    ) {
        call("POST", "/leases/$leaseId/renew", "", timeoutSeconds) { status, _ ->
            onResult(
                when (status) {
                    HttpStatus.OK -> LeaseRenewal.RENEWED
                    HttpStatus.NOT_FOUND -> LeaseRenewal.EXPIRED
                    else -> LeaseRenewal.UNKNOWN
                },
            )
        }
    }

    fun revokeLease(leaseId: Long) {
        call("DELETE", "/leases/$leaseId", null, CALL_TIMEOUT_SECONDS) { _, _ -> }
    }

    fun watch(
        prefix: String,
        from: Long,
        blockSeconds: Double,
        priority: RequestPriority = RequestPriority.CLAIM,
        onResult: (WatchResult) -> Unit,
    ) {
        enqueue(priority, 0, READ_PATIENCE_SECONDS, { onResult(WatchResult.Failed(WatchResult.NO_STATUS)) }) {
            val path = "/follow?starts=$prefix&from=$from&blockMs=${(blockSeconds * 1000).toLong()}"
            call("GET", path, null, blockSeconds + CALL_TIMEOUT_SECONDS) { status, body ->
                onResult(StoreCodec.decodeWatch(status, body))
            }
        }
    }

    private fun call(
        method: String,
        path: String,
        body: String?,
        timeoutSeconds: Double,
        onResult: (Int, JsonNode?) -> Unit,
    ) {
        context.call(settings.state, method, path, body, timeoutSeconds) { outcome ->
            note(outcome)
            if (outcome is CallOutcome.Responded) onResult(outcome.status, Json.parseOrNull(outcome.body)) else onResult(0, null)
        }
    }

    private fun note(outcome: CallOutcome) {
        val status = (outcome as? CallOutcome.Responded)?.status
        if (status == 429) {
            writes.drain()
            requests.drain()
            pausedUntil = context.now + RETRY_SECONDS
            context.info("state service answers 429")
        }
        if (status == null || status == 503) lastRefusedAt = context.now else lastServedAt = context.now
    }

    private fun enqueue(
        priority: RequestPriority,
        writes: Int,
        patienceSeconds: Double,
        drop: () -> Unit,
        send: () -> Unit,
    ) {
        (
            if (writes ==
                0
            ) {
                reads
            } else {
                queues
            }
        ).getValue(priority).addLast(QueuedRequest(writes, context.now, patienceSeconds, send, drop, counters.getValue(priority)))
        pump()
    }

    fun pump() {
        val part = if (isLeader) LEADER_PART else (1 - LEADER_PART) / (settings.controllers - 1).coerceAtLeast(1)
        writes.refill(context.now, settings.store.writeRps * part)
        requests.refill(context.now, settings.store.rps * part)
        for (queue in lines) {
            while (queue.isNotEmpty() && context.now - queue.first().since > queue.first().patienceSeconds) queue.removeFirst().drop()
        }
        if (context.now < pausedUntil) return
        var mayWrite = true
        for (priority in RequestPriority.entries) {
            // A read never waits for room to write: polls went unanswered behind a burst of submissions.
            while (reads.getValue(priority).isNotEmpty()) if (!sendFirst(reads.getValue(priority))) return
            val queue = queues.getValue(priority)
            while (mayWrite && queue.isNotEmpty()) {
                // Nothing less urgent may write before it.
                val cost = queue.first().cost.toDouble()
                if (!writes.holds(cost)) {
                    mayWrite = false
                } else {
                    if (!sendFirst(queue)) return
                    writes.take(cost)
                }
            }
        }
    }

    private fun sendFirst(queue: ArrayDeque<QueuedRequest>): Boolean {
        if (!requests.take(1.0)) return false
        val next = queue.removeFirst()
        context.count(next.counter)
        next.send()
        return true
    }

    internal companion object {
        /** Conditions that a transaction may have for each change that it may have. */
        const val CONDITIONS_PER_OP = 4
        private const val MOST_BYTES = 64 * 1024
        private const val PAGE = 500
        private const val CALL_TIMEOUT_SECONDS = 2.0
        private const val READ_PATIENCE_SECONDS = 1.0
        private const val WRITE_PATIENCE_SECONDS = 1.0
        private const val PATIENT_SECONDS = 1e9
        private const val RETRY_SECONDS = 0.25

        /** A member's burst, as a part of the shared limits of a second. */
        private const val BURST_PART = 5

        /** The leader's part of the shared limits; the other members write submissions only. */
        private const val LEADER_PART = 0.6
    }
}
