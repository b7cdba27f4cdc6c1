package burlridge.allocation

import burlridge.job.Resources
import burlridge.json.Json
import burlridge.store.Row
import com.fasterxml.jackson.databind.JsonNode
import com.fasterxml.jackson.databind.node.ArrayNode
import com.google.common.hash.Hashing

/**
 * Reads and writes the rows of allocation batches. A job's charge and its allocations stand together, and each zone stands once, so that a
 * row holds as many allocations as it can.
 */
internal object AllocationBatchCodec {
    // Places of the fields in a job's array, in the order in which they are written.
    private const val TEAM = 0
    private const val CPUS = 1
    private const val GPUS = 2
    private const val MEMORY_GB = 3
    private const val STARTS = 4

    // Places of the fields in a start's array, in the order in which they are written.
    private const val TASK = 0
    private const val ATTEMPT = 1
    private const val MACHINE = 2
    private const val AGENT_EPOCH = 3
    private const val ZONE_INDEX = 4
    private const val LOST = 5

    /** The prefix of the rows of all batches. */
    const val KEY_PREFIX: String = "round/"
    private const val STATUS = "claimed"
    private const val FINGERPRINT_LENGTH = 16

    /** Key of the row in [slot]. */
    fun rowKey(slot: String): String = KEY_PREFIX + slot

    /** The row of [batch] under fencing token [token], with [allocations] in it; it counts as live until [untilMillis]. */
    fun encode(
        batch: AllocationBatch,
        token: Long,
        untilMillis: Long,
        allocations: List<Allocation> = batch.allocations,
    ): JsonNode =
        Json.obj {
            val zones = allocations.map { it.zone }.distinct()
            put("st", STATUS)
            put("n", batch.number)
            put("tok", token)
            put("until", untilMillis)
            putArray("zones").also { array -> zones.forEach(array::add) }
            val jobs = putObject("jobs")
            allocations.groupBy { it.job }.forEach { (id, ofJob) -> encodeJob(jobs.putArray(id), ofJob, zones) }
            put("fp", fingerprint(jobs))
        }

    private fun encodeJob(
        row: ArrayNode,
        allocations: List<Allocation>,
        zones: List<String>,
    ) {
        val charge = allocations.first().charge
        row
            .add(charge.team)
            .add(charge.size.cpus)
            .add(charge.size.gpus)
            .add(charge.size.memoryGb)
        val starts = row.addArray()
        allocations.forEach {
            starts
                .addArray()
                .add(it.task)
                .add(it.attempt)
                .add(it.machine)
                .add(it.agentEpoch)
                .add(zones.indexOf(it.zone))
                .add(if (it.isLost) 1 else 0)
        }
    }

    private fun fingerprint(jobs: JsonNode): String =
        Hashing
            .sha256()
            .hashUnencodedChars(Json.write(jobs))
            .toString()
            .take(FINGERPRINT_LENGTH)

    /** The batch as a new leader finds it: it knows where each task may be, not how far its attempt has come. */
    fun decode(row: Row): AllocationBatch {
        val zones = row.value.path("zones").map { it.asText() }
        val allocations =
            row.value.path("jobs").properties().flatMap { (id, entry) ->
                val charge = decodeCharge(entry)
                entry.path(STARTS).map { decodeAllocation(id, it, zones, charge) }
            }
        return AllocationBatch(row.key.substringAfter('/'), numberOf(row), allocations)
    }

    /** The [AllocationBatch.number] in [row]. */
    fun numberOf(row: Row): String = row.value.path("n").asText()

    private fun decodeCharge(entry: JsonNode): QuotaCharge {
        val size = Resources(entry.path(CPUS).asDouble(), entry.path(GPUS).asDouble(), entry.path(MEMORY_GB).asDouble())
        return QuotaCharge(entry.path(TEAM).asText(), size)
    }

    private fun decodeAllocation(
        job: String,
        start: JsonNode,
        zones: List<String>,
        charge: QuotaCharge,
    ): Allocation =
        Allocation(
            job,
            task = start.path(TASK).asInt(),
            attempt = start.path(ATTEMPT).asInt(),
            machine = start.path(MACHINE).asText(),
            agentEpoch = start.path(AGENT_EPOCH).asLong(),
            zone = zones.getOrElse(start.path(ZONE_INDEX).asInt()) { "" },
            charge,
            AllocationPhase.DISPATCHED,
        ).also {
            it.isLost = start.path(LOST).asInt() == 1
            it.isInherited = true
        }
}
