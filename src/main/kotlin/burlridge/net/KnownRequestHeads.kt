package burlridge.net

import io.ktor.http.cio.Request

/**
 * Heads of frequent requests that Ktor's parser has parsed. A request with the same head, on any connection, is not parsed again: parsing
 * took a quarter of a leader's time.
 */
internal class KnownRequestHeads {
    /** The known head of a request, and the offset of the request's body. */
    data class Match(
        val head: RequestHead,
        val bodyOffset: Int,
    )

    private val heads = ArrayDeque<RequestHead>()

    /** Adds the head of [request], which was received as [requestBytes]; null if these are not available. */
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

    /** Returns the known head of [bytes] if they are one complete request with a body of at most [maxBodyBytes]; otherwise null. */
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
