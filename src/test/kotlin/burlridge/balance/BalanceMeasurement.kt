package burlridge.balance

import burlridge.job.JobSpec
import burlridge.settings.BalanceSettings
import burlridge.settings.MovePermission
import burlridge.settings.OperatorSettings
import burlridge.simulation.MachineTypeSpec
import burlridge.simulation.SimulatedCluster
import burlridge.simulation.WorkerTimes
import burlridge.simulation.job
import burlridge.simulation.submit
import java.io.File
import kotlin.math.sqrt
import kotlin.system.exitProcess

/** The features that are switched on in a run of the measurement. */
internal enum class Variant(
    val label: String,
    val settings: BalanceSettings?,
) {
    OFF("off", null),
    ON("on", BalanceSettings()),
    WITHOUT_MOVES("on, no moves", BalanceSettings(defaultMovePermission = MovePermission.NEVER)),
    WITHOUT_LOAD_TRACKING("on, no picture of load", BalanceSettings(hotFactor = 0.0)),
    WITHOUT_SLOW_START("on, no slow start", BalanceSettings(coldReports = 0.0)),
}

/** Results of one run of the burst; waiting times in seconds, by job class. */
internal class BurstOutcome(
    val variant: Variant,
    val machines: Int,
    val largestToMedian: Double,
    val variation: Double,
    val waits: Map<String, List<Double>>,
    val fetchedSeconds: Double,
    val moves: Int,
    val lostSeconds: Double,
    /** Time until the last task of the sweep ended. */
    val sweepSeconds: Double,
    val violations: List<String>,
)

/** Results of one drain of a third of the machines. */
internal class DrainOutcome(
    val machines: Int,
    val leaderKilled: Boolean,
    val drainedSeconds: Double,
    val waits: List<Double>,
    val moves: Int,
    val violations: List<String>,
)

internal fun List<Double>.quantile(fraction: Double): Double =
    sorted().let {
        if (it.isEmpty()) Double.NaN else it[((it.size - 1) * fraction).toInt()]
    }

/**
 * Measures a skewed burst and a drain of a third of the fleet with simulated workers in virtual time; a program that CI does not run.
 * `docs/balance.md` has the command and the results. Arguments: the report file, the number of seeds, and the numbers of machines.
 */
internal class BalanceMeasurement(
    private val machines: Int,
) {
    private var fetchedSeconds = 0.0
    private val submittedAt = HashMap<String, Double>()

    private fun cluster(
        seed: Int,
        settings: BalanceSettings?,
    ): SimulatedCluster {
        val types = mapOf("small" to MachineTypeSpec(CPUS, CPUS * 4, (machines + POOLS - 1) / POOLS))
        val cluster =
            SimulatedCluster(
                seed,
                types = types,
                guaranteedCpus = 0.0,
                times = WorkerTimes(),
                writeRps = WRITE_RPS,
                operator = OperatorSettings(balance = settings),
            )
        // A tenth of the machines join in the middle of the burst.
        cluster.cloud.bootSeconds =
            {
                if (cluster.random.nextInt(TENTH) ==
                    0
                ) {
                    LATE_BOOT_SECONDS + cluster.random.nextDouble() * 3
                } else {
                    3 + cluster.random.nextDouble() * 4
                }
            }
        fetchedSeconds = 0.0
        cluster.fetchTime = { worker, spec ->
            val fetchSeconds = if (spec.image in worker.images) 0.0 else spec.imageGb * (0.7 + cluster.random.nextDouble() * 0.6)
            fetchedSeconds += fetchSeconds
            fetchSeconds
        }
        return cluster
    }

    private fun SimulatedCluster.sweepJob(
        number: Int,
        tasks: Int,
        runSeconds: Double,
    ): JobSpec =
        job(
            number,
            tasks,
            runSeconds = runSeconds,
            jobClass = SWEEP,
        ).copy(image = "img-sweep", imageGb = 4.0, checkpointIntervalSeconds = 10.0, saveSeconds = 1.0)

    private fun SimulatedCluster.previews(
        from: Double,
        seconds: Int,
        perSecond: Int,
    ): List<JobSpec> =
        (0 until seconds * perSecond).map { i ->
            val spec = job(1000 + i, 4, runSeconds = 8.0, jobClass = PREVIEW, team = "crew-y").copy(image = "img-preview", imageGb = 2.0)
            submitAt(from + i / perSecond.toDouble(), spec)
            spec
        }

    fun burst(
        seed: Int,
        variant: Variant,
    ): BurstOutcome {
        val cluster = cluster(seed, variant.settings)
        // A tenth of the fleet has fetched the image already, and a tenth of the machines is slow.
        val warmUp = cluster.sweepJob(1, machines / TENTH * CPUS.toInt(), runSeconds = 6.0)
        cluster.clock.after(12.0) { cluster.submit(warmUp) }
        cluster.run(14.0)
        val names = cluster.cloud.machineIds()
        names.filterIndexed { i, _ -> i % TENTH == 3 }.forEach { cluster.cloud.worker(it)?.slowness = SLOWNESS }
        // Ten jobs of one team with tasks for half of the capacity of the fleet, then previews for a minute and a half.
        val tasksPerJob = (machines * CPUS * SWEEP_SHARE / SWEEP_JOBS).toInt()
        val sweep = (0 until SWEEP_JOBS).map { cluster.sweepJob(2 + it, tasksPerJob, runSeconds = 20.0 + 5 * it) }
        sweep.forEachIndexed { i, job -> cluster.submitAt(BURST_AT + i, job) }
        val previews = cluster.previews(BURST_AT + 5, 90, maxOf(1, machines / 50))
        cluster.run(BURST_AT + 12.0)
        val taskCounts = taskCountsByMachine(cluster)
        cluster.run(BURST_AT + 400.0)
        val all = sweep + previews
        return BurstOutcome(
            variant,
            machines,
            taskCounts.max() / taskCounts.quantile(0.5).coerceAtLeast(1.0),
            coefficientOfVariation(taskCounts),
            mapOf(SWEEP to waits(cluster, sweep), PREVIEW to waits(cluster, previews)),
            fetchedSeconds,
            cluster.history.stops.size,
            cluster.invariants.lostSeconds,
            cluster.history.taskRuns
                .filter { run -> sweep.any { run.task.startsWith(it.id) } }
                .maxOf { it.until } - BURST_AT,
            violations(cluster, all),
        )
    }

    /** Returns the number of tasks on each machine that is up now. */
    private fun taskCountsByMachine(cluster: SimulatedCluster): List<Double> {
        val startedCount =
            cluster.history.starts
                .groupingBy { it.machine }
                .eachCount()
        val finishedCount =
            cluster.history.taskRuns
                .groupingBy { it.machine }
                .eachCount()
        return cluster.cloud
            .machineIds()
            .filter { (cluster.cloud.worker(it)?.term ?: 0) > 0 }
            .map { ((startedCount[it] ?: 0) - (finishedCount[it] ?: 0)).toDouble() }
    }

    private fun coefficientOfVariation(values: List<Double>): Double {
        val mean = values.average()
        return sqrt(values.sumOf { (it - mean) * (it - mean) } / values.size) / mean
    }

    private fun SimulatedCluster.submitAt(
        at: Double,
        job: JobSpec,
    ) {
        submittedAt[job.id] = at
        clock.after(at - clock.now) { submit(job) }
    }

    /** Returns the time from the submission of its job to its first start, for each task of [jobs]. */
    private fun waits(
        cluster: SimulatedCluster,
        jobs: List<JobSpec>,
    ): List<Double> {
        val jobIds = jobs.mapTo(HashSet()) { it.id }
        val firstStarts = HashMap<String, Double>()
        cluster.history.starts.forEach { firstStarts.putIfAbsent(it.task, it.at) }
        return firstStarts.filterKeys { it.substringBefore('/') in jobIds }.map { (task, at) ->
            at -
                submittedAt.getValue(task.substringBefore('/'))
        }
    }

    private fun violations(
        cluster: SimulatedCluster,
        jobs: List<JobSpec>,
    ): List<String> =
        cluster.invariants.violations + cluster.history.violations(jobs.map { it.id }) + cluster.history.drainViolations(SLACK_SECONDS)

    /** Drains every third machine by name, under load; if [killLeader], the leader is killed two seconds later. */
    fun drain(
        seed: Int,
        killLeader: Boolean,
    ): DrainOutcome {
        val cluster = cluster(seed, BalanceSettings(finishReports = 2.0))
        cluster.cloud.bootSeconds = { 3 + cluster.random.nextDouble() * 4 }
        val sweep =
            (0 until SWEEP_JOBS).map {
                cluster.sweepJob(
                    2 + it,
                    (machines * CPUS * DRAIN_LOAD / SWEEP_JOBS).toInt(),
                    runSeconds = 60.0,
                )
            }
        sweep.forEach { job -> cluster.clock.after(15.0) { cluster.submit(job) } }
        val previews = cluster.previews(30.0, 60, maxOf(1, machines / 100))
        cluster.run(30.0)
        val drainedMachines = cluster.cloud.machineIds().filterIndexed { i, _ -> i % 3 == 0 }
        drainedMachines.forEach { drainMachine(cluster, it) }
        if (killLeader) cluster.clock.after(2.0) { cluster.leader()?.let { cluster.crash(it, 5.0) } }
        while (cluster.clock.now < 400.0 && cluster.cloud.machineIds().any { it in drainedMachines }) cluster.run(cluster.clock.now + 0.5)
        val drainedSeconds = cluster.clock.now - 30.0
        cluster.run(400.0)
        return DrainOutcome(
            machines,
            killLeader,
            drainedSeconds,
            waits(cluster, previews),
            cluster.history.stops.size,
            violations(
                cluster,
                sweep + previews,
            ),
        )
    }

    private fun drainMachine(
        cluster: SimulatedCluster,
        machine: String,
    ) {
        cluster.sendRequest(cluster.anyMember(), "POST", MachineRequests.DRAIN, """{"machine":"$machine","force":true}""") { status, _ ->
            if (status == OK) cluster.expectDrained(machine) else cluster.clock.after(1.0) { drainMachine(cluster, machine) }
        }
    }

    private companion object {
        const val CPUS = 4.0
        const val POOLS = 4
        const val TENTH = 10
        const val SWEEP = "sweep"
        const val PREVIEW = "urgent"
        const val SWEEP_JOBS = 10
        const val SWEEP_SHARE = 0.5
        const val DRAIN_LOAD = 0.5
        const val SLOWNESS = 1.5
        const val BURST_AT = 20.0
        const val LATE_BOOT_SECONDS = 22.0
        const val WRITE_RPS = 100
        const val SLACK_SECONDS = 2.5
        const val OK = 200
    }
}

/** Prints [message] to standard error before [work], since a run with thousands of machines takes minutes. */
private fun <T> withProgressMessage(
    message: String,
    work: () -> T,
): T {
    System.err.println(message)
    return work()
}

internal fun main(args: Array<String>) {
    val seeds = 1..args[1].toInt()
    val sizes = args.drop(2).map { it.toInt() }
    val bursts =
        sizes.flatMap { size ->
            seeds.flatMap { seed ->
                Variant.entries.map {
                    withProgressMessage(
                        "burst at $size, seed $seed, ${it.label}",
                    ) { BalanceMeasurement(size).burst(seed, it) }
                }
            }
        }
    val drains =
        sizes.flatMap { size ->
            seeds.flatMap { seed ->
                listOf(false, true).map { withProgressMessage("drain at $size, seed $seed") { BalanceMeasurement(size).drain(seed, it) } }
            }
        }
    val report = BalanceMeasurementReport(seeds.last, bursts, drains)
    println(report.text())
    File(args[0]).writeText(report.html())
    exitProcess(if ((bursts.flatMap { it.violations } + drains.flatMap { it.violations }).isEmpty()) 0 else 1)
}
