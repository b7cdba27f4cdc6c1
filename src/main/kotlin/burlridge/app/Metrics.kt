package burlridge.app

import burlridge.core.CallOutcome
import burlridge.core.Effect
import burlridge.core.HttpResponse
import burlridge.core.Input
import io.micrometer.core.instrument.simple.SimpleMeterRegistry
import it.unimi.dsi.fastutil.objects.Object2LongOpenHashMap

/** Counts of what a controller does, logged now and then at debug level. */
internal class Metrics {
    private val counts = Object2LongOpenHashMap<String>()

    /** Made with the first line that is logged: its set-up would be a good part of a controller's start. */
    private val registry by lazy(LazyThreadSafetyMode.NONE) { SimpleMeterRegistry() }
    private val answers = HashMap<Int, String>()

    private fun count(name: String) {
        counts.addTo(name, 1)
    }

    fun stepped(input: Input) =
        count(
            when (input) {
                Input.Tick -> {
                    "in.tick"
                }

                Input.DrainRequested -> {
                    "in.drain"
                }

                is Input.Request -> {
                    "in.request"
                }

                is Input.CallCompleted -> {
                    when (input.outcome) {
                        is CallOutcome.Responded -> "in.call.answered"
                        CallOutcome.NotSent -> "in.call.not_sent"
                        CallOutcome.Unknown -> "in.call.unknown"
                    }
                }

                is Input.MessageReceived -> {
                    "in.peer"
                }
            },
        )

    fun carriedOut(effect: Effect) {
        when (effect) {
            is Effect.Respond -> count(answers.getOrPut(effect.status) { "out.answer.${effect.status}" })
            is Effect.HttpCall -> count("out.call")
            is Effect.SendToPeer -> count("out.peer")
            is Effect.Log, is Effect.Trace -> Unit
        }
    }

    fun unknownPeerMessage() = count("in.peer.unknown")

    /** One line for the log; [work] is what the core has counted. */
    fun line(work: Map<String, Long>): String {
        val all = counts + work.mapKeys { "work.${it.key}" }
        all.forEach { (name, amount) -> registry.counter(name).let { it.increment(amount - it.count()) } }
        return all.keys.sorted().joinToString(" ") { "$it=${registry.counter(it).count().toLong()}" }
    }
}
