package burlridge.core

import burlridge.json.Json

/** A response to a request of a user, a worker, an operator, or a peer that forwards one. */
internal data class HttpResponse(
    val status: Int,
    val body: String,
    /** Value of the `Retry-After` header; null to omit the header. */
    val retryAfterSeconds: Int? = null,
    /** Monotonic time, in seconds, after which this response must not be sent. */
    val sendDeadline: Double = Effect.NO_DEADLINE,
) {
    internal companion object {
        /** A response whose body gives the [reason] as `{"error": ...}`. */
        fun error(
            status: Int,
            reason: String,
        ): HttpResponse = HttpResponse(status, errorBody(reason))

        /** 503 with `Retry-After`: the same request may succeed later, at this member or another. */
        fun unavailable(
            reason: String,
            retryAfterSeconds: Int = 1,
        ): HttpResponse = HttpResponse(HttpStatus.SERVICE_UNAVAILABLE, errorBody(reason), retryAfterSeconds)

        /** 405 for a path that supports only the method [allowed]. */
        fun methodNotAllowed(allowed: String): HttpResponse = error(HttpStatus.METHOD_NOT_ALLOWED, "use $allowed")

        private fun errorBody(reason: String): String = Json.write(Json.obj { put("error", reason) })
    }
}
