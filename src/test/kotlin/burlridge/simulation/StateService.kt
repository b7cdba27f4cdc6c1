package burlridge.simulation

import burlridge.json.Json
import com.fasterxml.jackson.databind.JsonNode
import java.util.TreeMap

/** A fake of the state service that follows the description of its protocol. */
internal class StateService(
    private val clock: Clock,
) {
    private class Entry(
        val value: JsonNode,
        val modRevision: Long,
        val leaseId: Long?,
    )

    private class Change(
        val revision: Long,
        val key: String,
        val value: JsonNode?,
    )

    private class Watch(
        val prefix: String,
        val from: Long,
        val reply: (Int, String) -> Unit,
        var open: Boolean = true,
    )

    private val entriesByKey = TreeMap<String, Entry>()
    private val leases = HashMap<Long, Pair<Double, Double>>()
    private val changes = ArrayList<Change>()
    private val watches = ArrayList<Watch>()
    private var revision = 0L
    private var nextLease = 1L
    var down = false
        private set
    var writes = 0
        private set

    /** Number of requests, by the second in which they arrived; [writesPerSecond] counts the changes. */
    private val requestsPerSecond = HashMap<Int, Int>()
    private val writesPerSecond = HashMap<Int, Int>()
    val maxRequestsPerSecond: Int get() = requestsPerSecond.values.maxOrNull() ?: 0
    val maxWritesPerSecond: Int get() = writesPerSecond.values.maxOrNull() ?: 0

    private var maxValueBytes = 8 * 1024
    private var changesPerTransaction = 8

    /** Alters the response to a watch, to simulate a service that violates its protocol. */
    var tamperWithChanges: (path: String, response: JsonNode) -> Unit = { _, _ -> }

    /** Number of transactions that were refused because they exceeded the limits. */
    var refusedAsTooLarge = 0
        private set

    /** Changes the limits on transactions from now on; stored values are kept, whatever their size. */
    fun lowerLimits(
        valueKb: Double,
        changesPerTransaction: Int,
    ) {
        maxValueBytes = (valueKb * 1024).toInt()
        this.changesPerTransaction = changesPerTransaction
    }

    private var writeRps = Double.MAX_VALUE

    /** Responds 429 to more than [rps] changes a second, with a burst of one second's worth. */
    fun limitWrites(rps: Double) {
        writeRps = rps
        writeTokens = rps
        tokensUpdatedAt = clock.now
    }

    private var writeTokens = Double.MAX_VALUE
    private var tokensUpdatedAt = 0.0
    var throttled = 0
        private set

    private fun takeTokens(changes: Int): Boolean {
        writeTokens = minOf(writeRps, writeTokens + (clock.now - tokensUpdatedAt) * writeRps)
        tokensUpdatedAt = clock.now
        if (writeTokens < changes) {
            throttled++
            return false
        }
        writeTokens -= changes
        return true
    }

    fun outage(seconds: Double) {
        down = true
        clock.after(seconds) {
            down = false
            leases.replaceAll { _, (ttl, _) -> ttl to clock.now + ttl }
        }
    }

    fun value(key: String): JsonNode? = entriesByKey[key]?.value

    fun keys(prefix: String): List<String> = entriesByKey.keys.filter { it.startsWith(prefix) }

    fun handle(
        method: String,
        target: String,
        body: String,
        reply: (Int, String) -> Unit,
    ) {
        requestsPerSecond.merge(clock.now.toInt(), 1, Int::plus)
        if (down) return reply(503, "{}")
        expire()
        val path = target.substringBefore('?')
        val query =
            target.substringAfter('?', "").split('&').filter { it.contains('=') }.associate {
                it.substringBefore('=') to it.substringAfter('=')
            }
        when {
            method == "GET" && path == "/store" -> {
                list(query, reply)
            }

            method == "GET" && path.startsWith("/store/") -> {
                get(path.removePrefix("/store/"), reply)
            }

            path == "/multi" -> {
                commit(Json.parse(body), reply)
            }

            method == "POST" && path == "/leases" -> {
                grantLease(Json.parse(body).path("ttlMs").asLong() / 1000.0, reply)
            }

            path.endsWith("/renew") -> {
                renew(path.split('/')[2].toLong(), reply)
            }

            method == "DELETE" -> {
                revoke(path.split('/')[2].toLong())
                reply(200, "{}")
            }

            path == "/follow" -> {
                openWatch(query, reply)
            }

            else -> {
                reply(400, "{}")
            }
        }
    }

    private fun get(
        key: String,
        reply: (Int, String) -> Unit,
    ) {
        val entry = entriesByKey[key] ?: return reply(404, "{\"ledgerRev\":$revision}")
        reply(200, "{\"key\":\"$key\",\"value\":${entry.value},\"stamp\":${entry.modRevision}}")
    }

    private fun list(
        query: Map<String, String>,
        reply: (Int, String) -> Unit,
    ) {
        val prefix = query["starts"].orEmpty()
        val limit = query["limit"]?.toInt() ?: 1000
        val found = entriesByKey.filter { it.key.startsWith(prefix) && it.key > query["from"].orEmpty() }.entries
        val page =
            found
                .take(
                    limit,
                ).joinToString(",") { "{\"key\":\"${it.key}\",\"value\":${it.value.value},\"stamp\":${it.value.modRevision}}" }
        reply(200, "{\"pairs\":[$page],\"truncated\":${found.size > limit},\"ledgerRev\":$revision}")
    }

    private fun commit(
        transaction: JsonNode,
        reply: (Int, String) -> Unit,
    ) {
        val ops = transaction.path("then").toList()
        check(transaction.toString().length <= 64 * 1024) { "transaction too large" }
        check(transaction.path("if").size() <= 4 * changesPerTransaction) { "too many conditions: ${transaction.path("if").size()}" }
        if (ops.size > changesPerTransaction || ops.any { it.path("value").toString().length > maxValueBytes }) {
            refusedAsTooLarge++
            return reply(400, "{\"error\":\"too large\"}")
        }
        if (writeRps < Double.MAX_VALUE && !takeTokens(ops.size)) return reply(429, "{}")
        writes += ops.size
        writesPerSecond.merge(clock.now.toInt(), ops.size, Int::plus)
        if (ops.any { it.has("tether") && it.path("tether").asLong() !in leases }) return reply(400, "{\"error\":\"no such lease\"}")
        val failed =
            transaction
                .path("if")
                .filter { (entriesByKey[it.path("key").asText()]?.modRevision ?: 0L) != it.path("stamp").asLong() }
                .map { it.path("key").asText() }
        if (failed.isNotEmpty()) {
            return reply(409, "{\"failed\":[${failed.joinToString(",") { "\"$it\"" }}],\"ledgerRev\":$revision}")
        }
        if (ops.isNotEmpty()) revision++
        ops.forEach { op ->
            if (op.has("set")) {
                val key = op.path("set").asText()
                entriesByKey[key] = Entry(op.path("value"), revision, if (op.has("tether")) op.path("tether").asLong() else null)
                changes += Change(revision, key, op.path("value"))
            } else {
                val key = op.path("remove").asText()
                if (entriesByKey.remove(key) != null) changes += Change(revision, key, null)
            }
        }
        reply(200, "{\"ledgerRev\":$revision}")
        notifyWatches()
    }

    private fun grantLease(
        ttl: Double,
        reply: (Int, String) -> Unit,
    ) {
        val id = nextLease++
        leases[id] = ttl to clock.now + ttl
        scheduleExpiry(ttl)
        reply(200, "{\"tether\":$id}")
    }

    private fun renew(
        id: Long,
        reply: (Int, String) -> Unit,
    ) {
        val (ttl, _) = leases[id] ?: return reply(404, "{}")
        leases[id] = ttl to clock.now + ttl
        scheduleExpiry(ttl)
        reply(200, "{}")
    }

    private fun scheduleExpiry(ttl: Double) {
        clock.after(ttl + 0.01) { if (!down) expire() }
    }

    private fun expire() {
        leases
            .filterValues { it.second < clock.now }
            .keys
            .toList()
            .forEach { revoke(it) }
    }

    private fun revoke(id: Long) {
        leases.remove(id) ?: return
        val keys = entriesByKey.filterValues { it.leaseId == id }.keys.toList()
        if (keys.isEmpty()) return
        revision++
        keys.forEach {
            entriesByKey.remove(it)
            changes += Change(revision, it, null)
        }
        notifyWatches()
    }

    private fun openWatch(
        query: Map<String, String>,
        reply: (Int, String) -> Unit,
    ) {
        val watch = Watch(query["starts"].orEmpty(), query["from"]?.toLong() ?: 0L, reply)
        watches += watch
        clock.after((query["blockMs"]?.toDouble() ?: 0.0) / 1000) { if (watch.open) respondToWatch(watch) }
        notifyWatches()
    }

    private fun notifyWatches() {
        watches.filter { w -> changes.any { it.revision > w.from && it.key.startsWith(w.prefix) } }.forEach { respondToWatch(it) }
    }

    private fun respondToWatch(watch: Watch) {
        watch.open = false
        watches.remove(watch)
        val events =
            changes
                .filter { it.revision > watch.from && it.key.startsWith(watch.prefix) }
                .joinToString(",") {
                    if (it.value == null) {
                        "{\"remove\":\"${it.key}\",\"stamp\":${it.revision}}"
                    } else {
                        "{\"set\":\"${it.key}\",\"value\":${it.value},\"stamp\":${it.revision}}"
                    }
                }
        val response = Json.parse("{\"ledgerRev\":$revision,\"events\":[$events]}")
        tamperWithChanges(watch.prefix, response)
        watch.reply(200, response.toString())
    }
}
