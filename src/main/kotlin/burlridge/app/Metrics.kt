package burlridge.app

import burlridge.core.CallOutcome
import burlridge.core.Effect
import burlridge.core.Input
import io.micrometer.core.instrument.simple.SimpleMeterRegistry
import it.unimi.dsi.fastutil.objects.Object2LongOpenHashMap

/** Counts inputs and effects by kind; logged once a minute at debug level together with the core's counters. */
internal class Metrics {
    private val counts = Object2LongOpenHashMap<String>()

    /** Created lazily, for the first line that is logged: its initialization would take a large part of a controller's start-up time. */
    private val registry by lazy(LazyThreadSafetyMode.NONE) { SimpleMeterRegistry() }
    private val statusCounters = HashMap<Int, String>()

    private fun count(name: String) {
        counts.addTo(name, 1)
    }

    /** Counts [input], which the core is about to process. */
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

    /** Counts [effect], which is about to be executed. */
    fun onEffect(effect: Effect) {
        when (effect) {
            is Effect.Respond -> count(statusCounters.getOrPut(effect.status) { "out.answer.${effect.status}" })
            is Effect.HttpCall -> count("out.call")
            is Effect.SendToPeer -> count("out.peer")
            is Effect.Log, is Effect.Trace -> Unit
        }
    }

    /** Counts a message from another controller of a kind that this version does not support. */
    fun onUnknownPeerMessage() = count("in.peer.unknown")

    /** Returns all counters as `name=value`; [coreCounters] are those of the core. */
    fun line(coreCounters: Map<String, Long>): String {
        val all = counts + coreCounters.mapKeys { "work.${it.key}" }
        all.forEach { (name, amount) -> registry.counter(name).let { it.increment(amount - it.count()) } }
        return all.keys.sorted().joinToString(" ") { "$it=${registry.counter(it).count().toLong()}" }
    }
}
