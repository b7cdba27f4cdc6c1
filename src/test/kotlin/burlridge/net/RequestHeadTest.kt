package burlridge.net

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNotNull
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Test

/** A request matches a known head only if it is complete and differs in nothing but its body and the body's length. */
internal class RequestHeadTest {
    private fun request(
        body: String,
        length: String = "${body.length}",
        extra: String = "",
    ) = "POST /agent/beat HTTP/1.1\r\nHost: a:1\r\n${extra}Content-Length: $length\r\nX: y\r\n\r\n$body".encodeToByteArray()

    private fun headOf(bytes: ByteArray) = RequestHead.of(bytes, "POST", "/agent/beat", 2)

    private val head = checkNotNull(headOf(request("{}")))

    private fun bodyOf(bytes: ByteArray): String? = head.bodyOffset(bytes).takeIf { it >= 0 }?.let { String(bytes, it, bytes.size - it) }

    @Test
    fun `a request with a body of any length matches`() {
        assertEquals("{}", bodyOf(request("{}")))
        assertEquals("x".repeat(1234), bodyOf(request("x".repeat(1234))))
        assertEquals("", bodyOf(request("")))
    }

    @Test
    fun `an incomplete, pipelined or different request does not match`() {
        assertNull(bodyOf(request("{}", length = "3")))
        assertNull(bodyOf(request("{}", length = "1")))
        assertNull(bodyOf(request("{}", length = "-2")))
        assertNull(bodyOf(request("{}", length = "")))
        assertNull(bodyOf(request("{}", length = "000002")))
        assertNull(bodyOf(request("{}", extra = "Connection: close\r\n")))
        assertNull(bodyOf(request("{}").copyOf(40)))
        assertNull(bodyOf(ByteArray(0)))
        assertNull(bodyOf(request("{}") + request("{}")))
    }

    @Test
    fun `only a head of the usual form is accepted`() {
        assertNull(headOf(request("{}", extra = "Transfer-Encoding: chunked\r\n")))
        assertNull(headOf(request("{}", extra = "Connection: close\r\n")))
        assertNull(headOf(request("{}", extra = "Content-Length: 2\r\n")))
        assertNull(headOf(request("{}").copyOf(30)))
        assertNotNull(headOf(request("{}", extra = "Accept: */*\r\n")))
    }

    @Test
    fun `a request without a body matches only if all bytes are equal`() {
        val probe = "GET /ready HTTP/1.1\r\nHost: a:1\r\n\r\n".encodeToByteArray()
        val ready = checkNotNull(RequestHead.of(probe, "GET", "/ready", 0))
        assertEquals(probe.size, ready.bodyOffset(probe))
        assertEquals(-1, ready.bodyOffset(probe + 'x'.code.toByte()))
        assertEquals(-1, ready.bodyOffset(probe.copyOf(probe.size - 1)))
    }
}
