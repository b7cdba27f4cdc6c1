package burlridge.app

import io.micrometer.core.instrument.Counter
import io.micrometer.core.instrument.simple.SimpleMeterRegistry

/** Counts of what a controller does, logged now and then at debug level. */
internal class Metrics {
    private val registry = SimpleMeterRegistry()
    private val counters = HashMap<String, Counter>()
    private val answers = HashMap<Int, String>()

    private fun count(name: String) = counters.getOrPut(name) { registry.counter(name) }.increment()

    fun stepped(input: Input) =
        count(
            when (input) {
                Input.Tick -> {
                    "in.tick"
                }

                is Input.Request -> {
                    "in.request"
                }

                is Input.CallDone -> {
                    when (input.outcome) {
                        is Outcome.Answered -> "in.call.answered"
                        Outcome.NotSent -> "in.call.not_sent"
                        Outcome.Unknown -> "in.call.unknown"
                    }
                }

                is Input.FromPeer -> {
                    "in.peer"
                }
            },
        )

    fun carriedOut(effect: Effect) {
        when (effect) {
            is Effect.Answer -> count(answers.getOrPut(effect.status) { "out.answer.${effect.status}" })
            is Effect.Call -> count("out.call")
            is Effect.Send -> count("out.peer")
            is Effect.Log -> Unit
        }
    }

    fun unknownPeerMessage() = count("in.peer.unknown")

    /** One line for the log; [work] is what the core has counted. */
    fun line(work: Map<String, Long>): String {
        work.forEach { (name, amount) ->
            counters.getOrPut("work.$name") { registry.counter("work.$name") }.let { it.increment(amount - it.count()) }
        }
        return counters.entries.sortedBy { it.key }.joinToString(" ") { "${it.key}=${it.value.count().toLong()}" }
    }
}
