package burlridge.simulation

import burlridge.json.Json
import com.fasterxml.jackson.databind.JsonNode
import java.util.TreeMap

/** A stand-in for the state service, as its protocol describes it. */
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

    private val rows = TreeMap<String, Entry>()
    private val leases = HashMap<Long, Pair<Double, Double>>()
    private val changes = ArrayList<Change>()
    private val watches = ArrayList<Watch>()
    private var revision = 0L
    private var nextLease = 1L
    var down = false
        private set
    var writes = 0
        private set

    /** Requests and changes in each second. */
    private val requestsIn = HashMap<Int, Int>()
    private val writesIn = HashMap<Int, Int>()
    val mostRequests: Int get() = requestsIn.values.maxOrNull() ?: 0
    val mostWrites: Int get() = writesIn.values.maxOrNull() ?: 0

    private var valueBytes = 8 * 1024
    private var changesPerTransaction = 8

    /** Alters the answer to a watch from a revision, for a service that does not keep its word. */
    var tamperWithChanges: (path: String, answer: JsonNode) -> Unit = { _, _ -> }

    /** Transactions beyond the limits. */
    var refusedAsTooLarge = 0
        private set

    /** From now on less is taken; what is stored stays. */
    fun lower(
        valueKb: Double,
        changesPerTransaction: Int,
    ) {
        valueBytes = (valueKb * 1024).toInt()
        this.changesPerTransaction = changesPerTransaction
    }

    private var writeRps = Double.MAX_VALUE

    /** Answers 429 above so many changes a second, with a burst of one second's worth. */
    fun limitWrites(rps: Double) {
        writeRps = rps
        level = rps
        levelAt = clock.now
    }

    private var level = Double.MAX_VALUE
    private var levelAt = 0.0
    var throttled = 0
        private set

    private fun admits(changes: Int): Boolean {
        level = minOf(writeRps, level + (clock.now - levelAt) * writeRps)
        levelAt = clock.now
        if (level < changes) {
            throttled++
            return false
        }
        level -= changes
        return true
    }

    fun outage(seconds: Double) {
        down = true
        clock.after(seconds) {
            down = false
            leases.replaceAll { _, (ttl, _) -> ttl to clock.now + ttl }
        }
    }

    fun value(key: String): JsonNode? = rows[key]?.value

    fun keys(prefix: String): List<String> = rows.keys.filter { it.startsWith(prefix) }

    fun handle(
        method: String,
        target: String,
        body: String,
        reply: (Int, String) -> Unit,
    ) {
        requestsIn.merge(clock.now.toInt(), 1, Int::plus)
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
                multi(Json.parse(body), reply)
            }

            method == "POST" && path == "/leases" -> {
                lease(Json.parse(body).path("ttlMs").asLong() / 1000.0, reply)
            }

            path.endsWith("/renew") -> {
                renew(path.split('/')[2].toLong(), reply)
            }

            method == "DELETE" -> {
                drop(path.split('/')[2].toLong())
                reply(200, "{}")
            }

            path == "/follow" -> {
                follow(query, reply)
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
        val entry = rows[key] ?: return reply(404, "{\"ledgerRev\":$revision}")
        reply(200, "{\"key\":\"$key\",\"value\":${entry.value},\"stamp\":${entry.modRevision}}")
    }

    private fun list(
        query: Map<String, String>,
        reply: (Int, String) -> Unit,
    ) {
        val prefix = query["starts"].orEmpty()
        val limit = query["limit"]?.toInt() ?: 1000
        val found = rows.filter { it.key.startsWith(prefix) && it.key > query["from"].orEmpty() }.entries
        val page =
            found
                .take(
                    limit,
                ).joinToString(",") { "{\"key\":\"${it.key}\",\"value\":${it.value.value},\"stamp\":${it.value.modRevision}}" }
        reply(200, "{\"pairs\":[$page],\"truncated\":${found.size > limit},\"ledgerRev\":$revision}")
    }

    private fun multi(
        transaction: JsonNode,
        reply: (Int, String) -> Unit,
    ) {
        val ops = transaction.path("then").toList()
        check(transaction.toString().length <= 64 * 1024) { "transaction too large" }
        check(transaction.path("if").size() <= 4 * changesPerTransaction) { "too many conditions: ${transaction.path("if").size()}" }
        if (ops.size > changesPerTransaction || ops.any { it.path("value").toString().length > valueBytes }) {
            refusedAsTooLarge++
            return reply(400, "{\"error\":\"too large\"}")
        }
        if (writeRps < Double.MAX_VALUE && !admits(ops.size)) return reply(429, "{}")
        writes += ops.size
        writesIn.merge(clock.now.toInt(), ops.size, Int::plus)
        if (ops.any { it.has("tether") && it.path("tether").asLong() !in leases }) return reply(400, "{\"error\":\"no such lease\"}")
        val failed =
            transaction
                .path("if")
                .filter { (rows[it.path("key").asText()]?.modRevision ?: 0L) != it.path("stamp").asLong() }
                .map { it.path("key").asText() }
        if (failed.isNotEmpty()) {
            return reply(409, "{\"failed\":[${failed.joinToString(",") { "\"$it\"" }}],\"ledgerRev\":$revision}")
        }
        if (ops.isNotEmpty()) revision++
        ops.forEach { op ->
            if (op.has("set")) {
                val key = op.path("set").asText()
                rows[key] = Entry(op.path("value"), revision, if (op.has("tether")) op.path("tether").asLong() else null)
                changes += Change(revision, key, op.path("value"))
            } else {
                val key = op.path("remove").asText()
                if (rows.remove(key) != null) changes += Change(revision, key, null)
            }
        }
        reply(200, "{\"ledgerRev\":$revision}")
        notifyWatches()
    }

    private fun lease(
        ttl: Double,
        reply: (Int, String) -> Unit,
    ) {
        val id = nextLease++
        leases[id] = ttl to clock.now + ttl
        wake(ttl)
        reply(200, "{\"tether\":$id}")
    }

    private fun renew(
        id: Long,
        reply: (Int, String) -> Unit,
    ) {
        val (ttl, _) = leases[id] ?: return reply(404, "{}")
        leases[id] = ttl to clock.now + ttl
        wake(ttl)
        reply(200, "{}")
    }

    private fun wake(ttl: Double) {
        clock.after(ttl + 0.01) { if (!down) expire() }
    }

    private fun expire() {
        leases
            .filterValues { it.second < clock.now }
            .keys
            .toList()
            .forEach { drop(it) }
    }

    private fun drop(id: Long) {
        leases.remove(id) ?: return
        val keys = rows.filterValues { it.leaseId == id }.keys.toList()
        if (keys.isEmpty()) return
        revision++
        keys.forEach {
            rows.remove(it)
            changes += Change(revision, it, null)
        }
        notifyWatches()
    }

    private fun follow(
        query: Map<String, String>,
        reply: (Int, String) -> Unit,
    ) {
        val watch = Watch(query["starts"].orEmpty(), query["from"]?.toLong() ?: 0L, reply)
        watches += watch
        clock.after((query["blockMs"]?.toDouble() ?: 0.0) / 1000) { if (watch.open) finish(watch) }
        notifyWatches()
    }

    private fun notifyWatches() {
        watches.filter { w -> changes.any { it.revision > w.from && it.key.startsWith(w.prefix) } }.forEach { finish(it) }
    }

    private fun finish(watch: Watch) {
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
        val answer = Json.parse("{\"ledgerRev\":$revision,\"events\":[$events]}")
        tamperWithChanges(watch.prefix, answer)
        watch.reply(200, answer.toString())
    }
}
