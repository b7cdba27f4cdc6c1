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
): ByteArray? {
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
                bytes.takeIf { it.size <= maxBytes }
            }
        }

        length == null || length == 0L -> {
            ByteArray(0)
        }

        length > maxBytes -> {
            null
        }

        else -> {
            input.readByteArray(length.toInt())
        }
    }
}

/**
 * Decodes [bytes] from [offset] on as UTF-8; returns null if they are not valid. Decoded leniently, a text would be stored with other
 * characters than were sent.
 */
internal fun decodeUtf8OrNull(
    bytes: ByteArray,
    offset: Int = 0,
): String? {
    val text = String(bytes, offset, bytes.size - offset)
    // The replacement character stands for invalid bytes, or for itself: only then is the strict, slower decoder needed.
    if (REPLACEMENT_CHARACTER !in text) return text
    return try {
        bytes.decodeToString(offset, throwOnInvalidSequence = true)
    } catch (_: CharacterCodingException) {
        null
    }
}

private const val REPLACEMENT_CHARACTER = '\uFFFD'
