package burlridge.allocation

import burlridge.job.Resources
import burlridge.json.Json
import burlridge.store.Row
import com.fasterxml.jackson.databind.JsonNode
import com.google.common.hash.Hashing

/** A job's charge and its starts stand together, zones once for all, so that a row holds as many starts as it can. */
internal fun encode(
    batch: AllocationBatch,
    token: Long,
    untilMillis: Long,
    all: List<Allocation> = batch.allocations,
): JsonNode =
    Json.obj {
        val zones = all.map { it.zone }.distinct()
        put("st", "claimed")
        put("n", batch.number)
        put("tok", token)
        put("until", untilMillis)
        putArray("zones").also { array -> zones.forEach(array::add) }
        val jobs = putObject("jobs")
        all.groupBy { it.job }.forEach { (id, allocations) ->
            val charge = allocations.first().charge
            val row = jobs.putArray(id)
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
                    .add(if (it.lost) 1 else 0)
            }
        }
        put(
            "fp",
            Hashing
                .sha256()
                .hashUnencodedChars(Json.write(jobs))
                .toString()
                .take(16),
        )
    }

/** The round as a new leader finds it: where each start may be is known, how far it came is not. */
internal fun decode(row: Row): AllocationBatch {
    val zones = row.value.path("zones").map { it.asText() }
    val allocations =
        row.value.path("jobs").properties().flatMap { (id, v) ->
            val charge = QuotaCharge(v.path(0).asText(), Resources(v.path(1).asDouble(), v.path(2).asDouble(), v.path(3).asDouble()))
            v.path(4).map { s ->
                val zone = zones.getOrElse(s.path(4).asInt()) { "" }
                Allocation(
                    id,
                    s.path(0).asInt(),
                    s.path(1).asInt(),
                    s.path(2).asText(),
                    s.path(3).asLong(),
                    zone,
                    charge,
                    AllocationPhase.DISPATCHED,
                ).also {
                    it.lost = s.path(5).asInt() == 1
                    it.inherited = true
                }
            }
        }
    return AllocationBatch(row.key.substringAfter('/'), row.value.path("n").asText(), allocations)
}
