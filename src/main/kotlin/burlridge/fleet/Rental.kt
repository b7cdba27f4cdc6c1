package burlridge.fleet

import burlridge.json.Json
import com.fasterxml.jackson.databind.JsonNode

/** What can be rented: machines of one type, in one zone, as spot machines or not. */
internal data class InstanceOffering(
    val type: String,
    val zone: String,
    val spot: Boolean,
)

/** Why machines are rented; [text] stands for it in log lines. */
internal enum class RentReason(
    val text: String,
) {
    /** No team is guaranteed anything, so that as many machines as possible are kept. */
    KEEP_ALL("keep_all"),

    /** Waiting and expected tasks do not fit the machines that there are. */
    CAPACITY_NEEDED("capacity_needed"),
}

/** One call for machines, recorded in a row before the cloud is called. */
internal class Rental(
    /** Unique over all leaders: the key of the row, and what the cloud recognizes a repeated call by. */
    val step: String,
    val offering: InstanceOffering,
    val count: Int,
) {
    /** The revision of the row; 0 before it is written and once it is being deleted. */
    var modRevision: Long = 0

    /** When the cloud was called, or may have been by an earlier leader; 0 before. */
    var calledAt: Double = 0.0

    /** When the outcome was known, or the cloud's list had to show it; null before. */
    var settledAt: Double? = null

    /** Machines that may still come and are not known yet. */
    var expectedMachines: Int = count

    val rowKey: String get() = "$KEY_PREFIX$step"

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
