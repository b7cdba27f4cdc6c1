package burlridge.worker

import com.fasterxml.jackson.core.JsonFactory
import com.fasterxml.jackson.core.JsonGenerator
import java.io.StringWriter

/** What a worker is told to do with one attempt of a task. Every command can be repeated, but for a start after a removal. */
internal sealed interface WorkerCommand {
    val task: String
    val attempt: Int

    /** Begin the attempt, unless the worker has it already in any state. */
    data class Start(
        override val task: String,
        override val attempt: Int,
    ) : WorkerCommand

    /** End the attempt; it may save its progress if [graceSeconds] is at least as long as that takes. */
    data class Stop(
        override val task: String,
        override val attempt: Int,
        val graceSeconds: Double,
    ) : WorkerCommand

    /** Leave the ended attempt out of later reports. */
    data class Remove(
        override val task: String,
        override val attempt: Int,
    ) : WorkerCommand
}

/** The JSON of commands, as the answer to a report and as the body of a request to a worker. */
internal object WorkerCommandCodec {
    private val factory = JsonFactory()

    /** The answer to a report: the fencing token and what is to be done. */
    fun answer(
        token: Long,
        commands: List<WorkerCommand>,
    ): String =
        // Most answers carry nothing but the token.
        if (commands.isEmpty()) {
            "{\"baton\":$token,\"orders\":[]}"
        } else {
            write {
                it.writeNumberField("baton", token)
                it.commands(commands)
            }
        }

    /** A request to a worker, valid for [agentEpoch] of it alone. */
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
