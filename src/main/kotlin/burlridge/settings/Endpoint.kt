package burlridge.settings

/** An IPv4 address and a TCP port. */
internal data class Endpoint(
    val host: String,
    val port: Int,
) {
    override fun toString(): String = "$host:$port"

    internal companion object {
        /** Parses an address and a port, as in `10.1.0.232:9000`; returns null if the port is missing or invalid. */
        fun parseOrNull(text: String): Endpoint? {
            val port = text.substringAfterLast(':', "").toIntOrNull()?.takeIf { it in 1..65535 } ?: return null
            return Endpoint(text.substringBeforeLast(':'), port)
        }
    }
}
