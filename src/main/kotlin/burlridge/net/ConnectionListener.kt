package burlridge.net

import burlridge.settings.Endpoint
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import java.io.IOException
import java.net.InetSocketAddress
import java.net.StandardSocketOptions
import java.nio.channels.SelectionKey
import java.nio.channels.ServerSocketChannel

/** Accepts connections on the event loop. */
internal object ConnectionListener {
    private const val ACCEPT_PAUSE_MILLIS = 20L

    /**
     * Accepts connections on [endpoint] for as long as the loop runs. If [admit] returns false, or no socket is available, accepting pauses
     * for [ACCEPT_PAUSE_MILLIS]: new connections wait in the backlog and would otherwise wake the loop continuously.
     */
    fun listen(
        loop: EventLoop,
        scope: CoroutineScope,
        endpoint: Endpoint,
        backlog: Int,
        limit: ReceiveLimit,
        admit: () -> Boolean,
        newHandler: (Connection) -> Connection.Handler,
    ) {
        val server = ServerSocketChannel.open()
        server.setOption(StandardSocketOptions.SO_REUSEADDR, true)
        server.bind(InetSocketAddress(endpoint.host, endpoint.port), backlog)
        server.configureBlocking(false)
        lateinit var key: SelectionKey

        fun pauseAccepting() {
            key.interestOps(0)
            scope.launch {
                delay(ACCEPT_PAUSE_MILLIS)
                key.interestOps(SelectionKey.OP_ACCEPT)
            }
        }
        val listener =
            EventLoop.ReadinessListener {
                while (true) {
                    if (!admit()) return@ReadinessListener pauseAccepting()
                    val channel =
                        try {
                            server.accept() ?: break
                        } catch (_: IOException) {
                            return@ReadinessListener pauseAccepting()
                        }
                    // Registered immediately, so that it is counted before the next connection is admitted.
                    Connection.accept(loop, scope, channel, limit, newHandler)
                }
            }
        key = server.register(loop.selector, SelectionKey.OP_ACCEPT, listener)
    }
}
