package burlridge.net

import io.ktor.http.cio.HttpHeadersMap
import io.ktor.http.cio.decodeChunked
import io.ktor.utils.io.ByteChannel
import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.readByteArray
import io.ktor.utils.io.readRemaining
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.launch
import kotlinx.io.readByteArray

/** Reads the body described by [headers]; returns null if it is longer than [maxBytes]. */
internal suspend fun readBody(
    headers: HttpHeadersMap,
    input: ByteReadChannel,
    maxBytes: Int,
): String? {
    val length = headers["Content-Length"]?.toString()?.trim()?.toLongOrNull()
    val encoding = headers["Transfer-Encoding"]
    return when {
        encoding != null && encoding.contains("chunked", ignoreCase = true) -> {
            coroutineScope {
                val decoded = ByteChannel()
                val decoder =
                    launch {
                        decodeChunked(input, decoded)
                        decoded.flushAndClose()
                    }
                val bytes = decoded.readRemaining(maxBytes + 1L).readByteArray()
                if (bytes.size > maxBytes) decoder.cancel()
                bytes.takeIf { it.size <= maxBytes }?.decodeToString()
            }
        }

        length == null || length == 0L -> {
            ""
        }

        length > maxBytes -> {
            null
        }

        else -> {
            input.readByteArray(length.toInt()).decodeToString()
        }
    }
}
