package burlridge.net

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNotNull
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Test

/** A request is taken by its known head only where it is whole and nothing but the length of its body differs. */
internal class RequestHeadTest {
    private fun request(
        body: String,
        length: String = "${body.length}",
        extra: String = "",
    ) = "POST /agent/beat HTTP/1.1\r\nHost: a:1\r\n${extra}Content-Length: $length\r\nX: y\r\n\r\n$body".encodeToByteArray()

    private fun headOf(bytes: ByteArray) = RequestHead.of(bytes, "POST", "/agent/beat", 2)

    private val head = checkNotNull(headOf(request("{}")))

    private fun matchedBody(bytes: ByteArray): String? = head.bodyOffset(bytes).takeIf { it >= 0 }?.let { String(bytes, it, bytes.size - it) }

    @Test
    fun `a body of any length is found`() {
        assertEquals("{}", matchedBody(request("{}")))
        assertEquals("x".repeat(1234), matchedBody(request("x".repeat(1234))))
        assertEquals("", matchedBody(request("")))
    }

    @Test
    fun `what is not whole, not alone or not the same is left to the parser`() {
        assertNull(matchedBody(request("{}", length = "3")))
        assertNull(matchedBody(request("{}", length = "1")))
        assertNull(matchedBody(request("{}", length = "-2")))
        assertNull(matchedBody(request("{}", length = "")))
        assertNull(matchedBody(request("{}", length = "000002")))
        assertNull(matchedBody(request("{}", extra = "Connection: close\r\n")))
        assertNull(matchedBody(request("{}").copyOf(40)))
        assertNull(matchedBody(ByteArray(0)))
        assertNull(matchedBody(request("{}") + request("{}")))
    }

    @Test
    fun `only a plain head is remembered`() {
        assertNull(headOf(request("{}", extra = "Transfer-Encoding: chunked\r\n")))
        assertNull(headOf(request("{}", extra = "Connection: close\r\n")))
        assertNull(headOf(request("{}", extra = "Content-Length: 2\r\n")))
        assertNull(headOf(request("{}").copyOf(30)))
        assertNotNull(headOf(request("{}", extra = "Accept: */*\r\n")))
    }

    @Test
    fun `a request without a body matches to the last byte`() {
        val probe = "GET /ready HTTP/1.1\r\nHost: a:1\r\n\r\n".encodeToByteArray()
        val ready = checkNotNull(RequestHead.of(probe, "GET", "/ready", 0))
        assertEquals(probe.size, ready.bodyOffset(probe))
        assertEquals(-1, ready.bodyOffset(probe + 'x'.code.toByte()))
        assertEquals(-1, ready.bodyOffset(probe.copyOf(probe.size - 1)))
    }
}
