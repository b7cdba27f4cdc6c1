package burlridge.net

import burlridge.core.HttpResponse
import burlridge.core.HttpStatus

/** Writes responses as HTTP/1.1. */
internal object HttpResponseEncoder {
    private val reasonPhrases =
        mapOf(
            HttpStatus.OK to "OK",
            HttpStatus.CREATED to "Created",
            HttpStatus.BAD_REQUEST to "Bad Request",
            HttpStatus.NOT_FOUND to "Not Found",
            HttpStatus.METHOD_NOT_ALLOWED to "Method Not Allowed",
            HttpStatus.CONFLICT to "Conflict",
            HttpStatus.MISDIRECTED_REQUEST to "Misdirected Request",
            HttpStatus.UNPROCESSABLE to "Unprocessable Content",
            HttpStatus.SERVICE_UNAVAILABLE to "Service Unavailable",
        )

    /**
     * The bytes of [response] at [now], in seconds of the steady clock; a 503 in its place if its deadline has passed. With [close] the
     * other side is told that the connection ends.
     */
    fun encode(
        response: HttpResponse,
        now: Double,
        close: Boolean,
    ): ByteArray =
        if (response.sendDeadline < now) encode(HttpResponse.unavailable("answered too late"), close) else encode(response, close)

    private fun encode(
        response: HttpResponse,
        close: Boolean,
    ): ByteArray {
        val body = response.body.encodeToByteArray()
        val head =
            buildString {
                append("HTTP/1.1 ")
                    .append(response.status)
                    .append(' ')
                    .append(reasonPhrases[response.status] ?: "Status")
                    .append("\r\n")
                append("Content-Type: application/json\r\nContent-Length: ").append(body.size).append("\r\n")
                response.retryAfterSeconds?.let { append("Retry-After: ").append(it).append("\r\n") }
                if (close) append("Connection: close\r\n")
                append("\r\n")
            }
        return head.encodeToByteArray() + body
    }
}
