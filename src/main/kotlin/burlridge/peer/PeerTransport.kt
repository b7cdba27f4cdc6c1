package burlridge.peer

import burlridge.core.Effect
import burlridge.message.PeerMessage
import burlridge.net.Connection
import burlridge.net.EventLoop
import burlridge.settings.Endpoint
import burlridge.settings.Settings
import io.ktor.utils.io.readByteArray
import io.ktor.utils.io.readInt
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.TimeoutCancellationException
import kotlinx.coroutines.channels.BufferOverflow
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeout
import kotlinx.io.Buffer
import kotlinx.io.readByteArray

/** One outgoing connection to each other member; frames are a length and a protobuf message. */
internal class PeerTransport(
    private val settings: Settings,
    private val loop: EventLoop,
    private val unknown: () -> Unit,
    private val receive: (PeerMessage) -> Unit,
) {
    private class Outgoing(
        val message: PeerMessage,
        val sendDeadline: Double,
    )

    /** Where a zone is cut off from the leader another member passes on all of its reports, so the queue grows with the fleet. */
    private val queueLength = maxOf(LEAST_QUEUE, (settings.limits.maxConnections * QUEUE_PART).toInt())
    private val queues = settings.others.associate { it.member to Channel<Outgoing>(queueLength, BufferOverflow.DROP_OLDEST) }

    fun send(
        member: String,
        message: PeerMessage,
        sendDeadline: Double = Effect.NO_DEADLINE,
    ) {
        queues[member]?.trySend(Outgoing(message, sendDeadline))
    }

    fun start(scope: CoroutineScope) {
        settings.others.forEach { peer -> scope.launch { dial(scope, peer.endpoint, queues.getValue(peer.member)) } }
        Connection.listen(loop, scope, settings.peerBind, BACKLOG, { true }) { Frames() }
    }

    /** Reads the frames of one accepted connection. */
    private inner class Frames : Connection.Handler {
        override fun takeWhole(
            connection: Connection,
            bytes: ByteArray,
        ): Boolean = false

        override suspend fun serve(connection: Connection) {
            while (true) {
                val size = connection.input.readInt()
                if (size !in 1..MOST_FRAME) break
                // A kind of message that only a later version knows ends nothing: the frame is whole, and the next one may be known.
                PeerMessage.decodeOrNull(connection.input.readByteArray(size))?.let(receive) ?: unknown()
            }
        }

        override fun ended(connection: Connection) = Unit
    }

    private suspend fun dial(
        scope: CoroutineScope,
        to: Endpoint,
        queue: Channel<Outgoing>,
    ) {
        while (true) {
            try {
                val connection = withTimeout(CONNECT_MILLIS) { Connection.connect(loop, scope, to) }
                try {
                    deliver(connection, queue)
                } finally {
                    connection.close()
                }
            } catch (_: TimeoutCancellationException) {
                // A silent member: dial again.
            } catch (e: CancellationException) {
                throw e
            } catch (_: Exception) {
                // A member that is down: dial again.
            }
            // What waited meanwhile is old news.
            while (queue.tryReceive().isSuccess) Unit
            delay(REDIAL_MILLIS)
        }
    }

    private suspend fun deliver(
        connection: Connection,
        queue: Channel<Outgoing>,
    ) {
        while (!connection.closed) {
            val frames = Buffer()
            var next = queue.receive()
            // What has gathered goes out together.
            while (true) {
                if (next.sendDeadline >= System.nanoTime() / NANOS_PER_SECOND) {
                    val bytes = PeerMessage.encode(next.message)
                    frames.writeInt(bytes.size)
                    frames.write(bytes)
                }
                if (frames.size >= ENOUGH_AT_ONCE) break
                next = queue.tryReceive().getOrNull() ?: break
            }
            if (frames.size > 0) withTimeout(WRITE_MILLIS) { connection.write(frames.readByteArray()) }
        }
    }

    private companion object {
        const val BACKLOG = 64
        const val LEAST_QUEUE = 256
        const val QUEUE_PART = 0.25
        const val NANOS_PER_SECOND = 1e9
        const val CONNECT_MILLIS = 1_000L
        const val WRITE_MILLIS = 2_000L
        const val REDIAL_MILLIS = 300L
        const val MOST_FRAME = 256 * 1024
        const val ENOUGH_AT_ONCE = 64 * 1024
    }
}
