package burlridge.allocation

import burlridge.job.Size
import burlridge.json.Json
import burlridge.store.Row
import com.fasterxml.jackson.databind.JsonNode
import com.google.common.hash.Hashing

/** A job's charge and its starts stand together, zones once for all, so that a row holds as many starts as it can. */
internal fun encode(
    round: Round,
    token: Long,
    untilMs: Long,
    all: List<Claim> = round.claims,
): JsonNode =
    Json.obj {
        val zones = all.map { it.zone }.distinct()
        put("st", "claimed")
        put("n", round.number)
        put("tok", token)
        put("until", untilMs)
        putArray("zones").also { array -> zones.forEach(array::add) }
        val jobs = putObject("jobs")
        all.groupBy { it.job }.forEach { (id, claims) ->
            val charge = claims.first().charge
            val row = jobs.putArray(id)
            row
                .add(charge.team)
                .add(charge.size.cpus)
                .add(charge.size.gpus)
                .add(charge.size.memoryGb)
            val starts = row.addArray()
            claims.forEach {
                starts
                    .addArray()
                    .add(it.task)
                    .add(it.run)
                    .add(it.machine)
                    .add(it.session)
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
internal fun decode(row: Row): Round {
    val zones = row.value.path("zones").map { it.asText() }
    val claims =
        row.value.path("jobs").properties().flatMap { (id, v) ->
            val charge = Charge(v.path(0).asText(), Size(v.path(1).asDouble(), v.path(2).asDouble(), v.path(3).asDouble()))
            v.path(4).map { s ->
                val zone = zones.getOrElse(s.path(4).asInt()) { "" }
                Claim(id, s.path(0).asInt(), s.path(1).asInt(), s.path(2).asText(), s.path(3).asLong(), zone, charge, Phase.SENT).also {
                    it.lost = s.path(5).asInt() == 1
                    it.inherited = true
                }
            }
        }
    return Round(row.key.substringAfter('/'), row.value.path("n").asText(), claims)
}
