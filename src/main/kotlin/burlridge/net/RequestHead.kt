package burlridge.net

/**
 * The head of a request that Ktor's parser has parsed. Workers and health checks repeat the same head, except for the length of the body;
 * such a request can be compared byte by byte instead of being parsed.
 */
internal class RequestHead private constructor(
    private val head: ByteArray,
    /** Start and end of the digits of `Content-Length` in [head]; both are the size of [head] if it has no such header. */
    private val lengthStart: Int,
    private val lengthEnd: Int,
    val method: String,
    val uri: String,
) {
    /** Returns the offset of the body in [bytes] if they are one complete request with this head; otherwise -1. */
    fun bodyOffset(bytes: ByteArray): Int {
        if (!matches(bytes, 0, 0, lengthStart)) return -1
        if (lengthStart == head.size) return if (bytes.size == head.size) bytes.size else -1
        var end = lengthStart
        var length = 0
        while (end < bytes.size && end < lengthStart + MAX_LENGTH_DIGITS &&
            bytes[end] in ZERO..NINE
        ) {
            length = length * DECIMAL + (bytes[end++] - ZERO)
        }
        val tailSize = head.size - lengthEnd
        val bodyOffset = end + tailSize
        return if (end > lengthStart && bodyOffset + length == bytes.size && matches(bytes, end, lengthEnd, tailSize)) bodyOffset else -1
    }

    private fun matches(
        bytes: ByteArray,
        from: Int,
        headFrom: Int,
        size: Int,
    ): Boolean = from + size <= bytes.size && java.util.Arrays.equals(bytes, from, from + size, head, headFrom, headFrom + size)

    internal companion object {
        /** Allows for bodies of up to 99,999 bytes, more than the server accepts. */
        private const val MAX_LENGTH_DIGITS = 5
        private const val DECIMAL = 10
        private const val ZERO = '0'.code.toByte()
        private const val NINE = '9'.code.toByte()
        private const val LENGTH_HEADER = "\r\ncontent-length:"

        /** Returns the head of a request received in one piece as [bytes] and parsed as [method] and [uri]; null if its form is unusual. */
        fun of(
            bytes: ByteArray,
            method: String,
            uri: String,
            bodySize: Int,
        ): RequestHead? {
            val size = bytes.size - bodySize
            if (size < HEAD_END.length) return null
            val text = String(bytes, 0, size, Charsets.ISO_8859_1)
            if (!text.endsWith(HEAD_END) || text.indexOf(HEAD_END) != size - HEAD_END.length) return null
            val lower = text.lowercase()
            if ("\r\ntransfer-encoding" in lower || "\r\nconnection:" in lower) return null
            val head = bytes.copyOf(size)
            val headerStart = lower.indexOf(LENGTH_HEADER)
            if (headerStart < 0) return if (bodySize == 0) RequestHead(head, size, size, method, uri) else null
            if (lower.indexOf(LENGTH_HEADER, headerStart + 1) >= 0) return null
            var start = headerStart + LENGTH_HEADER.length
            while (lower[start] == ' ') start++
            var end = start
            while (lower[end] in '0'..'9') end++
            val isPlain = end > start && lower.startsWith("\r\n", end) && text.substring(start, end) == bodySize.toString()
            return if (isPlain) RequestHead(head, start, end, method, uri) else null
        }

        private const val HEAD_END = "\r\n\r\n"
    }
}
