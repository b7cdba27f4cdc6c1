package burlridge.json

import com.fasterxml.jackson.core.JsonFactory
import com.fasterxml.jackson.core.JsonParser
import com.fasterxml.jackson.core.JsonToken
import java.io.IOException

/**
 * Decodes JSON objects while they are parsed, without building a tree. It is used for messages that arrive hundreds of times per second;
 * rare ones are read with [Json].
 */
internal object JsonStream {
    private val factory = JsonFactory()

    /** Returns the result of [decode] for the object in [body]; null if [body] is anything but one JSON object. */
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

/** Calls [read] with the name of each field of the object at the parser's position; [read] must consume or skip the value. */
internal inline fun JsonParser.forEachField(read: (String) -> Unit) {
    while (nextToken() != JsonToken.END_OBJECT) {
        val name = currentName()
        nextToken()
        read(name)
    }
}

/** Calls [read] for each object in the array at the parser's position; other elements are skipped, and so is a value that is no array. */
internal inline fun JsonParser.forEachObject(read: () -> Unit) {
    if (currentToken() != JsonToken.START_ARRAY) {
        skipChildren()
        return
    }
    while (nextToken() != JsonToken.END_ARRAY) {
        if (currentToken() == JsonToken.START_OBJECT) read() else skipChildren()
    }
}

/** Returns the string at the parser's position; null if it is not valid Unicode. Skips a value of another type and returns null. */
internal fun JsonParser.textOrNull(): String? {
    if (currentToken() == JsonToken.VALUE_STRING) return text.takeIf { it.isValidUnicode() }
    skipChildren()
    return null
}

/** Returns the boolean at the parser's position; skips a value of another type and returns null. */
internal fun JsonParser.booleanOrNull(): Boolean? {
    val token = currentToken()
    if (token == JsonToken.VALUE_TRUE || token == JsonToken.VALUE_FALSE) return token == JsonToken.VALUE_TRUE
    skipChildren()
    return null
}

/** Returns the number at the parser's position; skips a value of another type and returns null. */
internal fun JsonParser.numberOrNull(): Double? {
    if (currentToken().isNumeric) return doubleValue
    skipChildren()
    return null
}

/** Returns the number at the parser's position, truncated to an integer; skips a value of another type and returns null. */
internal fun JsonParser.integerOrNull(): Long? = if (currentToken() == JsonToken.VALUE_NUMBER_INT) longValue else numberOrNull()?.toLong()
