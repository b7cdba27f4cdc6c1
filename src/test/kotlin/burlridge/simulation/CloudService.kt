package burlridge.simulation

import burlridge.json.Json
import com.fasterxml.jackson.databind.JsonNode

/** A stand-in for the cloud: lists lag and may go backwards, rentals are remembered by name. */
internal class CloudService(
    private val cluster: SimulationEnvironment,
) {
    private class Rented(
        val worker: Worker,
        val at: Double,
        var up: Boolean = false,
    )

    private val machines = LinkedHashMap<String, Rented>()
    private val atAddress = HashMap<String, Worker>()
    private val answers = HashMap<String, String>()

    private class Snapshot(
        val at: Double,
        val entries: List<Pair<String, String>>,
    )

    private val snapshots = ArrayDeque<Snapshot>()
    private var next = 1
    var down = false
    var silentBoots = false

    /** Seconds until a machine is up. */
    var bootSeconds: () -> Double = { 5 + cluster.random.nextDouble() * 10 }
    var requests = ArrayList<String>()

    fun worker(id: String): Worker? = machines[id]?.worker

    fun workerAt(address: String): Worker? = atAddress[address]?.takeIf { machines[it.id]?.worker === it }

    fun names(): List<String> = machines.keys.toList()

    fun handle(
        target: String,
        body: String,
        reply: (Int, String) -> Unit,
    ) {
        if (down) return reply(503, "{\"error\":\"trouble\"}")
        when {
            target == "/catalog" -> {
                reply(200, catalog())
            }

            target == "/rentals" -> {
                rent(Json.parse(body), reply)
            }

            target == "/rentals/return" -> {
                Json.parse(body).path("drovers").forEach { take(it.asText()) }
                reply(200, "{}")
            }

            target.startsWith("/rentals?") -> {
                reply(200, list(target.substringAfter('?')))
            }

            else -> {
                reply(400, "{}")
            }
        }
    }

    private fun catalog(): String =
        Json
            .obj {
                val list = putArray("breeds")
                cluster.types.forEach { (name, type) ->
                    list
                        .addObject()
                        .put("sku", name)
                        .put("vcpus", type.cpus)
                        .put("gpus", 0.0)
                        .put("ramGb", type.memoryGb)
                        .put("price", type.cpus)
                        .put("spotPrice", type.cpus / 3)
                        .put("bootS", 10.0)
                        .put("pullGbPerS", 1.0)
                        .also { o -> o.putArray("yards").also { yards -> cluster.zones.forEach(yards::add) } }
                }
            }.toString()

    private fun rent(
        request: JsonNode,
        reply: (Int, String) -> Unit,
    ) {
        val name = request.path("hire").asText()
        requests += request.toString()
        answers[name]?.let { return reply(200, it) }
        val type = request.path("breed").asText()
        val zone = request.path("yard").asText()
        val spot = request.path("loaners").asBoolean()
        val taken = machines.values.count { it.worker.type == type && it.worker.zone == zone && it.worker.spot == spot }
        val count = minOf(request.path("number").asInt(), cluster.types.getValue(type).capacity - taken)
        if (count <= 0) return reply(503, "{\"error\":\"no capacity\"}")
        val names = (1..count).map { add(type, zone, spot) }
        val answer = "{\"drovers\":[${names.joinToString(",") { "\"$it\"" }}]}"
        answers[name] = answer
        reply(200, answer)
    }

    private fun add(
        type: String,
        zone: String,
        spot: Boolean,
    ): String {
        val id = "m-%06d".format(next)
        val rented = Rented(Worker(cluster, id, type, zone, spot, cluster.addressOf(next++)), cluster.clock.now)
        machines[id] = rented
        atAddress[rented.worker.address] = rented.worker
        if (!silentBoots) {
            cluster.clock.after(bootSeconds()) {
                if (machines[id] === rented) {
                    rented.up = true
                    rented.worker.boot()
                }
            }
        }
        return id
    }

    fun take(id: String) {
        machines.remove(id)?.worker?.kill()
    }

    init {
        keepListing()
    }

    private fun keepListing() {
        cluster.clock.after(1.0) {
            snapshot()
            keepListing()
        }
    }

    private fun snapshot() {
        val now = cluster.clock.now
        val entries =
            machines.entries.map { (id, m) ->
                id to "{\"id\":\"$id\",\"addr\":\"${m.worker.address}\",\"breed\":\"${m.worker.type}\",\"yard\":\"${m.worker.zone}\"," +
                    "\"loaners\":${m.worker.spot},\"standing\":\"${if (m.up) "running" else "starting"}\",\"ageS\":${now - m.at}}"
            }
        snapshots += Snapshot(now, entries)
        while (snapshots.first().at < now - MOST_LAG_SECONDS * 2) snapshots.removeFirst()
    }

    /** A page of the list as it was some seconds ago. */
    private fun list(query: String): String {
        val asked = query.split('&').associate { it.substringBefore('=') to it.substringAfter('=') }
        val limit = asked["limit"]?.toIntOrNull() ?: Int.MAX_VALUE
        snapshot()
        val now = cluster.clock.now
        val lag = cluster.random.nextDouble() * MOST_LAG_SECONDS
        val entries = snapshots.lastOrNull { it.at <= now - lag }?.entries.orEmpty()
        val rest = entries.filter { (id, _) -> id > asked["from"].orEmpty() }
        return "{\"drovers\":[${rest.take(limit).joinToString(",") { it.second }}],\"truncated\":${rest.size > limit}}"
    }

    private companion object {
        const val MOST_LAG_SECONDS = 6.0
    }
}
