package burlridge.net

import burlridge.settings.Endpoint
import io.ktor.utils.io.ByteChannel
import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.cancel
import io.ktor.utils.io.writeFully
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.CoroutineStart
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.suspendCancellableCoroutine
import java.io.IOException
import java.net.InetSocketAddress
import java.net.StandardSocketOptions
import java.nio.ByteBuffer
import java.nio.channels.CancelledKeyException
import java.nio.channels.SelectionKey
import java.nio.channels.ServerSocketChannel
import java.nio.channels.SocketChannel
import kotlin.coroutines.Continuation
import kotlin.coroutines.resume

/**
 * A socket on the event loop. Until the first bytes that nobody takes whole it is read by callbacks alone, without a coroutine or a
 * channel: a worker's connection never needs more. From then on a coroutine reads it into [input], for Ktor's parsers.
 */
internal class Connection private constructor(
    private val loop: EventLoop,
    private val scope: CoroutineScope,
    private val channel: SocketChannel,
) : EventLoop.Ready {
    /** Who serves an accepted connection. */
    internal interface Handler {
        /** Takes [bytes] where they are one whole request that needs no parser; false where they have to be read from [input]. */
        fun takeWhole(
            connection: Connection,
            bytes: ByteArray,
        ): Boolean

        /** Serves the connection from [input] until it ends; called once, with the first bytes that were not taken whole. */
        suspend fun serve(connection: Connection)

        /** The connection has ended, however it did. */
        fun ended(connection: Connection)
    }

    private val key: SelectionKey = channel.register(loop.selector, 0, this)
    private val incoming by lazy(LazyThreadSafetyMode.NONE) { ByteChannel() }
    val input: ByteReadChannel get() = incoming

    /** What began the request that is being read, as it came; null between requests. */
    var opening: ByteArray? = null
        private set

    private var handler: Handler? = null

    /** Whether a coroutine reads the socket. */
    private var pumping = false

    /** Whether a read is due already, so that a socket that stays readable is not queued twice. */
    private var readQueued = false
    private val readTurn =
        Runnable {
            readQueued = false
            if (!pumping && channel.isOpen) readOrWait()
        }
    private var reading: Continuation<Unit>? = null
    private var writing: Continuation<Unit>? = null
    private var answer: Continuation<Unit>? = null

    /** Whether a request that was taken whole still waits for its answer. */
    private var unanswered = false
    val closed: Boolean get() = !channel.isOpen || (pumping && incoming.isClosedForRead)

    override fun ready(operations: Int) {
        if (operations and WRITE != 0) {
            key.interestOpsAnd(WRITE.inv())
            writing?.also { writing = null }?.resume(Unit)
        }
        if (operations and READ == 0) return
        if (pumping) {
            key.interestOpsAnd(READ.inv())
            reading?.also { reading = null }?.resume(Unit)
        } else if (!readQueued) {
            readQueued = true
            loop.enqueue(readTurn)
        }
    }

    /** What comes before the last request is answered waits in the socket, so that answers keep the order of their requests. */
    private fun readOrWait() {
        if (unanswered) key.interestOpsAnd(READ.inv()) else readWhole()
    }

    private fun takesWhole(bytes: ByteArray): Boolean {
        unanswered = true
        val taken = handler?.takeWhole(this, bytes) == true
        if (!taken) unanswered = false
        return taken
    }

    /** The request that was taken whole has been answered: the next may be read. */
    fun answered() {
        unanswered = false
        if (!channel.isOpen) return
        if (pumping) answer?.also { answer = null }?.resume(Unit) else key.interestOpsOr(READ)
    }

    /** One read outside any coroutine: a whole request that needs no parser, or the beginning of everything else. */
    private fun readWhole() {
        val bytes =
            try {
                read()
            } catch (_: IOException) {
                null
            } ?: return close()
        if (takesWhole(bytes)) return
        pumping = true
        key.interestOpsAnd(READ.inv())
        opening = bytes
        scope.launch { pump(bytes) }
        scope.launch(start = CoroutineStart.UNDISPATCHED) { serve() }
    }

    private suspend fun serve() {
        try {
            handler?.serve(this)
        } catch (e: CancellationException) {
            throw e
        } catch (_: Exception) {
            // The other side closed the connection or sent malformed data: the connection ends.
        } finally {
            close()
        }
    }

    /** What has arrived; null at the end of the stream. */
    private fun read(): ByteArray? {
        loop.buffer.clear()
        val size = channel.read(loop.buffer)
        if (size < 0) return null
        return ByteArray(size).also { loop.buffer.flip().get(it) }
    }

    private suspend fun readable() =
        suspendCancellableCoroutine {
            reading = it
            want(SelectionKey.OP_READ)
        }

    private suspend fun writable(operation: Int) =
        suspendCancellableCoroutine {
            writing = it
            want(operation)
        }

    private fun want(operation: Int) {
        try {
            key.interestOpsOr(operation)
        } catch (e: CancelledKeyException) {
            throw IOException("the connection is closed", e)
        }
    }

    suspend fun write(bytes: ByteArray) {
        val rest = ByteBuffer.wrap(bytes)
        channel.write(rest)
        while (rest.hasRemaining()) {
            writable(SelectionKey.OP_WRITE)
            channel.write(rest)
        }
    }

    /** The request that was being read has been answered: what comes next begins another. */
    fun between() {
        opening = null
    }

    /** Writes what goes out at once, and returns what is left of [bytes] where the other side reads slowly. */
    fun tryWrite(bytes: ByteArray): ByteArray? {
        val rest = ByteBuffer.wrap(bytes)
        channel.write(rest)
        return if (rest.hasRemaining()) bytes.copyOfRange(rest.position(), bytes.size) else null
    }

    private suspend fun pump(first: ByteArray?) {
        try {
            first?.let { pass(it) }
            while (true) {
                readable()
                val bytes = read() ?: break
                val between = opening == null
                if (between && takesWhole(bytes)) {
                    if (unanswered) suspendCancellableCoroutine { answer = it }
                    continue
                }
                if (between) opening = bytes
                pass(bytes)
            }
            incoming.flushAndClose()
        } catch (e: CancellationException) {
            throw e
        } catch (_: IOException) {
            // Reset by the other side: the same to us as its end.
            incoming.cancel()
        }
    }

    private suspend fun pass(bytes: ByteArray) {
        incoming.writeFully(bytes)
        incoming.flush()
    }

    fun close() {
        channel.close()
        reading?.also { reading = null }?.resume(Unit)
        writing?.also { writing = null }?.resume(Unit)
        answer?.also { answer = null }?.resume(Unit)
        handler?.also { handler = null }?.ended(this)
    }

    internal companion object {
        private const val READ = SelectionKey.OP_READ
        private const val WRITE = SelectionKey.OP_WRITE or SelectionKey.OP_CONNECT
        private const val FULL_MILLIS = 20L

        suspend fun connect(
            loop: EventLoop,
            scope: CoroutineScope,
            to: Endpoint,
        ): Connection {
            val channel = SocketChannel.open()
            try {
                channel.configureBlocking(false)
                val connection = Connection(loop, scope, channel)
                if (!channel.connect(InetSocketAddress(to.host, to.port))) {
                    connection.writable(SelectionKey.OP_CONNECT)
                    channel.finishConnect()
                }
                channel.setOption(StandardSocketOptions.TCP_NODELAY, true)
                connection.pumping = true
                scope.launch { connection.pump(null) }
                return connection
            } catch (e: Throwable) {
                channel.close()
                throw e
            }
        }

        /**
         * Accepts for as long as the loop runs. Where [admit] finds no place, or no socket can be had, accepting rests for a
         * moment: new connections wait in the backlog, and would otherwise wake the loop over and over.
         */
        fun listen(
            loop: EventLoop,
            scope: CoroutineScope,
            at: Endpoint,
            backlog: Int,
            admit: () -> Boolean,
            accepted: (Connection) -> Handler,
        ) {
            val server = ServerSocketChannel.open()
            server.setOption(StandardSocketOptions.SO_REUSEADDR, true)
            server.bind(InetSocketAddress(at.host, at.port), backlog)
            server.configureBlocking(false)
            lateinit var key: SelectionKey

            fun rest() {
                key.interestOps(0)
                scope.launch {
                    delay(FULL_MILLIS)
                    key.interestOps(SelectionKey.OP_ACCEPT)
                }
            }
            val ready =
                EventLoop.Ready {
                    while (true) {
                        if (!admit()) return@Ready rest()
                        val channel =
                            try {
                                server.accept() ?: break
                            } catch (_: IOException) {
                                return@Ready rest()
                            }
                        // At once, so that its place counts before the next is let in.
                        open(loop, scope, channel, accepted)
                    }
                }
            key = server.register(loop.selector, SelectionKey.OP_ACCEPT, ready)
        }

        private fun open(
            loop: EventLoop,
            scope: CoroutineScope,
            channel: SocketChannel,
            accepted: (Connection) -> Handler,
        ) {
            try {
                channel.configureBlocking(false)
                channel.setOption(StandardSocketOptions.TCP_NODELAY, true)
                val connection = Connection(loop, scope, channel)
                connection.handler = accepted(connection)
                connection.key.interestOps(READ)
            } catch (_: IOException) {
                // Closed before it could be served.
                channel.close()
            }
        }
    }
}
