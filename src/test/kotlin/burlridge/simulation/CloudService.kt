package burlridge.simulation

import burlridge.json.Json
import com.fasterxml.jackson.databind.JsonNode

/**
 * A fake of the cloud API. Machine lists lag, and a later list may be older than an earlier one. A repeated rental request with the same
 * name gets the first response again.
 */
internal class CloudService(
    private val cluster: SimulationEnvironment,
) {
    private class RentedMachine(
        val worker: Worker,
        val rentedAt: Double,
        var isUp: Boolean = false,
    )

    private val machines = LinkedHashMap<String, RentedMachine>()
    private val workersByAddress = HashMap<String, Worker>()
    private val rentalResponses = HashMap<String, String>()

    private class Snapshot(
        val at: Double,
        val entries: List<Pair<String, String>>,
    )

    private val snapshots = ArrayDeque<Snapshot>()
    private var nextMachineNumber = 1
    var down = false

    /** Whether machines rented from now on never boot. */
    var bootsFail = false

    /** Returns the time from the rental of a machine to the start of its worker, in seconds. */
    var bootSeconds: () -> Double = { 5 + cluster.random.nextDouble() * 10 }
    var rentalRequests = ArrayList<String>()

    /** Replaces each page of the machine list before it is sent. */
    var transformMachinePage: (String) -> String = { it }

    fun worker(id: String): Worker? = machines[id]?.worker

    fun workerAt(address: String): Worker? = workersByAddress[address]?.takeIf { machines[it.id]?.worker === it }

    fun machineIds(): List<String> = machines.keys.toList()

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
                Json.parse(body).path("drovers").forEach { reclaim(it.asText()) }
                reply(200, "{}")
            }

            target.startsWith("/rentals?") -> {
                reply(200, transformMachinePage(list(target.substringAfter('?'))))
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
        rentalRequests += request.toString()
        rentalResponses[name]?.let { return reply(200, it) }
        val type = request.path("breed").asText()
        val zone = request.path("yard").asText()
        val spot = request.path("loaners").asBoolean()
        val inUse = machines.values.count { it.worker.type == type && it.worker.zone == zone && it.worker.spot == spot }
        val count = minOf(request.path("number").asInt(), cluster.types.getValue(type).capacity - inUse)
        if (count <= 0) return reply(503, "{\"error\":\"no capacity\"}")
        val names = (1..count).map { add(type, zone, spot) }
        val response = "{\"drovers\":[${names.joinToString(",") { "\"$it\"" }}]}"
        rentalResponses[name] = response
        reply(200, response)
    }

    private fun add(
        type: String,
        zone: String,
        spot: Boolean,
    ): String {
        val id = "m-%06d".format(nextMachineNumber)
        val machine = RentedMachine(Worker(cluster, id, type, zone, spot, cluster.addressOf(nextMachineNumber++)), cluster.clock.now)
        machines[id] = machine
        workersByAddress[machine.worker.address] = machine.worker
        if (!bootsFail) {
            cluster.clock.after(bootSeconds()) {
                if (machines[id] === machine) {
                    machine.isUp = true
                    machine.worker.boot()
                }
            }
        }
        return id
    }

    fun reclaim(id: String) {
        machines.remove(id)?.worker?.kill()
    }

    init {
        scheduleSnapshots()
    }

    private fun scheduleSnapshots() {
        cluster.clock.after(1.0) {
            snapshot()
            scheduleSnapshots()
        }
    }

    private fun snapshot() {
        val now = cluster.clock.now
        val entries =
            machines.entries.map { (id, m) ->
                id to "{\"id\":\"$id\",\"addr\":\"${m.worker.address}\",\"breed\":\"${m.worker.type}\",\"yard\":\"${m.worker.zone}\"," +
                    "\"loaners\":${m.worker.spot},\"standing\":\"${if (m.isUp) "running" else "starting"}\",\"ageS\":${now - m.rentedAt}}"
            }
        snapshots += Snapshot(now, entries)
        while (snapshots.first().at < now - MAX_LIST_LAG_SECONDS * 2) snapshots.removeFirst()
    }

    /** Returns a page of the machine list as it was up to [MAX_LIST_LAG_SECONDS] ago. */
    private fun list(query: String): String {
        val parameters = query.split('&').associate { it.substringBefore('=') to it.substringAfter('=') }
        val limit = parameters["limit"]?.toIntOrNull() ?: Int.MAX_VALUE
        snapshot()
        val now = cluster.clock.now
        val lag = cluster.random.nextDouble() * MAX_LIST_LAG_SECONDS
        val entries = snapshots.lastOrNull { it.at <= now - lag }?.entries.orEmpty()
        val rest = entries.filter { (id, _) -> id > parameters["from"].orEmpty() }
        return "{\"drovers\":[${rest.take(limit).joinToString(",") { it.second }}],\"truncated\":${rest.size > limit}}"
    }

    private companion object {
        const val MAX_LIST_LAG_SECONDS = 6.0
    }
}
