package burlridge.app

import burlridge.core.Answer
import burlridge.core.Effect
import burlridge.core.Input
import burlridge.core.Outcome
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

                Input.Drain -> {
                    "in.drain"
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
