package burlridge.peer

import burlridge.core.Effect
import burlridge.message.PeerMessage
import burlridge.net.Connection
import burlridge.net.ConnectionListener
import burlridge.net.EventLoop
import burlridge.net.ReceiveBudget
import burlridge.net.ReceiveLimit
import burlridge.net.ReceiveRefusal
import burlridge.net.UnfinishedMessages
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

/**
 * Sends and receives messages over one outgoing connection to each other member, and the connections that they open to this one. A frame is
 * a length of four bytes, big-endian, and a protobuf message. Messages to a member that is down or slow are dropped, the oldest first.
 */
internal class PeerTransport(
    private val settings: Settings,
    private val loop: EventLoop,
    private val onUnknownMessage: () -> Unit,
    private val onMessage: (PeerMessage) -> Unit,
) {
    private class QueuedMessage(
        val message: PeerMessage,
        val sendDeadline: Double,
    )

    private val receiveLimit = ReceiveLimit(ReceiveBudget.ofHeap(), MAX_RECEIVED_BYTES)
    private val unfinished = UnfinishedMessages(FRAME_TIMEOUT_NANOS)

    /** If a zone is partitioned from the leader, another member relays all of its heartbeats, so the queue grows with the fleet. */
    private val queueCapacity = maxOf(MIN_QUEUE_CAPACITY, (settings.processLimits.maxConnections * QUEUE_SLOTS_PER_CONNECTION).toInt())
    private val queues = settings.others.associate { it.member to Channel<QueuedMessage>(queueCapacity, BufferOverflow.DROP_OLDEST) }

    /** Queues [message], which is dropped after [sendDeadline] (monotonic, in seconds). Ignored if [member] is no other member. */
    fun send(
        member: String,
        message: PeerMessage,
        sendDeadline: Double = Effect.NO_DEADLINE,
    ) {
        queues[member]?.trySend(QueuedMessage(message, sendDeadline))
    }

    /** Connects to all other members and accepts their connections, for as long as [scope] is active. */
    fun start(scope: CoroutineScope) {
        settings.others.forEach { peer ->
            scope.launch { keepConnected(scope, peer.endpoint, queues.getValue(peer.member)) }
        }
        ConnectionListener.listen(loop, scope, settings.peerBind, BACKLOG, receiveLimit, { true }) { FrameReader() }
    }

    /** Closes the connections whose frame has been incomplete for longer than its sender waits. */
    fun closeUnfinished() = unfinished.removeExpired(System.nanoTime()).forEach { it.refuse(ReceiveRefusal.TOO_SLOW) }

    /** Reads the frames of one accepted connection. */
    private inner class FrameReader : Connection.Handler {
        override fun tryHandle(
            connection: Connection,
            bytes: ByteArray,
        ): Boolean = false

        override suspend fun serve(connection: Connection) {
            while (true) {
                val size = connection.input.readInt()
                if (size !in 1..MAX_FRAME_BYTES) break
                val frame = connection.input.readByteArray(size)
                connection.messageCompleted()
                unfinished.onEnded(connection)
                // A message type of a later version does not end the connection: the frame is complete, and the next may be supported.
                PeerMessage.decodeOrNull(frame)?.let(onMessage) ?: onUnknownMessage()
            }
        }

        override fun onPartRead(connection: Connection) = unfinished.onPartRead(connection, System.nanoTime())

        override fun onClosed(connection: Connection) = unfinished.onEnded(connection)
    }

    /** Connects to one member, sends its queue, and reconnects whenever the connection ends. */
    private suspend fun keepConnected(
        scope: CoroutineScope,
        target: Endpoint,
        queue: Channel<QueuedMessage>,
    ) {
        while (true) {
            try {
                connectAndSend(scope, target, queue)
            } catch (_: TimeoutCancellationException) {
                // The member does not respond: reconnect.
            } catch (e: CancellationException) {
                throw e
            } catch (_: Exception) {
                // The member is down, or its name does not resolve. Whatever the cause, the only remedy is another attempt.
            }
            // Messages queued for the old connection are stale.
            while (queue.tryReceive().isSuccess) Unit
            delay(RECONNECT_DELAY_MILLIS)
        }
    }

    private suspend fun connectAndSend(
        scope: CoroutineScope,
        target: Endpoint,
        queue: Channel<QueuedMessage>,
    ) {
        val connection = withTimeout(CONNECT_TIMEOUT_MILLIS) { Connection.connect(loop, scope, target, receiveLimit) }
        try {
            while (!connection.isClosed) {
                val frames = nextFrames(queue)
                if (frames.size > 0) withTimeout(WRITE_TIMEOUT_MILLIS) { connection.write(frames.readByteArray()) }
            }
        } finally {
            connection.close()
        }
    }

    /** Waits for a message and combines it with those queued behind it into one write; empty if all are past their deadline. */
    private suspend fun nextFrames(queue: Channel<QueuedMessage>): Buffer {
        val frames = Buffer()
        var next = queue.receive()
        while (true) {
            if (next.sendDeadline >= System.nanoTime() / NANOS_PER_SECOND) {
                val bytes = PeerMessage.encode(next.message)
                frames.writeInt(bytes.size)
                frames.write(bytes)
            }
            if (frames.size >= MAX_WRITE_BYTES) break
            next = queue.tryReceive().getOrNull() ?: break
        }
        return frames
    }

    private companion object {
        const val BACKLOG = 64
        const val MIN_QUEUE_CAPACITY = 256
        const val QUEUE_SLOTS_PER_CONNECTION = 0.25
        const val NANOS_PER_SECOND = 1e9
        const val CONNECT_TIMEOUT_MILLIS = 1_000L
        const val WRITE_TIMEOUT_MILLIS = 2_000L
        const val RECONNECT_DELAY_MILLIS = 300L
        const val MAX_FRAME_BYTES = 256 * 1024

        /** A frame and the reads around it. */
        const val MAX_RECEIVED_BYTES = 2 * MAX_FRAME_BYTES
        const val FRAME_TIMEOUT_NANOS = 5_000_000_000L

        /** No further message is added to a write of at least this size. */
        const val MAX_WRITE_BYTES = 64 * 1024
    }
}
