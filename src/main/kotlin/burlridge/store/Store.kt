package burlridge.store

import burlridge.core.Context
import burlridge.core.Outcome
import burlridge.json.Json
import com.fasterxml.jackson.databind.JsonNode
import com.google.common.base.Utf8

/** The client of the state service. Writes wait in a queue for this member's part of the shared budget. */
internal class Store(
    private val context: Context,
) {
    private val settings = context.settings

    // Users come in bursts, and hardly to all members in the same second: each may use more than its part for a moment.
    private val writes = Bucket(settings.store.writeRps / BURST_PART)
    private val requests = Bucket(settings.store.rps / BURST_PART)
    private val counters = Urgency.entries.associateWith { "store.requests.${it.name.lowercase()}" }
    private val queues = Urgency.entries.associateWith { ArrayDeque<Waiting>() }
    private val reads = Urgency.entries.associateWith { ArrayDeque<Waiting>() }
    private val lines = queues.values + reads.values
    private var leads = false
    private var lastServedAt = 0.0
    private var lastRefusedAt = -1.0
    private var pausedUntil = 0.0

    private class Waiting(
        val cost: Int,
        val since: Double,
        val patienceS: Double,
        val send: () -> Unit,
        val drop: () -> Unit,
        val counter: String,
    )

    /** Whether the state service has lately answered this member with anything but a refusal. */
    val served: Boolean get() = lastRefusedAt < lastServedAt || context.now - lastServedAt < CALL_TIMEOUT_S

    fun leading(yes: Boolean) {
        leads = yes
    }

    fun get(
        key: String,
        urgency: Urgency,
        then: (Read<Row>) -> Unit,
    ) {
        enqueue(urgency, 0, READ_PATIENCE_S, { then(Read.Failed) }) {
            call("GET", "/store/$key", null, CALL_TIMEOUT_S) { status, body ->
                val value = body?.get("value")
                when {
                    status == 200 && value != null -> then(Read.Found(Row(key, value, body.path("stamp").asLong())))
                    status == 404 -> then(Read.Absent)
                    else -> then(Read.Failed)
                }
            }
        }
    }

    fun list(
        prefix: String,
        urgency: Urgency,
        then: (Listing?) -> Unit,
    ) {
        pages(prefix, "", urgency, ArrayList(), 0L, then)
    }

    private fun pages(
        prefix: String,
        from: String,
        urgency: Urgency,
        rows: ArrayList<Row>,
        firstRevision: Long,
        then: (Listing?) -> Unit,
    ) {
        page(prefix, from, PAGE, urgency) { page ->
            if (page == null) return@page then(null)
            rows += page.rows
            val revision = if (from.isEmpty()) page.revision else firstRevision
            if (page.truncated) pages(prefix, rows.last().key, urgency, rows, revision, then) else then(Listing(rows, revision))
        }
    }

    /** One page of the rows under [prefix], those after the key [from]; null where it cannot be read. */
    fun page(
        prefix: String,
        from: String,
        limit: Int,
        urgency: Urgency,
        then: (Page?) -> Unit,
    ) {
        enqueue(urgency, 0, READ_PATIENCE_S, { then(null) }) {
            val after = if (from.isEmpty()) "" else "&from=$from"
            call("GET", "/store?starts=$prefix$after&limit=$limit", null, CALL_TIMEOUT_S) { status, body ->
                val pairs = body?.get("pairs")
                if (status != 200 || pairs == null || !pairs.isArray) {
                    then(null)
                } else {
                    val rows = pairs.map { Row(it.path("key").asText(), it.path("value"), it.path("stamp").asLong()) }
                    then(Page(rows, body.path("truncated").asBoolean() && rows.isNotEmpty(), body.path("ledgerRev").asLong()))
                }
            }
        }
    }

    fun txn(
        txn: Transaction,
        urgency: Urgency,
        patienceS: Double = WRITE_PATIENCE_S,
        onSend: () -> Unit = {},
        then: (TransactionResult) -> Unit,
    ) {
        val body =
            Json.write(
                Json.obj {
                    putArray("if").apply { txn.conditions.forEach { c -> addObject().put("key", c.key).put("stamp", c.stamp) } }
                    putArray("then").apply { txn.ops.forEach { add(encode(it)) } }
                },
            )
        val excess = excess(txn, body)
        if (excess != null) {
            context.error("a transaction is not sent: $excess: ${txn.ops.joinToString(limit = 4) { it.key }}")
            context.later(0.0) { then(TransactionResult.TooLarge) }
            return
        }
        enqueue(urgency, txn.ops.size, patienceS, { then(TransactionResult.Refused) }) {
            onSend()
            context.call(settings.state, "POST", "/multi", body, CALL_TIMEOUT_S) { outcome -> then(settle(outcome)) }
        }
    }

    /** The one place where every transaction meets the limits, those announced for later included; null where it keeps them. */
    private fun excess(
        txn: Transaction,
        body: String,
    ): String? {
        val limits = settings.store
        val largest = txn.ops.maxOfOrNull { if (it is Change.Put) bytesOf(it.value) else 0 } ?: 0
        return when {
            txn.ops.size > limits.changesPerTransaction -> "${txn.ops.size} changes of ${limits.changesPerTransaction}"
            txn.conditions.size > limits.changesPerTransaction * CONDITIONS_AN_OP -> "${txn.conditions.size} conditions"
            largest > limits.valueBytes -> "a value of $largest bytes of ${limits.valueBytes}"
            body.length > MOST_BYTES / 2 && Utf8.encodedLength(body) > MOST_BYTES -> "more than $MOST_BYTES bytes"
            else -> null
        }
    }

    /** Whether [value] may stand in a row. */
    fun holds(value: JsonNode): Boolean = bytesOf(value) <= settings.store.valueBytes

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

    private fun settle(outcome: Outcome): TransactionResult {
        note(outcome)
        if (outcome is Outcome.NotSent) return TransactionResult.Refused
        val answer = outcome as? Outcome.Answered ?: return TransactionResult.Unknown
        val body = Json.parseOrNull(answer.body)
        return when {
            answer.status == 200 && body != null && body.path("ledgerRev").isNumber -> {
                TransactionResult.Done(body.path("ledgerRev").asLong())
            }

            answer.status == 409 && body != null -> {
                TransactionResult.Conflict(body.path("failed").map { it.asText() })
            }

            answer.status == 429 || answer.status == 503 -> {
                TransactionResult.Refused
            }

            answer.status == 400 && body?.path("error")?.asText() == "no such lease" -> {
                TransactionResult.NoLease
            }

            answer.status == 400 -> {
                context.error("state service calls a transaction malformed: ${answer.body}")
                TransactionResult.Refused
            }

            else -> {
                TransactionResult.Unknown
            }
        }
    }

    /**
     * Repeats [txn] until its outcome is known or [stillWanted] says no; each of our rows is written under a stamp that only one copy can match.
     * [doubt] is told true while a copy may have been carried out without our knowing, and false once all that were sent are refused.
     */
    fun ensure(
        txn: Transaction,
        urgency: Urgency,
        stillWanted: () -> Boolean,
        doubt: (Boolean) -> Unit = {},
        then: (TransactionResult) -> Unit,
    ) {
        repeated(txn, urgency, stillWanted, doubt, everUnknown = false, then)
    }

    private fun repeated(
        txn: Transaction,
        urgency: Urgency,
        stillWanted: () -> Boolean,
        doubt: (Boolean) -> Unit,
        everUnknown: Boolean,
        then: (TransactionResult) -> Unit,
    ) {
        txn(txn, urgency, PATIENT_S, { doubt(true) }) { result ->
            when {
                !stillWanted() -> {
                    Unit
                }

                result is TransactionResult.Refused || result is TransactionResult.Unknown -> {
                    val unknown = everUnknown || result is TransactionResult.Unknown
                    doubt(unknown)
                    context.later(RETRY_S) {
                        if (stillWanted()) repeated(txn, urgency, stillWanted, doubt, unknown, then)
                    }
                }

                else -> {
                    then(result)
                }
            }
        }
    }

    fun createLease(
        ttlMs: Long,
        then: (Long?) -> Unit,
    ) {
        enqueue(Urgency.LEADERSHIP, 0, READ_PATIENCE_S, { then(null) }) {
            call("POST", "/leases", "{\"ttlMs\":$ttlMs}", CALL_TIMEOUT_S) { status, body ->
                then(if (status == 200) body?.path("tether")?.takeIf { it.isNumber }?.asLong() else null)
            }
        }
    }

    /** Calls back with 200, 404 or null where nothing is known. */
    fun renewLease(
        leaseId: Long,
        timeoutS: Double,
        then: (Int?) -> Unit,
    ) {
        call("POST", "/leases/$leaseId/renew", "", timeoutS) { status, _ -> then(status.takeIf { it == 200 || it == 404 }) }
    }

    fun dropLease(leaseId: Long) {
        call("DELETE", "/leases/$leaseId", null, CALL_TIMEOUT_S) { _, _ -> }
    }

    fun follow(
        prefix: String,
        from: Long,
        blockS: Double,
        urgency: Urgency = Urgency.CLAIM,
        then: (Int, JsonNode?) -> Unit,
    ) {
        enqueue(urgency, 0, READ_PATIENCE_S, { then(0, null) }) {
            val path = "/follow?starts=$prefix&from=$from&blockMs=${(blockS * 1000).toLong()}"
            call("GET", path, null, blockS + CALL_TIMEOUT_S, then)
        }
    }

    private fun call(
        method: String,
        path: String,
        body: String?,
        timeoutS: Double,
        then: (Int, JsonNode?) -> Unit,
    ) {
        context.call(settings.state, method, path, body, timeoutS) { outcome ->
            note(outcome)
            if (outcome is Outcome.Answered) then(outcome.status, Json.parseOrNull(outcome.body)) else then(0, null)
        }
    }

    private fun note(outcome: Outcome) {
        val status = (outcome as? Outcome.Answered)?.status
        if (status == 429) {
            writes.drain()
            requests.drain()
            pausedUntil = context.now + RETRY_S
            context.info("state service answers 429")
        }
        if (status == null || status == 503) lastRefusedAt = context.now else lastServedAt = context.now
    }

    private fun enqueue(
        urgency: Urgency,
        writes: Int,
        patienceS: Double,
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
        ).getValue(urgency).addLast(Waiting(writes, context.now, patienceS, send, drop, counters.getValue(urgency)))
        pump()
    }

    fun pump() {
        val part = if (leads) LEADER_PART else (1 - LEADER_PART) / (settings.controllers - 1).coerceAtLeast(1)
        writes.refill(context.now, settings.store.writeRps * part)
        requests.refill(context.now, settings.store.rps * part)
        for (queue in lines) {
            while (queue.isNotEmpty() && context.now - queue.first().since > queue.first().patienceS) queue.removeFirst().drop()
        }
        if (context.now < pausedUntil) return
        var mayWrite = true
        for (urgency in Urgency.entries) {
            // A read never waits for room to write: polls went unanswered behind a burst of submissions.
            while (reads.getValue(urgency).isNotEmpty()) if (!sendFirst(reads.getValue(urgency))) return
            val queue = queues.getValue(urgency)
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

    private fun sendFirst(queue: ArrayDeque<Waiting>): Boolean {
        if (!requests.take(1.0)) return false
        val next = queue.removeFirst()
        context.count(next.counter)
        next.send()
        return true
    }

    internal companion object {
        /** Conditions that a transaction may have for each change that it may have. */
        const val CONDITIONS_AN_OP = 4
        private const val MOST_BYTES = 64 * 1024
        private const val PAGE = 500
        private const val CALL_TIMEOUT_S = 2.0
        private const val READ_PATIENCE_S = 1.0
        private const val WRITE_PATIENCE_S = 1.0
        private const val PATIENT_S = 1e9
        private const val RETRY_S = 0.25

        /** A member's burst, as a part of the shared limits of a second. */
        private const val BURST_PART = 5

        /** The leader's part of the shared limits; the other members write submissions only. */
        private const val LEADER_PART = 0.6
    }
}
