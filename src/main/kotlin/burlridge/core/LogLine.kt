package burlridge.core

/**
 * Formats a structured log line: [event] is a fixed phrase to search for, and each of [details] follows it as `key=value`. Values that are
 * empty or contain a space, a quote, an equals sign or a control character are quoted; details whose value is null are omitted.
 */
internal fun logLine(
    event: String,
    details: Array<out Pair<String, Any?>>,
): String {
    if (details.isEmpty()) return event
    val line = StringBuilder(event)
    for ((key, value) in details) {
        if (value == null) continue
        line
            .append(' ')
            .append(key)
            .append('=')
            .append(quotedIfNeeded(value.toString()))
    }
    return line.toString()
}

private fun quotedIfNeeded(value: String): String {
    val isPlain = value.isNotEmpty() && value.none { it == ' ' || it == '"' || it == '=' || it.isISOControl() }
    return if (isPlain) value else '"' + value.replace("\\", "\\\\").replace("\"", "\\\"") + '"'
}
