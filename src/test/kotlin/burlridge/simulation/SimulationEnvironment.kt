package burlridge.simulation

import burlridge.job.JobSpec
import kotlin.random.Random

/** What the stand-ins for workers, gangs and the cloud need of the world they live in: a simulated one, or real processes on loopback. */
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

    /** What a worker calls a state or a cause; a later version may have words of its own. */
    val wireName: (String) -> String

    /** Whether what tasks save when they are stopped is lost. */
    val savesFail: Boolean get() = false

    /** How long [worker] takes to fetch the image of [spec]. */
    fun fetchSeconds(
        worker: Worker,
        spec: JobSpec,
    ): Double = random.nextDouble() * 2

    /** Where the worker of the cloud's machine [number] listens. */
    fun addressOf(number: Int): String = "10.1.0.$number:9000"

    /** A request from outside to the controller [name]; status 0 where no answer comes. */
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
