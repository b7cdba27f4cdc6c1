package burlridge.simulation

import burlridge.job.JobSpec
import kotlin.random.Random

/** What the fake workers, gangs and cloud need from their environment: a simulated cluster, or real processes on loopback. */
internal interface SimulationEnvironment {
    val clock: Clock
    val random: Random
    val members: List<String>
    val types: Map<String, MachineTypeSpec>
    val zones: List<String>
    val reportSeconds: Double
    val leaseSeconds: Double
    val gangWaitSeconds: Double
    val gangPeerSeconds: Double
    val invariants: InvariantChecker
    val gangBarrier: GangBarrier
    val cloud: CloudService

    /** Maps a task state or an exit cause to its name in heartbeats; a later version of the worker may use other names. */
    val wireName: (String) -> String

    /** Whether tasks fail to save their progress when they are stopped. */
    val savesFail: Boolean get() = false

    /** Returns the time that [worker] takes to fetch the image of [spec], in seconds. */
    fun fetchSeconds(
        worker: Worker,
        spec: JobSpec,
    ): Double = random.nextDouble() * 2

    /** Returns the address at which the worker on the cloud's machine [number] listens. */
    fun addressOf(number: Int): String = "10.1.0.$number:9000"

    /** Sends a request from outside the cluster to the controller [name]. The status is 0 if no response arrives. */
    fun request(
        from: String,
        name: String,
        method: String,
        path: String,
        body: String,
        timeoutSeconds: Double,
        onResult: (Int, String) -> Unit,
    )
}
