package burlridge.settings

/** Another controller of the deployment. */
internal data class PeerMember(
    val member: String,
    val zone: String,
    val endpoint: Endpoint,
)

/** A team with its guarantee and its limit (quota); 0 means none. */
internal data class Team(
    val name: String,
    val cpus: Double,
    val cpusMax: Double,
    val gpus: Double,
    val gpusMax: Double,
)

/** A service-level objective of the deployment; fields that its [kind] does not have are null. */
internal data class ServiceLevelObjective(
    /** `wait`, `finished`, `deadline` and others, in the words of the settings file. */
    val kind: String,
    val jobClass: String?,
    val withinSeconds: Double?,
    /** Share of jobs or tasks that should meet it, from 0 to 1. */
    val share: Double?,
)

/** Intervals that the platform sets for workers. */
internal data class WorkerTimings(
    /** Interval between two heartbeats. */
    val reportSeconds: Double,
    /** A worker kills its tasks when no heartbeat was answered for so long. */
    val leaseSeconds: Double,
    /** Within this time after a confirmed cancellation all tasks of the job must be gone. */
    val cancelSeconds: Double,
    /** Null where the platform knows no gangs. */
    val gang: GangTimings? = null,
)

/** Intervals that the platform sets for gangs. */
internal data class GangTimings(
    /** How long a task waits for the others of its attempt. */
    val waitSeconds: Double,
    /** Within which the tasks of a gang notice a loss, and must all be told of a stop. */
    val peerSeconds: Double,
)

/**
 * Limits of the key-value store, shared by all controllers. It may lower them at any moment, without notice, to those announced in
 * `state.next`; the lower of both binds from the first write.
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
    /** Age of what its machine list shows, in the usual case. */
    val listLagSeconds: Double,
)

/** Resources of a controller's process. */
internal data class ProcessLimits(
    /** Share of one core. */
    val cpuShare: Double,
    val memoryMb: Double,
    val maxConnections: Int,
)

/** The platform's settings file of one controller, validated, with the operators' own settings. */
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
    val operator: OperatorSettings = OperatorSettings(),
) {
    /** Number of controllers in the deployment, this one included. */
    val controllerCount: Int get() = others.size + 1

    internal companion object {
        /** Parses and validates the platform's settings file. Throws [InvalidSettingsException]. */
        fun parse(text: String): Settings = SettingsParser.parse(text)
    }
}
