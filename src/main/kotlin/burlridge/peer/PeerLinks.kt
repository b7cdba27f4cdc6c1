package burlridge.peer

import burlridge.app.Endpoint
import burlridge.app.Settings
import io.ktor.network.selector.SelectorManager
import io.ktor.network.sockets.InetSocketAddress
import io.ktor.network.sockets.Socket
import io.ktor.network.sockets.aSocket
import io.ktor.network.sockets.openReadChannel
import io.ktor.network.sockets.openWriteChannel
import io.ktor.utils.io.readByteArray
import io.ktor.utils.io.readInt
import io.ktor.utils.io.writeFully
import io.ktor.utils.io.writeInt
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.TimeoutCancellationException
import kotlinx.coroutines.channels.BufferOverflow
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeout

/** One outgoing connection to each other member; frames are a length and a protobuf message. */
internal class PeerLinks(
    private val settings: Settings,
    private val selector: SelectorManager,
    private val receive: (PeerMessage) -> Unit,
) {
    private val queues = settings.others.associate { it.member to Channel<PeerMessage>(QUEUE, BufferOverflow.DROP_OLDEST) }

    fun send(
        member: String,
        message: PeerMessage,
    ) {
        queues[member]?.trySend(message)
    }

    fun start(scope: CoroutineScope) {
        settings.others.forEach { peer -> scope.launch { dial(peer.endpoint, queues.getValue(peer.member)) } }
        scope.launch { listen(scope) }
    }

    private suspend fun dial(
        to: Endpoint,
        queue: Channel<PeerMessage>,
    ) {
        while (true) {
            try {
                withTimeout(CONNECT_MS) { connect(to) }.use { socket -> deliver(socket, queue) }
            } catch (_: TimeoutCancellationException) {
                // A silent member: dial again.
            } catch (e: CancellationException) {
                throw e
            } catch (_: Exception) {
                // A member that is down: dial again.
            }
            // What waited meanwhile is old news.
            while (queue.tryReceive().isSuccess) Unit
            delay(REDIAL_MS)
        }
    }

    private suspend fun connect(to: Endpoint): Socket =
        aSocket(selector).tcp().connect(InetSocketAddress(to.host, to.port)) { noDelay = true }

    private suspend fun deliver(
        socket: Socket,
        queue: Channel<PeerMessage>,
    ) {
        val output = socket.openWriteChannel(autoFlush = false)
        val input = socket.openReadChannel()
        while (!input.isClosedForRead) {
            val bytes = PeerMessage.encode(queue.receive())
            withTimeout(WRITE_MS) {
                output.writeInt(bytes.size)
                output.writeFully(bytes)
                output.flush()
            }
        }
    }

    private suspend fun listen(scope: CoroutineScope) {
        val server = aSocket(selector).tcp().bind(InetSocketAddress(settings.peerBind.host, settings.peerBind.port)) { reuseAddress = true }
        while (true) {
            val socket = server.accept()
            scope.launch {
                try {
                    val input = socket.openReadChannel()
                    while (true) {
                        val size = input.readInt()
                        if (size !in 1..MOST_FRAME) break
                        receive(PeerMessage.decode(input.readByteArray(size)))
                    }
                } catch (e: CancellationException) {
                    throw e
                } catch (_: Exception) {
                    // Its sender dials again.
                } finally {
                    socket.close()
                }
            }
        }
    }

    private companion object {
        const val QUEUE = 256
        const val CONNECT_MS = 1_000L
        const val WRITE_MS = 2_000L
        const val REDIAL_MS = 300L
        const val MOST_FRAME = 256 * 1024
    }
}
