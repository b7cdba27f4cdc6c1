package burlridge.fleet

import burlridge.json.Json
import com.fasterxml.jackson.databind.JsonNode

/** An offering of the cloud: machines of one type, in one zone, as spot machines or not. */
internal data class InstanceOffering(
    val type: String,
    val zone: String,
    val spot: Boolean,
)

/** Why machines are rented; [text] is written to log lines. */
internal enum class RentReason(
    val text: String,
) {
    /** No team has a guaranteed quota, so as many machines as possible are kept. */
    KEEP_ALL("keep_all"),

    /** Waiting and expected tasks do not fit on the existing machines. */
    CAPACITY_NEEDED("capacity_needed"),
}

/** One call to rent machines, recorded in a row before the cloud is called. */
internal class Rental(
    /** Unique across all leaders; part of the row's key, and the id by which the cloud recognizes a repeated call. */
    val id: String,
    val offering: InstanceOffering,
    val count: Int,
) {
    /** The revision of the row; 0 before it is written and once it is being deleted. */
    var modRevision: Long = 0

    /** When the cloud was called; when the row was loaded, if an earlier leader wrote it and may have made the call; 0 before. */
    var calledAt: Double = 0.0

    /** When the outcome became known, or the cloud's list was certain to show the machines; null before. */
    var settledAt: Double? = null

    /** Number of machines that may still be granted and are not known yet. */
    var expectedMachines: Int = count

    val rowKey: String get() = "$KEY_PREFIX$id"

    internal companion object {
        private const val KEY_PREFIX = "rental/"
    }
}

/** The stored value of a rental. */
internal object RentalRowCodec {
    /** The value of the row of [rental], written by the leader of [term]. */
    fun encode(
        rental: Rental,
        term: Long,
    ): JsonNode =
        Json.obj {
            put("st", "claimed")
            put("type", rental.offering.type)
            put("zone", rental.offering.zone)
            put("spot", rental.offering.spot)
            put("n", rental.count)
            put("tok", term)
        }

    fun decode(
        key: String,
        value: JsonNode,
    ): Rental {
        val offering = InstanceOffering(value.path("type").asText(), value.path("zone").asText(), value.path("spot").asBoolean())
        return Rental(key.substringAfter('/'), offering, value.path("n").asInt())
    }
}
