package burlridge.net

import burlridge.core.HttpResponse
import burlridge.core.HttpStatus

/** Encodes responses as HTTP/1.1. */
internal object HttpResponseEncoder {
    private val reasonPhrases =
        mapOf(
            HttpStatus.OK to "OK",
            HttpStatus.CREATED to "Created",
            HttpStatus.BAD_REQUEST to "Bad Request",
            HttpStatus.NOT_FOUND to "Not Found",
            HttpStatus.METHOD_NOT_ALLOWED to "Method Not Allowed",
            HttpStatus.REQUEST_TIMEOUT to "Request Timeout",
            HttpStatus.CONFLICT to "Conflict",
            HttpStatus.MISDIRECTED_REQUEST to "Misdirected Request",
            HttpStatus.UNPROCESSABLE to "Unprocessable Content",
            HttpStatus.SERVICE_UNAVAILABLE to "Service Unavailable",
        )

    /**
     * Returns the bytes of [response], or of a 503 if its deadline has passed at [now], the monotonic time in seconds. With [close], a
     * `Connection: close` header is added.
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
