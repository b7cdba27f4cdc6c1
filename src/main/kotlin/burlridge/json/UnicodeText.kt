package burlridge.json

/**
 * Whether this text is valid Unicode. JSON can escape half of a surrogate pair (`"\ud83d"`); the text that results is not, and since
 * UTF-8 cannot encode it, it can be neither stored nor sent.
 */
internal fun String.isValidUnicode(): Boolean = none(Char::isSurrogate) || Charsets.UTF_8.newEncoder().canEncode(this)
