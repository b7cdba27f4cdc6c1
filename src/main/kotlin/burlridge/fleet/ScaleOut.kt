package burlridge.fleet

import burlridge.core.CallOutcome
import burlridge.core.StepContext
import burlridge.json.Json
import burlridge.leadership.Leadership
import burlridge.store.Change
import burlridge.store.Condition
import burlridge.store.RequestPriority
import burlridge.store.Row
import burlridge.store.StoreClient
import burlridge.store.Transaction
import burlridge.store.TransactionResult
import burlridge.worker.WorkerManager

/** One step of the fleet plan: so many machines of a type, zone and kind. */
internal data class InstanceOffering(
    val type: String,
    val zone: String,
    val spot: Boolean,
)

internal class Rental(
    val step: String,
    val offering: InstanceOffering,
    val count: Int,
) {
    var modRevision: Long = 0
    var calledAt: Double = 0.0

    /** Set once the cloud's answer is known, or its list has caught up with a call of unknown outcome. */
    var settledAt: Double? = null
    var expected: Int = count
}

/** Rentals, each claimed in a row before the cloud is called; what has an unknown outcome waits for the cloud's list. */
internal class ScaleOut(
    private val context: StepContext,
    private val store: StoreClient,
    private val leadership: Leadership,
    private val workers: WorkerManager,
) {
    private var nextStep = 0L
    private val rentals = LinkedHashMap<String, Rental>()
    private val refusedUntil = HashMap<InstanceOffering, Double>()
    private val refusals = HashMap<InstanceOffering, Int>()

    /** Those on their way, or of unknown outcome. */
    val open: Collection<Rental> get() = rentals.values

    fun clear() {
        rentals.clear()
        refusedUntil.clear()
        refusals.clear()
        nextStep = 0
    }

    /** Whether operators want no machines in a zone. */
    var isZoneDrained: (String) -> Boolean = { false }

    fun refused(offering: InstanceOffering): Boolean = isHeldOff(offering) || isZoneDrained(offering.zone)

    private fun isHeldOff(offering: InstanceOffering): Boolean = context.now < (refusedUntil[offering] ?: 0.0)

    /** What has been returned can be had again. */
    fun returned(offering: InstanceOffering) {
        refusedUntil.remove(offering)
        refusals.remove(offering)
    }

    fun load(row: Row) {
        val v = row.value
        val rental =
            Rental(
                row.key.substringAfter('/'),
                InstanceOffering(v.path("type").asText(), v.path("zone").asText(), v.path("spot").asBoolean()),
                v.path("n").asInt(),
            )
        rental.modRevision = row.modRevision
        // Called or not, by a leader that is gone: unknown, until the list must show what came of it.
        rental.calledAt = context.now
        rentals[rental.step] = rental
    }

    fun settle() {
        for (rental in rentals.values.toList()) {
            if (rental.settledAt == null && rental.calledAt > 0 &&
                context.now > rental.calledAt + Fleet.CLOUD_TIMEOUT_SECONDS +
                context.settings.cloudLimits.listLagSeconds * Fleet.OLDEST_LIST
            ) {
                context.info("rental ${rental.step}: outcome unknown, and the cloud's list has caught up")
                rental.settledAt = context.now
            }
            val settled = rental.settledAt ?: continue
            if (rental.modRevision > 0 && context.now >= settled) forget(rental)
        }
    }

    private fun forget(rental: Rental) {
        rental.modRevision = 0
        store.commitUntilKnown(
            Transaction(listOf(leadership.fenceCondition()), listOf(Change.Delete("rental/${rental.step}"))),
            RequestPriority.CLEANUP,
            leadership.whileLeading(leadership.term),
        ) {
            rentals.remove(rental.step)
        }
    }

    fun rent(
        offering: InstanceOffering,
        count: Int,
        reason: String,
    ) {
        val rental = Rental("${leadership.term}-${nextStep++}", offering, count.coerceAtMost(Fleet.MOST_PER_CALL))
        rentals[rental.step] = rental
        context.info(
            "rental ${rental.step}: ${rental.count} of ${offering.type} in ${offering.zone}${if (offering.spot) ", spot" else ""}: $reason",
        )
        val row =
            Json.obj {
                put("st", "claimed")
                put("type", offering.type)
                put("zone", offering.zone)
                put("spot", offering.spot)
                put("n", rental.count)
                put("tok", leadership.term)
            }
        val mine = leadership.whileLeading(leadership.term)
        val transaction =
            Transaction(
                listOf(leadership.fenceCondition(), Condition("rental/${rental.step}", 0)),
                listOf(Change.Put("rental/${rental.step}", row)),
            )
        store.commitUntilKnown(transaction, RequestPriority.CLAIM, mine) { result ->
            when {
                result is TransactionResult.Committed -> {
                    rental.modRevision = result.revision
                    order(rental, mine)
                }

                result is TransactionResult.Conflict && Leadership.TERM in result.failed -> {
                    leadership.stepDownOnPassedTerm()
                }

                // An earlier copy of this very claim was applied.
                result is TransactionResult.Conflict -> {
                    rental.modRevision = 1
                    order(rental, mine)
                }

                else -> {
                    rentals.remove(rental.step)
                }
            }
        }
    }

    private fun order(
        rental: Rental,
        mine: () -> Boolean,
    ) {
        rental.calledAt = context.now
        val offering = rental.offering
        val body =
            Json.obj {
                put("hire", "r-${rental.step}")
                put("breed", offering.type)
                put("yard", offering.zone)
                put("loaners", offering.spot)
                put("number", rental.count)
            }
        context.call(
            context.settings.cloud,
            "POST",
            "/rentals",
            Json.write(body),
            Fleet.CLOUD_TIMEOUT_SECONDS,
            leadership.commandDeadline,
        ) { outcome ->
            if (!mine()) return@call
            val answer = outcome as? CallOutcome.Responded
            val names = answer?.takeIf { it.status == 200 }?.let { Json.parseOrNull(it.body)?.get("drovers") }?.takeIf { it.isArray }
            when {
                names != null -> {
                    context.info("rental ${rental.step}: got ${names.size()} of ${rental.count}")
                    names.forEach { name ->
                        val machine = workers.machine(name.asText())
                        if (!machine.isUp && !machine.isListed) {
                            machine.type = offering.type
                            machine.zone = offering.zone
                            machine.spot = offering.spot
                            machine.isStarting = true
                            machine.rentedAt = context.now
                        }
                    }
                    refusals.remove(offering)
                    if (names.size() < rental.count) refuse(offering)
                    rental.settledAt = context.now
                    rental.expected = 0
                }

                outcome is CallOutcome.NotSent || answer?.status in REFUSALS -> {
                    context.info("rental ${rental.step}: refused: ${answer?.status ?: "no connection"} ${answer?.body.orEmpty()}")
                    refuse(offering)
                    rental.settledAt = context.now
                    rental.expected = 0
                }

                else -> {
                    context.info("rental ${rental.step}: outcome unknown, waiting for the cloud's list")
                }
            }
        }
    }

    /** Nothing of [offer] is asked for until a while from now, the longer the more often that was so. */
    fun refuse(offering: InstanceOffering) {
        // Several steps asked at once are refused for one and the same reason.
        if (isHeldOff(offering)) return
        val times = refusals.merge(offering, 1, Int::plus) ?: 1
        refusedUntil[offering] = context.now + minOf(REFUSED_SECONDS * times, REFUSED_SECONDS * 4)
    }

    /** A few steps of one kind may be on their way at once, so that a large need is met within a few calls. */
    fun isOpen(offering: InstanceOffering): Boolean = !refused(offering) && stepsOf(offering) < MOST_STEPS

    fun stepsOf(offering: InstanceOffering): Int = rentals.values.count { it.offering == offering && it.expected > 0 }

    internal companion object {
        private val REFUSALS = setOf(400, 429, 503)
        private const val REFUSED_SECONDS = 15.0

        /** Steps of one kind on their way at once. */
        const val MOST_STEPS = 4
    }
}
