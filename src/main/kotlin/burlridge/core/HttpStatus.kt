package burlridge.core

/** The HTTP status codes that the protocols use. */
internal object HttpStatus {
    const val OK: Int = 200
    const val CREATED: Int = 201
    const val BAD_REQUEST: Int = 400
    const val NOT_FOUND: Int = 404
    const val METHOD_NOT_ALLOWED: Int = 405
    const val REQUEST_TIMEOUT: Int = 408
    const val CONFLICT: Int = 409
    const val GONE: Int = 410
    const val MISDIRECTED_REQUEST: Int = 421
    const val UNPROCESSABLE: Int = 422
    const val TOO_MANY_REQUESTS: Int = 429
    const val SERVICE_UNAVAILABLE: Int = 503
    const val GATEWAY_TIMEOUT: Int = 504
}
