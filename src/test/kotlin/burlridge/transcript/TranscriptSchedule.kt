package burlridge.transcript

import burlridge.simulation.SimulatedCluster

/** A simulated cluster with a load and failures at fixed times, which runs until [endSeconds] of virtual time. */
internal class TranscriptSchedule(
    val name: String,
    private val endSeconds: Double,
    private val newCluster: () -> SimulatedCluster,
    private val prepare: SimulatedCluster.() -> Unit,
) {
    fun run(): Transcript {
        val cluster = newCluster()
        val transcript = Transcript(cluster)
        cluster.prepare()
        cluster.run(endSeconds)
        return transcript
    }

    override fun toString(): String = name
}
