package burlridge.fleet

import burlridge.core.CallOutcome
import burlridge.core.HttpStatus
import burlridge.core.StepContext
import burlridge.leadership.Leadership

/** Outcome of a call to rent machines. */
internal sealed interface RentResult {
    /** The cloud has rented out the machines [ids], which may be fewer than requested. */
    data class Granted(
        val ids: List<String>,
    ) : RentResult

    /** No machine was rented; [status] is null if no connection was made. */
    data class Refused(
        val status: Int?,
        val body: String,
    ) : RentResult

    /** Machines may have been rented, or may still be rented later. */
    data object Unknown : RentResult
}

/** Client of the cloud's API. */
internal class CloudApi(
    private val context: StepContext,
    private val leadership: Leadership,
) {
    /**
     * Reads the page of the machine list that follows [afterId], or the first page if that is null; [onResult] receives null if there is no
     * answer or no valid page.
     */
    fun listMachines(
        afterId: String?,
        limit: Int,
        onResult: (MachinePage?) -> Unit,
    ) {
        val from = if (afterId == null) "" else "from=$afterId&"
        val path = "$RENTALS_PATH?${from}limit=$limit"
        context.call(context.settings.cloudEndpoint, "GET", path, null, TIMEOUT_SECONDS) { outcome ->
            onResult(bodyOfOk(outcome)?.let { MachinePage.decode(it) })
        }
    }

    /** Reads the catalog of machine types; [onResult] receives null if there is no answer or no valid catalog. */
    fun readCatalog(onResult: (CatalogRow?) -> Unit) {
        context.call(context.settings.cloudEndpoint, "GET", CATALOG_PATH, null, TIMEOUT_SECONDS) { outcome ->
            onResult(bodyOfOk(outcome)?.let { CatalogRow.decode(it) })
        }
    }

    /** Rents machines; the cloud recognizes a repeated call by the id of the [rental]. */
    fun rent(
        rental: Rental,
        onResult: (RentResult) -> Unit,
    ) {
        val body = CloudApiCodec.rentRequest(rental)
        context.call(context.settings.cloudEndpoint, "POST", RENTALS_PATH, body, TIMEOUT_SECONDS, leadership.commandDeadline) { outcome ->
            onResult(rentResultOf(outcome))
        }
    }

    private fun rentResultOf(outcome: CallOutcome): RentResult =
        when (outcome) {
            CallOutcome.NotSent -> RentResult.Refused(status = null, body = "")
            CallOutcome.Unknown -> RentResult.Unknown
            is CallOutcome.Responded -> rentResultOf(outcome)
        }

    private fun rentResultOf(response: CallOutcome.Responded): RentResult {
        if (response.status in REFUSAL_STATUSES) return RentResult.Refused(response.status, response.body)
        val ids = bodyOfOk(response)?.let { CloudApiCodec.decodeRentedIds(it) } ?: return RentResult.Unknown
        return RentResult.Granted(ids)
    }

    /** Returns the machines [ids]; [onResult] receives whether the cloud has confirmed that they no longer exist. */
    fun returnMachines(
        ids: List<String>,
        onResult: (isConfirmed: Boolean) -> Unit,
    ) {
        val body = CloudApiCodec.returnRequest(ids)
        context.call(
            context.settings.cloudEndpoint,
            "POST",
            RETURN_PATH,
            body,
            RETURN_TIMEOUT_SECONDS,
            leadership.commandDeadline,
        ) { outcome ->
            onResult(bodyOfOk(outcome) != null)
        }
    }

    private fun bodyOfOk(outcome: CallOutcome): String? = (outcome as? CallOutcome.Responded)?.takeIf { it.status == HttpStatus.OK }?.body

    internal companion object {
        /** Timeout of a call, after which its outcome is unknown. */
        const val TIMEOUT_SECONDS: Double = 3.0
        private const val RETURN_TIMEOUT_SECONDS = TIMEOUT_SECONDS * 2
        private const val CATALOG_PATH = "/catalog"
        private const val RENTALS_PATH = "/rentals"
        private const val RETURN_PATH = "/rentals/return"
        private val REFUSAL_STATUSES = setOf(HttpStatus.BAD_REQUEST, HttpStatus.TOO_MANY_REQUESTS, HttpStatus.SERVICE_UNAVAILABLE)
    }
}
