package burlridge.app

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

/** A socket on the event loop: what arrives goes into [input], which Ktor's parsers read. */
internal class Connection private constructor(
    private val loop: EventLoop,
    private val channel: SocketChannel,
) : EventLoop.Ready {
    private val key: SelectionKey = channel.register(loop.selector, 0, this)
    private val incoming = ByteChannel()
    val input: ByteReadChannel get() = incoming

    /** What began the request that is being read, as it came; null between requests. */
    var opening: ByteArray? = null
        private set

    /** Takes a whole request as it comes, between two others; false where it has to be read from [input]. */
    var shortcut: ((ByteArray) -> Boolean)? = null
    private var reading: Continuation<Unit>? = null
    private var writing: Continuation<Unit>? = null
    val closed: Boolean get() = incoming.isClosedForRead || !channel.isOpen

    override fun ready(operations: Int) {
        key.interestOpsAnd(operations.inv())
        if (operations and READ != 0) reading?.also { reading = null }?.resume(Unit)
        if (operations and WRITE != 0) writing?.also { writing = null }?.resume(Unit)
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

    private fun start(scope: CoroutineScope) {
        channel.setOption(StandardSocketOptions.TCP_NODELAY, true)
        scope.launch { pump() }
    }

    private suspend fun pump() {
        try {
            while (true) {
                readable()
                loop.buffer.clear()
                val size = channel.read(loop.buffer)
                if (size < 0) break
                val bytes = ByteArray(size)
                loop.buffer.flip().get(bytes)
                val between = opening == null
                if (between && shortcut?.invoke(bytes) == true) continue
                if (between) opening = bytes
                incoming.writeFully(bytes)
                incoming.flush()
            }
            incoming.flushAndClose()
        } catch (e: CancellationException) {
            throw e
        } catch (_: IOException) {
            // Reset by the other side: the same to us as its end.
            incoming.cancel()
        }
    }

    fun close() {
        channel.close()
        reading?.also { reading = null }?.resume(Unit)
        writing?.also { writing = null }?.resume(Unit)
    }

    internal companion object {
        private const val READ = SelectionKey.OP_READ
        private const val WRITE = SelectionKey.OP_WRITE or SelectionKey.OP_CONNECT
        private const val FULL_MS = 20L

        suspend fun connect(
            loop: EventLoop,
            scope: CoroutineScope,
            to: Endpoint,
        ): Connection {
            val channel = SocketChannel.open()
            try {
                channel.configureBlocking(false)
                val connection = Connection(loop, channel)
                if (!channel.connect(InetSocketAddress(to.host, to.port))) {
                    connection.writable(SelectionKey.OP_CONNECT)
                    channel.finishConnect()
                }
                connection.start(scope)
                return connection
            } catch (e: Throwable) {
                channel.close()
                throw e
            }
        }

        /**
         * Accepts for as long as the loop runs. Where [admit] finds no place, or no socket can be had, accepting rests for a
         * moment: whoever knocks waits in the backlog, and would else wake the loop over and over.
         */
        fun listen(
            loop: EventLoop,
            scope: CoroutineScope,
            at: Endpoint,
            backlog: Int,
            admit: () -> Boolean,
            serve: suspend (Connection) -> Unit,
        ) {
            val server = ServerSocketChannel.open()
            server.setOption(StandardSocketOptions.SO_REUSEADDR, true)
            server.bind(InetSocketAddress(at.host, at.port), backlog)
            server.configureBlocking(false)
            lateinit var key: SelectionKey

            fun rest() {
                key.interestOps(0)
                scope.launch {
                    delay(FULL_MS)
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
                        channel.configureBlocking(false)
                        val connection = Connection(loop, channel)
                        connection.start(scope)
                        // At once, so that its place counts before the next is let in.
                        scope.launch(start = CoroutineStart.UNDISPATCHED) {
                            try {
                                serve(connection)
                            } catch (e: CancellationException) {
                                throw e
                            } catch (_: Exception) {
                                // The other side went away or sent rubbish; its connection ends with it.
                            } finally {
                                connection.close()
                            }
                        }
                    }
                }
            key = server.register(loop.selector, SelectionKey.OP_ACCEPT, ready)
        }
    }
}
