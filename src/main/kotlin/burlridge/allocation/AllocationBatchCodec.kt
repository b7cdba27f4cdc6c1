package burlridge.allocation

import burlridge.job.Resources
import burlridge.json.Json
import burlridge.store.Row
import com.fasterxml.jackson.databind.JsonNode
import com.fasterxml.jackson.databind.node.ArrayNode
import com.google.common.hash.Hashing

/**
 * Reads and writes the rows of allocation batches. Allocations are grouped by job, with the job's charge written once per group, and each
 * zone name is written once per row, so that a row holds as many allocations as possible.
 */
internal object AllocationBatchCodec {
    // Positions of the fields in a job's array, in the order in which they are written.
    private const val TEAM = 0
    private const val CPUS = 1
    private const val GPUS = 2
    private const val MEMORY_GB = 3
    private const val ALLOCATIONS = 4

    // Positions of the fields in an allocation's array, in the order in which they are written.
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

    /** The value of the row of [batch], written in [term] and holding [allocations]; it counts as live until [untilMillis]. */
    fun encode(
        batch: AllocationBatch,
        term: Long,
        untilMillis: Long,
        allocations: List<Allocation> = batch.allocations,
    ): JsonNode =
        Json.obj {
            val zones = allocations.map { it.zone }.distinct()
            put("st", STATUS)
            put("n", batch.batchId)
            put("tok", term)
            put("until", untilMillis)
            putArray("zones").also { array -> zones.forEach(array::add) }
            val jobs = putObject("jobs")
            allocations.groupBy { it.job }.forEach { (id, ofJob) -> encodeJob(jobs.putArray(id), ofJob, zones) }
            put("fp", fingerprint(jobs))
        }

    private fun encodeJob(
        jobEntry: ArrayNode,
        allocations: List<Allocation>,
        zones: List<String>,
    ) {
        val charge = allocations.first().charge
        jobEntry
            .add(charge.team)
            .add(charge.resources.cpus)
            .add(charge.resources.gpus)
            .add(charge.resources.memoryGb)
        val allocationEntries = jobEntry.addArray()
        allocations.forEach {
            allocationEntries
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

    /** The batch in [row], for a new leader: it shows on which machine each task may be, but not how far its attempt has come. */
    fun decode(row: Row): AllocationBatch {
        val zones = row.value.path("zones").map { it.asText() }
        val allocations =
            row.value.path("jobs").properties().flatMap { (id, jobEntry) ->
                val charge = decodeCharge(jobEntry)
                jobEntry.path(ALLOCATIONS).map { decodeAllocation(id, it, zones, charge) }
            }
        return AllocationBatch(row.key.substringAfter('/'), batchIdOf(row), allocations)
    }

    /** The [AllocationBatch.batchId] in [row]. */
    fun batchIdOf(row: Row): String = row.value.path("n").asText()

    private fun decodeCharge(jobEntry: JsonNode): QuotaCharge {
        val resources = Resources(jobEntry.path(CPUS).asDouble(), jobEntry.path(GPUS).asDouble(), jobEntry.path(MEMORY_GB).asDouble())
        return QuotaCharge(jobEntry.path(TEAM).asText(), resources)
    }

    private fun decodeAllocation(
        job: String,
        entry: JsonNode,
        zones: List<String>,
        charge: QuotaCharge,
    ): Allocation =
        Allocation(
            job,
            task = entry.path(TASK).asInt(),
            attempt = entry.path(ATTEMPT).asInt(),
            machine = entry.path(MACHINE).asText(),
            agentEpoch = entry.path(AGENT_EPOCH).asLong(),
            zone = zones.getOrElse(entry.path(ZONE_INDEX).asInt()) { "" },
            charge,
            AllocationPhase.DISPATCHED,
        ).also {
            it.isLost = entry.path(LOST).asInt() == 1
            it.isInherited = true
        }
}
