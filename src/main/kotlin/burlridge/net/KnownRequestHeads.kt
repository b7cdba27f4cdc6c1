package burlridge.net

import io.ktor.http.cio.Request

/**
 * Heads of frequent requests that Ktor's parser has read. A request with the same head need not be parsed again, on whichever connection
 * it comes: parsing took a quarter of a leader's time.
 */
internal class KnownRequestHeads {
    /** A request whose head is known, and where its body begins. */
    data class Match(
        val head: RequestHead,
        val bodyOffset: Int,
    )

    private val heads = ArrayDeque<RequestHead>()

    /** Remembers the head of [request], which came as [requestBytes]; null where that is not known. */
    fun add(
        requestBytes: ByteArray?,
        request: Request,
        uri: String,
    ) {
        val bodySize =
            request.headers["Content-Length"]
                ?.toString()
                ?.trim()
                ?.toIntOrNull() ?: 0
        val head = requestBytes?.let { RequestHead.of(it, request.method.value, uri, bodySize) } ?: return
        if (heads.size == MAX_HEADS) heads.removeFirst()
        heads.addLast(head)
    }

    /** The known head of [bytes] if they are one whole request with a body of at most [maxBodyBytes]; otherwise null. */
    fun match(
        bytes: ByteArray,
        maxBodyBytes: Int,
    ): Match? {
        for (head in heads) {
            val bodyOffset = head.bodyOffset(bytes)
            if (bodyOffset >= 0 && bytes.size - bodyOffset <= maxBodyBytes) return Match(head, bodyOffset)
        }
        return null
    }

    private companion object {
        const val MAX_HEADS = 4
    }
}
