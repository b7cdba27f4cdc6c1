package burlridge.worker

import com.fasterxml.jackson.core.JsonFactory
import com.fasterxml.jackson.core.JsonGenerator
import java.io.StringWriter

/** A command to a worker about one attempt of a task. Every command is idempotent, except for a start after a removal. */
internal sealed interface WorkerCommand {
    val task: String
    val attempt: Int

    /** Begin the attempt, unless the worker has it already in any state. */
    data class Start(
        override val task: String,
        override val attempt: Int,
    ) : WorkerCommand

    /** End the attempt; it saves its progress if that takes no longer than [graceSeconds]. */
    data class Stop(
        override val task: String,
        override val attempt: Int,
        val graceSeconds: Double,
    ) : WorkerCommand

    /** Leave the ended attempt out of later heartbeats. */
    data class Remove(
        override val task: String,
        override val attempt: Int,
    ) : WorkerCommand
}

/** Encodes commands as JSON, in the answer to a heartbeat and in the body of a request to a worker. */
internal object WorkerCommandCodec {
    private val factory = JsonFactory()

    /** The answer to a heartbeat: the fencing token and [commands]. */
    fun answer(
        token: Long,
        commands: List<WorkerCommand>,
    ): String =
        // Most answers have no commands; they are written without a generator.
        if (commands.isEmpty()) {
            "{\"baton\":$token,\"orders\":[]}"
        } else {
            write {
                it.writeNumberField("baton", token)
                it.commands(commands)
            }
        }

    /** The body of a request to a worker, which executes it in [agentEpoch] only. */
    fun request(
        token: Long,
        agentEpoch: Long,
        commands: List<WorkerCommand>,
    ): String =
        write {
            it.writeNumberField("baton", token)
            it.writeNumberField("stint", agentEpoch)
            it.commands(commands)
        }

    private inline fun write(fields: (JsonGenerator) -> Unit): String {
        val text = StringWriter()
        factory.createGenerator(text).use {
            it.writeStartObject()
            fields(it)
            it.writeEndObject()
        }
        return text.toString()
    }

    private fun JsonGenerator.commands(commands: List<WorkerCommand>) {
        writeArrayFieldStart("orders")
        commands.forEach { command(it) }
        writeEndArray()
    }

    private fun JsonGenerator.command(command: WorkerCommand) {
        writeStartObject()
        writeStringField("verb", verbOf(command))
        writeStringField("piece", command.task)
        writeNumberField("try", command.attempt)
        if (command is WorkerCommand.Stop) writeNumberField("windDownS", command.graceSeconds)
        writeEndObject()
    }

    private fun verbOf(command: WorkerCommand): String =
        when (command) {
            is WorkerCommand.Start -> "run"
            is WorkerCommand.Stop -> "halt"
            is WorkerCommand.Remove -> "reap"
        }
}
