package burlridge.store

import burlridge.json.Json
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

/** Tests the wire format of the key-value store; a response that violates the protocol is never decoded as a success. */
internal class StoreCodecTest {
    @Test
    fun `a transaction is encoded as the protocol specifies`() {
        val transaction =
            Transaction(
                listOf(Condition("live/j-1", 0), Condition("term", 7)),
                listOf(Change.Put("live/j-1", Json.obj { put("n", 1) }, leaseId = 9), Change.Delete("over/j-1")),
            )
        val expected =
            """{"if":[{"key":"live/j-1","stamp":0},{"key":"term","stamp":7}],""" +
                """"then":[{"set":"live/j-1","value":{"n":1},"tether":9},{"remove":"over/j-1"}]}"""
        assertEquals(expected, StoreCodec.encodeTransaction(transaction))
        assertEquals("""{"ttlMs":1500}""", StoreCodec.encodeLeaseRequest(1500))
    }

    @Test
    fun `a transaction has a definite result only if the response is unambiguous`() {
        fun result(
            status: Int,
            body: String,
        ) = StoreCodec.decodeTransactionResult(status, Json.parseOrNull(body))
        assertEquals(TransactionResult.Committed(5), result(200, """{"ledgerRev":5}"""))
        assertEquals(TransactionResult.Unknown, result(200, "{}"))
        assertEquals(TransactionResult.Unknown, result(200, "no JSON"))
        assertEquals(TransactionResult.Conflict(listOf("term")), result(409, """{"failed":["term"]}"""))
        assertEquals(TransactionResult.Unknown, result(409, ""))
        assertEquals(TransactionResult.LeaseNotFound, result(400, """{"error":"no such lease"}"""))
        assertEquals(TransactionResult.Rejected, result(400, """{"error":"too large"}"""))
        assertEquals(TransactionResult.Rejected, result(429, ""))
        assertEquals(TransactionResult.Rejected, result(503, ""))
        assertEquals(TransactionResult.Unknown, result(500, ""))
    }

    @Test
    fun `reads, listings and lease requests without a usable response are decoded as failed`() {
        assertEquals(ReadResult.Absent, StoreCodec.decodeRow("term", 404, null))
        assertEquals(ReadResult.Failed, StoreCodec.decodeRow("term", 200, Json.parse("{}")))
        assertEquals(ListResult.Failed, StoreCodec.decodePage(200, Json.parse("""{"pairs":7}""")))
        assertEquals(LeaseGrant.Failed, StoreCodec.decodeLeaseGrant(200, Json.parse("""{"tether":"x"}""")))
        assertEquals(LeaseGrant.Granted(3), StoreCodec.decodeLeaseGrant(200, Json.parse("""{"tether":3}""")))
        assertEquals(LeaseRenewal.UNKNOWN, StoreCodec.decodeLeaseRenewal(503))
    }

    @Test
    fun `a watch response is decoded as changes, compacted history or failure`() {
        val body = """{"ledgerRev":9,"events":[{"set":"live/1","value":7,"stamp":8},{"remove":"live/2","stamp":9}]}"""
        val events = listOf(WatchEvent.Put("live/1", Json.parse("7"), 8), WatchEvent.Delete("live/2", 9))
        assertEquals(WatchResult.Changes(9, events), StoreCodec.decodeWatch(200, Json.parse(body)))
        assertEquals(WatchResult.Changes(WatchResult.NO_REVISION, null), StoreCodec.decodeWatch(200, Json.parse("{}")))
        assertEquals(WatchResult.Compacted, StoreCodec.decodeWatch(410, null))
        assertEquals(WatchResult.Failed(200), StoreCodec.decodeWatch(200, null))
    }
}
