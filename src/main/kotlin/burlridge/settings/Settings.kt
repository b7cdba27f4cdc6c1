package burlridge.settings

/** Another controller of the deployment. */
internal data class PeerMember(
    val member: String,
    val zone: String,
    val endpoint: Endpoint,
)

/** A team with its guaranteed resources ([cpus], [gpus]) and its quota ([cpusMax], [gpusMax]); 0 means no guarantee or no limit. */
internal data class Team(
    val name: String,
    val cpus: Double,
    val cpusMax: Double,
    val gpus: Double,
    val gpusMax: Double,
)

/** A service-level objective of the deployment; fields that its [kind] does not use are null. */
internal data class ServiceLevelObjective(
    /** `wait`, `finished`, `deadline` or another kind, as named in the settings file. */
    val kind: String,
    val jobClass: String?,
    val withinSeconds: Double?,
    /** Share of jobs or tasks that should meet the objective, from 0 to 1. */
    val share: Double?,
)

/** Intervals and timeouts that the platform sets for workers. */
internal data class WorkerTimings(
    /** Interval between two heartbeats. */
    val reportSeconds: Double,
    /** The worker lease: a worker kills its tasks if none of its heartbeats has been answered for this time. */
    val leaseSeconds: Double,
    /** Time after a confirmed cancellation within which all tasks of the job must have ended. */
    val cancelSeconds: Double,
    /** Null if the platform does not support gangs. */
    val gang: GangTimings? = null,
)

/** Timeouts that the platform sets for gangs. */
internal data class GangTimings(
    /** How long a started task waits for the other tasks of its attempt. */
    val waitSeconds: Double,
    /** Time within which the tasks of a gang detect the loss of one, and within which a stop must reach all of them. */
    val peerSeconds: Double,
)

/**
 * Limits of the key-value store, shared by all controllers. The store may lower them at any time, without notice, to those announced in
 * `state.next`; therefore the lower value of each applies from the first write.
 */
internal data class StoreLimits(
    /** Requests per second. */
    val rps: Double,
    /** Changes per second. */
    val writeRps: Double,
    val valueBytes: Int,
    val changesPerTransaction: Int,
)

/** Limits of the cloud API. */
internal data class CloudLimits(
    /** Requests per second. */
    val rps: Double,
    /** Usual lag of the cloud's machine list behind the actual state, in seconds. */
    val listLagSeconds: Double,
)

/** Resource limits of a controller's process. */
internal data class ProcessLimits(
    /** CPU time that the process may use, as a share of one core. */
    val cpuShare: Double,
    val memoryMb: Double,
    val maxConnections: Int,
)

/** The validated settings of one controller: those of the platform's file and, in [operator], the operators' own. */
internal data class Settings(
    val member: String,
    val zone: String,
    val serveOn: Endpoint,
    val peerBind: Endpoint,
    val others: List<PeerMember>,
    val cloudEndpoint: Endpoint,
    val stateEndpoint: Endpoint,
    val teams: Map<String, Team>,
    val objectives: List<ServiceLevelObjective>,
    val workers: WorkerTimings,
    val storeLimits: StoreLimits,
    val cloudLimits: CloudLimits,
    val processLimits: ProcessLimits,
    /** How far the time of day of a controller may be from the true time; null if the platform does not tell. */
    val clockBoundMillis: Double? = null,
    val operator: OperatorSettings = OperatorSettings(),
) {
    /** Number of controllers in the deployment, this one included. */
    val controllerCount: Int get() = others.size + 1

    internal companion object {
        /** Parses and validates the platform's settings file. Throws [InvalidSettingsException]. */
        fun parse(text: String): Settings = SettingsParser.parse(text)
    }
}
