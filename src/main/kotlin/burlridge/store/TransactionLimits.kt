package burlridge.store

import burlridge.json.Json
import burlridge.json.isValidUnicode
import burlridge.settings.StoreLimits
import com.fasterxml.jackson.databind.JsonNode
import com.google.common.base.Utf8

/** A limit that a transaction exceeds, in the unit of [limit]. */
internal data class LimitExceeded(
    val limit: TransactionLimit,
    val actual: Int,
    val allowed: Int,
)

/** A limited quantity of a transaction; [label] is its name in the log. */
internal enum class TransactionLimit(
    val label: String,
) {
    CHANGES("changes"),
    CONDITIONS("conditions"),
    VALUE_BYTES("value_bytes"),
    BODY_BYTES("body_bytes"),

    /** Unpaired surrogates, which UTF-8 cannot encode; only the first is counted. */
    UNPAIRED_SURROGATES("unpaired_surrogates"),
}

/** The single place that checks every transaction against the store's limits, including limits announced for the future. */
internal class TransactionLimits(
    private val limits: StoreLimits,
) {
    /** Returns the first limit that [transaction], whose encoding is [body], exceeds; null if it exceeds none. */
    fun exceededBy(
        transaction: Transaction,
        body: String,
    ): LimitExceeded? {
        // Only valid Unicode has a length in bytes.
        if (!body.isValidUnicode()) return LimitExceeded(TransactionLimit.UNPAIRED_SURROGATES, actual = 1, allowed = 0)
        val changes = transaction.changes.size
        val conditions = transaction.conditions.size
        val maxConditions = limits.changesPerTransaction * CONDITIONS_PER_CHANGE
        val largestValue = transaction.changes.maxOfOrNull { if (it is Change.Put) encodedBytes(it.value) else 0 } ?: 0
        return when {
            changes > limits.changesPerTransaction -> LimitExceeded(TransactionLimit.CHANGES, changes, limits.changesPerTransaction)
            conditions > maxConditions -> LimitExceeded(TransactionLimit.CONDITIONS, conditions, maxConditions)
            largestValue > limits.valueBytes -> LimitExceeded(TransactionLimit.VALUE_BYTES, largestValue, limits.valueBytes)
            else -> exceededByBody(body)
        }
    }

    private fun exceededByBody(body: String): LimitExceeded? {
        // Nearly all characters take one byte, so only bodies above half the limit are measured.
        if (body.length <= MAX_BODY_BYTES / 2) return null
        val bytes = Utf8.encodedLength(body)
        return if (bytes > MAX_BODY_BYTES) LimitExceeded(TransactionLimit.BODY_BYTES, bytes, MAX_BODY_BYTES) else null
    }

    /** Whether a row can hold [value]. */
    fun fitsValue(value: JsonNode): Boolean {
        val text = Json.write(value)
        return text.isValidUnicode() && Utf8.encodedLength(text) <= limits.valueBytes
    }

    private fun encodedBytes(value: JsonNode): Int = Utf8.encodedLength(Json.write(value))

    internal companion object {
        /** Number of conditions that a transaction may have per change that it may have. */
        const val CONDITIONS_PER_CHANGE: Int = 4
        private const val MAX_BODY_BYTES = 64 * 1024
    }
}
