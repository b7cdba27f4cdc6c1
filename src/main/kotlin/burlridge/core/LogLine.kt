package burlridge.core

/**
 * A log line that can be searched: [event] is a fixed phrase, and each of [details] follows it as `key=value`. Values with spaces or quotes
 * are quoted; a detail whose value is null is left out.
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
