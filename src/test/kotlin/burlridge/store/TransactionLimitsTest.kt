package burlridge.store

import burlridge.json.Json
import burlridge.settings.StoreLimits
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

internal class TransactionLimitsTest {
    private val limits = TransactionLimits(StoreLimits(rps = 100.0, writeRps = 25.0, valueBytes = 64, changesPerTransaction = 1))

    private fun exceededBy(text: String): LimitExceeded? {
        val transaction = Transaction(emptyList(), listOf(Change.Put("row", Json.obj { put("text", text) })))
        return limits.exceededBy(transaction, StoreCodec.encodeTransaction(transaction))
    }

    /** Guards against a row that ends the leader whenever it is written: UTF-8 cannot encode half of a surrogate pair. */
    @Test
    fun `a value that is not valid Unicode exceeds a limit and fits no row`() {
        for (text in listOf("\ud83d", "a\ude00b", "\ude00\ud83d")) {
            assertEquals(LimitExceeded(TransactionLimit.UNPAIRED_SURROGATES, 1, 0), exceededBy(text))
            assertFalse(limits.fitsValue(Json.obj { put("text", text) }))
        }
        assertEquals(null, exceededBy("\ud83d\ude00"))
        assertTrue(limits.fitsValue(Json.obj { put("text", "\ud83d\ude00") }))
    }
}
