package burlridge.app

import burlridge.core.CallOutcome
import burlridge.core.Effect
import burlridge.core.Input
import io.micrometer.core.instrument.simple.SimpleMeterRegistry
import it.unimi.dsi.fastutil.objects.Object2LongOpenHashMap

/** Counts inputs and effects by kind; logged once a minute at debug level together with the core's counters. */
internal class Metrics {
    private val counts = Object2LongOpenHashMap<String>()

    /** Created with the first line that is logged: its set-up would take a good part of a controller's start. */
    private val registry by lazy(LazyThreadSafetyMode.NONE) { SimpleMeterRegistry() }
    private val statusCounters = HashMap<Int, String>()

    private fun count(name: String) {
        counts.addTo(name, 1)
    }

    /** The core is about to take a step for [input]. */
    fun onInput(input: Input) =
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

    /** [effect] is about to be carried out. */
    fun onEffect(effect: Effect) {
        when (effect) {
            is Effect.Respond -> count(statusCounters.getOrPut(effect.status) { "out.answer.${effect.status}" })
            is Effect.HttpCall -> count("out.call")
            is Effect.SendToPeer -> count("out.peer")
            is Effect.Log, is Effect.Trace -> Unit
        }
    }

    /** A message of a kind that this version does not know has come from another controller. */
    fun onUnknownPeerMessage() = count("in.peer.unknown")

    /** All counters as `name=value`; [coreCounters] are those of the core. */
    fun line(coreCounters: Map<String, Long>): String {
        val all = counts + coreCounters.mapKeys { "work.${it.key}" }
        all.forEach { (name, amount) -> registry.counter(name).let { it.increment(amount - it.count()) } }
        return all.keys.sorted().joinToString(" ") { "$it=${registry.counter(it).count().toLong()}" }
    }
}
