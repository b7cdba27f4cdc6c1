package burlridge.json

import com.fasterxml.jackson.core.JsonFactory
import com.fasterxml.jackson.core.JsonParser
import com.fasterxml.jackson.core.JsonToken
import java.io.IOException

/**
 * Reads JSON objects as they are parsed, without building a tree. It serves the messages that arrive hundreds of times a
 * second; what is rare is read by [Json].
 */
internal object JsonStream {
    private val factory = JsonFactory()

    /** What [decode] makes of the one object in [body]; null where [body] is anything but one JSON object. */
    fun <T : Any> decodeObject(
        body: String,
        decode: (JsonParser) -> T?,
    ): T? =
        try {
            factory.createParser(body).use { parser ->
                if (parser.nextToken() != JsonToken.START_OBJECT) return null
                val decoded = decode(parser)
                // Anything after the object makes the whole body malformed.
                if (parser.nextToken() == null) decoded else null
            }
        } catch (_: IOException) {
            null
        }
}

/** Calls [read] with the name of each field of the object that the parser stands at; [read] takes or skips the value. */
internal inline fun JsonParser.forEachField(read: (String) -> Unit) {
    while (nextToken() != JsonToken.END_OBJECT) {
        val name = currentName()
        nextToken()
        read(name)
    }
}

/** Calls [read] at each object of the array that the parser stands at; anything else in it, or another value, is skipped. */
internal inline fun JsonParser.forEachObject(read: () -> Unit) {
    if (currentToken() != JsonToken.START_ARRAY) {
        skipChildren()
        return
    }
    while (nextToken() != JsonToken.END_ARRAY) {
        if (currentToken() == JsonToken.START_OBJECT) read() else skipChildren()
    }
}

/** The text at which the parser stands; null, with the value skipped, for another type. */
internal fun JsonParser.textOrNull(): String? {
    if (currentToken() == JsonToken.VALUE_STRING) return text
    skipChildren()
    return null
}

/** The boolean at which the parser stands; null, with the value skipped, for another type. */
internal fun JsonParser.booleanOrNull(): Boolean? {
    val token = currentToken()
    if (token == JsonToken.VALUE_TRUE || token == JsonToken.VALUE_FALSE) return token == JsonToken.VALUE_TRUE
    skipChildren()
    return null
}

/** The number at which the parser stands; null, with the value skipped, for another type. */
internal fun JsonParser.numberOrNull(): Double? {
    if (currentToken().isNumeric) return doubleValue
    skipChildren()
    return null
}

/** The number at which the parser stands, without its fraction; null, with the value skipped, for another type. */
internal fun JsonParser.integerOrNull(): Long? = if (currentToken() == JsonToken.VALUE_NUMBER_INT) longValue else numberOrNull()?.toLong()
