package burlridge.fleet

import burlridge.json.Json
import burlridge.json.isValidUnicode

/** The JSON of the cloud's API for rentals and returns. */
internal object CloudApiCodec {
    fun rentRequest(rental: Rental): String =
        Json.write(
            Json.obj {
                put("hire", "r-${rental.id}")
                put("breed", rental.offering.type)
                put("yard", rental.offering.zone)
                put("loaners", rental.offering.spot)
                put("number", rental.count)
            },
        )

    /** The ids of the machines that were rented, except those that no row could hold; null if [body] does not list them. */
    fun decodeRentedIds(body: String): List<String>? =
        Json
            .parseOrNull(body)
            ?.get("drovers")
            ?.takeIf { it.isArray }
            ?.map { it.asText() }
            ?.filter { it.isValidUnicode() }

    fun returnRequest(ids: List<String>): String =
        Json.write(Json.obj { putArray("drovers").also { array -> ids.forEach { array.add(it) } } })
}
