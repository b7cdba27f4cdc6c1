package burlridge.worker

import com.fasterxml.jackson.core.JsonFactory
import com.fasterxml.jackson.core.JsonGenerator
import java.io.StringWriter

/** A command to a worker for one attempt of a task. Every command is idempotent, except for a start after a removal. */
internal sealed interface WorkerCommand {
    val task: String
    val attempt: Int

    /** Starts the attempt, unless the worker already has it in any state. */
    data class Start(
        override val task: String,
        override val attempt: Int,
    ) : WorkerCommand

    /** Stops the attempt, which saves its progress first if that takes no longer than [graceSeconds]. */
    data class Stop(
        override val task: String,
        override val attempt: Int,
        val graceSeconds: Double,
    ) : WorkerCommand

    /** Removes the ended attempt from later heartbeats. */
    data class Remove(
        override val task: String,
        override val attempt: Int,
    ) : WorkerCommand
}

/** Encodes commands as JSON for the response to a heartbeat and for the body of a request to a worker. */
internal object WorkerCommandCodec {
    private val factory = JsonFactory()

    /** Returns the response to a heartbeat: the fencing token and [commands]. */
    fun response(
        token: Long,
        commands: List<WorkerCommand>,
    ): String =
        // Most responses have no commands and are written without a JSON generator.
        if (commands.isEmpty()) {
            "{\"baton\":$token,\"orders\":[]}"
        } else {
            write {
                it.writeNumberField("baton", token)
                it.writeCommands(commands)
            }
        }

    /** Returns the body of a request to a worker, which executes it only in [agentEpoch]. */
    fun request(
        token: Long,
        agentEpoch: Long,
        commands: List<WorkerCommand>,
    ): String =
        write {
            it.writeNumberField("baton", token)
            it.writeNumberField("stint", agentEpoch)
            it.writeCommands(commands)
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

    private fun JsonGenerator.writeCommands(commands: List<WorkerCommand>) {
        writeArrayFieldStart("orders")
        commands.forEach { writeCommand(it) }
        writeEndArray()
    }

    private fun JsonGenerator.writeCommand(command: WorkerCommand) {
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
