package burlridge.transcript

import burlridge.simulation.SimulatedCluster

/** A simulated cluster with a load and failures at set times, played until [endsAt]. */
internal class TranscriptSchedule(
    val name: String,
    private val endsAt: Double,
    private val cluster: () -> SimulatedCluster,
    private val prepare: SimulatedCluster.() -> Unit,
) {
    fun play(): Transcript {
        val prepared = cluster()
        val transcript = Transcript(prepared)
        prepared.prepare()
        prepared.run(endsAt)
        return transcript
    }

    override fun toString(): String = name
}
