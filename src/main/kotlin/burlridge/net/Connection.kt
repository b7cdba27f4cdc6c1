package burlridge.net

import burlridge.settings.Endpoint
import io.ktor.utils.io.ByteChannel
import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.InternalAPI
import io.ktor.utils.io.availableForRead
import io.ktor.utils.io.cancel
import io.ktor.utils.io.writeFully
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.CoroutineStart
import kotlinx.coroutines.launch
import kotlinx.coroutines.suspendCancellableCoroutine
import java.io.IOException
import java.net.InetSocketAddress
import java.net.StandardSocketOptions
import java.nio.ByteBuffer
import java.nio.channels.CancelledKeyException
import java.nio.channels.SelectionKey
import java.nio.channels.SocketChannel
import kotlin.coroutines.Continuation
import kotlin.coroutines.resume

/**
 * A TCP connection on the event loop. As long as its handler handles every read as one complete request, callbacks read it, without a
 * coroutine or a channel; that is all that a worker's connection ever needs. From the first read that needs a parser on, a coroutine copies
 * what it reads to [input], for Ktor's parsers.
 */
internal class Connection private constructor(
    private val loop: EventLoop,
    private val scope: CoroutineScope,
    private val channel: SocketChannel,
    limit: ReceiveLimit,
) : EventLoop.ReadinessListener {
    /** Serves an accepted connection. */
    internal interface Handler {
        /** Handles [bytes] if they are one complete request that needs no parser; returns false if they must be read from [input]. */
        fun tryHandle(
            connection: Connection,
            bytes: ByteArray,
        ): Boolean

        /** Serves the connection from [input] until it ends; called once, on the first read that [tryHandle] has not handled. */
        suspend fun serve(connection: Connection)

        /** Called when bytes of a message have been read that may not be complete yet. */
        fun onPartRead(connection: Connection) = Unit

        /** Called when a message cannot be received to its end; the connection is to be closed after a last answer. */
        fun onRefused(
            connection: Connection,
            refusal: ReceiveRefusal,
        ) = connection.close()

        /** Called when the connection has been closed, for whatever reason. */
        fun onClosed(connection: Connection)
    }

    private val key: SelectionKey = channel.register(loop.selector, 0, this)
    private val incoming by lazy(LazyThreadSafetyMode.NONE) { ByteChannel() }

    /** Received data that the handler did not handle without a parser; on an outgoing connection, all received data. */
    val input: ByteReadChannel get() = incoming

    /** The first bytes of the request that is being parsed, as received in one read; null between requests. */
    var requestBytes: ByteArray? = null
        private set

    private val heldBytes = HeldBytes(limit)
    private var handler: Handler? = null

    /** Whether a coroutine reads the socket, instead of callbacks. */
    private var isReadByCoroutine = false

    /** Whether a read is already queued, so that a socket that stays readable is not queued twice. */
    private var isReadQueued = false
    private val queuedRead =
        Runnable {
            isReadQueued = false
            if (!isReadByCoroutine && channel.isOpen) readOrWait()
        }
    private var readWaiter: Continuation<Unit>? = null
    private var writeWaiter: Continuation<Unit>? = null
    private var responseWaiter: Continuation<Unit>? = null

    /** Whether a complete request has not been answered yet. Until then at most one more read is made. */
    private var isAwaitingResponse = false

    /** Whether the connection can no longer be used. */
    val isClosed: Boolean get() = !channel.isOpen || (isReadByCoroutine && incoming.isClosedForRead)

    override fun onReady(operations: Int) {
        if (operations and WRITE != 0) {
            key.interestOpsAnd(WRITE.inv())
            writeWaiter?.also { writeWaiter = null }?.resume(Unit)
        }
        if (operations and READ == 0) return
        if (isReadByCoroutine) {
            key.interestOpsAnd(READ.inv())
            readWaiter?.also { readWaiter = null }?.resume(Unit)
        } else if (!isReadQueued) {
            isReadQueued = true
            loop.enqueue(queuedRead)
        }
    }

    /** Reads the next request, or leaves it in the socket until the last one is answered, so that responses are sent in order. */
    private fun readOrWait() {
        if (isAwaitingResponse) key.interestOpsAnd(READ.inv()) else readRequest()
    }

    private fun handleWithoutParser(bytes: ByteArray): Boolean {
        isAwaitingResponse = true
        val isHandled = handler?.tryHandle(this, bytes) == true
        if (!isHandled) isAwaitingResponse = false
        return isHandled
    }

    /** Called when a request has been answered: the next one may be read. */
    fun onResponse() {
        isAwaitingResponse = false
        if (!channel.isOpen) return
        if (isReadByCoroutine) responseWaiter?.also { responseWaiter = null }?.resume(Unit) else key.interestOpsOr(READ)
    }

    /** Reads once outside any coroutine. If that is not a complete request that needs no parser, coroutines read and serve from then on. */
    private fun readRequest() {
        val bytes =
            try {
                read()
            } catch (_: IOException) {
                null
            } ?: return close()
        if (handleWithoutParser(bytes)) return
        if (!hold(bytes)) return
        isReadByCoroutine = true
        key.interestOpsAnd(READ.inv())
        requestBytes = bytes
        scope.launch { copyToInput(bytes) }
        scope.launch(start = CoroutineStart.UNDISPATCHED) { serve() }
    }

    /** Counts [bytes] as part of a message that is not complete; returns false if the connection is refused for it. */
    private fun hold(bytes: ByteArray): Boolean {
        val refusal = heldBytes.add(bytes.size)
        if (refusal == null) handler?.onPartRead(this) else refuse(refusal)
        return refusal == null
    }

    /** Ends the reception of a message that is not complete. */
    fun refuse(refusal: ReceiveRefusal) {
        val refusedBy = handler
        if (refusedBy == null) close() else refusedBy.onRefused(this, refusal)
    }

    private suspend fun serve() {
        try {
            handler?.serve(this)
        } catch (e: CancellationException) {
            throw e
        } catch (_: Exception) {
            // Ktor's parser throws exceptions of several types on malformed input: the connection is closed on any of them.
        } finally {
            close()
        }
    }

    /** Returns the bytes that have arrived; null at the end of the stream. */
    private fun read(): ByteArray? {
        loop.readBuffer.clear()
        val size = channel.read(loop.readBuffer)
        if (size < 0) return null
        return ByteArray(size).also { loop.readBuffer.flip().get(it) }
    }

    private suspend fun awaitReadable() =
        suspendCancellableCoroutine {
            readWaiter = it
            addInterest(SelectionKey.OP_READ)
        }

    private suspend fun awaitWritable(operation: Int) =
        suspendCancellableCoroutine {
            writeWaiter = it
            addInterest(operation)
        }

    private fun addInterest(operation: Int) {
        try {
            key.interestOpsOr(operation)
        } catch (e: CancelledKeyException) {
            throw IOException("the connection is closed", e)
        }
    }

    /** Writes all of [bytes]. Throws [IOException] if the connection is closed. */
    suspend fun write(bytes: ByteArray) {
        val unwritten = ByteBuffer.wrap(bytes)
        channel.write(unwritten)
        while (unwritten.hasRemaining()) {
            awaitWritable(SelectionKey.OP_WRITE)
            channel.write(unwritten)
        }
    }

    /** Called when a request has been read from [input] to its end. */
    fun onRequestRead() {
        isAwaitingResponse = true
    }

    /** Called when the message that was being read is complete: the next bytes received begin another one. */
    @OptIn(InternalAPI::class)
    fun messageCompleted() {
        requestBytes = null
        heldBytes.onMessageCompleted(hasUnread = incoming.closedCause == null && incoming.availableForRead > 0)
    }

    /** Writes as much as the socket accepts without waiting; returns the rest of [bytes], or null if all was written. */
    fun tryWrite(bytes: ByteArray): ByteArray? {
        val unwritten = ByteBuffer.wrap(bytes)
        channel.write(unwritten)
        return if (unwritten.hasRemaining()) bytes.copyOfRange(unwritten.position(), bytes.size) else null
    }

    private suspend fun copyToInput(first: ByteArray?) {
        try {
            first?.let { writeToInput(it) }
            while (true) {
                if (isAwaitingResponse) suspendCancellableCoroutine { responseWaiter = it }
                awaitReadable()
                val bytes = read() ?: break
                val isBetweenRequests = requestBytes == null
                if (isBetweenRequests && handleWithoutParser(bytes)) continue
                if (!hold(bytes)) break
                if (isBetweenRequests) requestBytes = bytes
                writeToInput(bytes)
            }
            incoming.flushAndClose()
        } catch (e: CancellationException) {
            throw e
        } catch (_: IOException) {
            // A reset by the peer is treated like the end of the stream.
            incoming.cancel()
        }
    }

    private suspend fun writeToInput(bytes: ByteArray) {
        incoming.writeFully(bytes)
        incoming.flush()
    }

    /** Closes the connection and notifies its handler; may be called repeatedly. */
    fun close() {
        channel.close()
        heldBytes.releaseAll()
        readWaiter?.also { readWaiter = null }?.resume(Unit)
        writeWaiter?.also { writeWaiter = null }?.resume(Unit)
        responseWaiter?.also { responseWaiter = null }?.resume(Unit)
        handler?.also { handler = null }?.onClosed(this)
    }

    internal companion object {
        private const val READ = SelectionKey.OP_READ
        private const val WRITE = SelectionKey.OP_WRITE or SelectionKey.OP_CONNECT

        /** Connects to [target]. Throws [IOException] if the connection fails. */
        suspend fun connect(
            loop: EventLoop,
            scope: CoroutineScope,
            target: Endpoint,
            limit: ReceiveLimit,
        ): Connection {
            val channel = SocketChannel.open()
            try {
                channel.configureBlocking(false)
                val connection = Connection(loop, scope, channel, limit)
                if (!channel.connect(InetSocketAddress(target.host, target.port))) {
                    connection.awaitWritable(SelectionKey.OP_CONNECT)
                    channel.finishConnect()
                }
                channel.setOption(StandardSocketOptions.TCP_NODELAY, true)
                connection.isReadByCoroutine = true
                scope.launch { connection.copyToInput(null) }
                return connection
            } catch (unexpected: Throwable) {
                // The socket must not leak on any failure, including cancellation.
                channel.close()
                throw unexpected
            }
        }

        /** Serves the accepted [channel] with the handler that [newHandler] returns; closes it if it cannot be set up. */
        fun accept(
            loop: EventLoop,
            scope: CoroutineScope,
            channel: SocketChannel,
            limit: ReceiveLimit,
            newHandler: (Connection) -> Handler,
        ) {
            try {
                channel.configureBlocking(false)
                channel.setOption(StandardSocketOptions.TCP_NODELAY, true)
                val connection = Connection(loop, scope, channel, limit)
                connection.handler = newHandler(connection)
                connection.key.interestOps(READ)
            } catch (_: IOException) {
                // The peer closed the connection before it could be served.
                channel.close()
            }
        }
    }
}
