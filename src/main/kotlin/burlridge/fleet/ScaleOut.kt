package burlridge.fleet

import burlridge.core.StepContext
import burlridge.leadership.Leadership
import burlridge.store.Row
import burlridge.store.StoreClient
import burlridge.worker.WorkerManager

/**
 * Rents machines. Each rental is recorded in a row before the cloud is called, so that a new leader can find it. A rental of unknown
 * outcome is kept until the cloud's list must show the machines.
 */
internal class ScaleOut(
    private val context: StepContext,
    store: StoreClient,
    private val leadership: Leadership,
    private val workers: WorkerManager,
    private val cloud: CloudApi,
) {
    private var nextRentalNumber = 0L
    private val rentals = LinkedHashMap<String, Rental>()
    private val rows = RentalRows(store, leadership)
    private val backoff = OfferingBackoff(context)

    /** Rentals that are in flight or of unknown outcome, and those whose rows are not deleted yet. */
    val openRentals: Collection<Rental> get() = rentals.values

    /** Returns whether operators have drained a zone. */
    var isZoneDrained: (String) -> Boolean = { false }

    /** Discards all state, when leadership ends. */
    fun clear() {
        rentals.clear()
        backoff.clear()
        nextRentalNumber = 0
    }

    /** Whether [offering] must not be rented now, because it was refused recently or its zone is drained. */
    fun isUnavailable(offering: InstanceOffering): Boolean = backoff.isBackedOff(offering) || isZoneDrained(offering.zone)

    /** Whether more machines of [offering] can be requested now. Several calls may be open at once, to meet a large need quickly. */
    fun canRent(offering: InstanceOffering): Boolean = !isUnavailable(offering) && openCallsFor(offering) < MAX_OPEN_CALLS

    /** Number of calls for [offering] whose machines are not known yet. */
    fun openCallsFor(offering: InstanceOffering): Int = rentals.values.count { it.offering == offering && it.expectedMachines > 0 }

    /** Requests no more machines of [offering] until a backoff time has passed. */
    fun backOff(offering: InstanceOffering) = backoff.recordRefusal(offering)

    /** Ends the backoff of [offering]: machines of it were returned, and can be rented again. */
    fun onReturned(offering: InstanceOffering) = backoff.reset(offering)

    /** Loads a rental of an earlier leader. */
    fun loadRental(row: Row) {
        val rental = RentalRowCodec.decode(row.key, row.value)
        rental.modRevision = row.modRevision
        // The earlier leader may or may not have called the cloud: the outcome is unknown until the cloud's list must show it.
        rental.calledAt = context.now
        rentals[rental.id] = rental
    }

    /** Settles rentals whose machines the cloud's list must show by now, and deletes the rows of settled rentals. */
    fun settle() {
        for (rental in rentals.values.toList()) {
            if (rental.settledAt == null && rental.calledAt > 0 && isListCurrent(rental)) {
                context.info("rental of unknown outcome settled", "rental" to rental.id)
                rental.settledAt = context.now
            }
            val settledAt = rental.settledAt ?: continue
            if (rental.modRevision > 0 && context.now >= settledAt) rows.delete(rental) { rentals.remove(rental.id) }
        }
    }

    /** Whether even the oldest list that the cloud may return now is newer than the call of [rental]. */
    private fun isListCurrent(rental: Rental): Boolean =
        context.now > rental.calledAt + CloudApi.TIMEOUT_SECONDS +
            context.settings.cloudLimits.listLagSeconds * InventorySync.MAX_LIST_AGE_LAGS

    /** Rents up to [count] machines of [offering], at most [MAX_MACHINES_PER_CALL] in one call. */
    fun rent(
        offering: InstanceOffering,
        count: Int,
        reason: RentReason,
    ) {
        val rental = Rental("${leadership.term}-${nextRentalNumber++}", offering, count.coerceAtMost(MAX_MACHINES_PER_CALL))
        rentals[rental.id] = rental
        context.info(
            "rental requested",
            "rental" to rental.id,
            "count" to rental.count,
            "type" to offering.type,
            "zone" to offering.zone,
            "spot" to offering.spot,
            "reason" to reason.text,
        )
        val isStillLeading = leadership.whileLeading(leadership.term)
        rows.write(rental) { isWritten -> if (isWritten) callCloud(rental, isStillLeading) else rentals.remove(rental.id) }
    }

    private fun callCloud(
        rental: Rental,
        isStillLeading: () -> Boolean,
    ) {
        rental.calledAt = context.now
        cloud.rent(rental) { result -> if (isStillLeading()) onResult(rental, result) }
    }

    private fun onResult(
        rental: Rental,
        result: RentResult,
    ) {
        when (result) {
            is RentResult.Granted -> onGranted(rental, result.ids)
            is RentResult.Refused -> onRefused(rental, result)
            RentResult.Unknown -> context.info("rental outcome unknown", "rental" to rental.id)
        }
    }

    private fun onGranted(
        rental: Rental,
        ids: List<String>,
    ) {
        context.info("rental granted", "rental" to rental.id, "granted" to ids.size, "count" to rental.count)
        ids.forEach { register(it, rental.offering) }
        backoff.recordGrant(rental.offering)
        if (ids.size < rental.count) backOff(rental.offering)
        markSettled(rental)
    }

    private fun register(
        machineId: String,
        offering: InstanceOffering,
    ) {
        val machine = workers.getOrRegisterMachine(machineId)
        if (machine.isUp || machine.isListed) return
        machine.type = offering.type
        machine.zone = offering.zone
        machine.spot = offering.spot
        machine.isStarting = true
        machine.rentedAt = context.now
    }

    private fun onRefused(
        rental: Rental,
        result: RentResult.Refused,
    ) {
        context.info(
            "rental refused",
            "rental" to rental.id,
            "status" to (result.status ?: "no connection"),
            "response" to result.body,
        )
        backOff(rental.offering)
        markSettled(rental)
    }

    private fun markSettled(rental: Rental) {
        rental.settledAt = context.now
        rental.expectedMachines = 0
    }

    internal companion object {
        /** Maximum number of machines that the cloud rents out in one call. */
        const val MAX_MACHINES_PER_CALL: Int = 50

        /** Maximum number of calls for one offering that may be open at once. */
        const val MAX_OPEN_CALLS: Int = 4
    }
}
