package burlridge.transcript

import burlridge.balance.checkpointingJob
import burlridge.balance.clusterWithBalance
import burlridge.balance.drainZone
import burlridge.balance.operatorSettingsWithBalance
import burlridge.balance.submitAll
import burlridge.balance.undrainZone
import burlridge.job.JobSpec
import burlridge.settings.FailoverSettings
import burlridge.settings.OperatorSettings
import burlridge.simulation.MachineTypeSpec
import burlridge.simulation.RandomFaults
import burlridge.simulation.SimulatedCluster
import burlridge.simulation.SimulatedCluster.CallFault
import burlridge.simulation.abort
import burlridge.simulation.gang
import burlridge.simulation.job
import burlridge.simulation.sendInvalidSubmissions
import burlridge.simulation.submit

private fun SimulatedCluster.at(
    seconds: Double,
    action: () -> Unit,
) = clock.after(seconds, action)

/** Submits arrays of two teams, one of which has a guaranteed share and a limit; every seventh is cancelled. */
private fun SimulatedCluster.submitArrays(
    count: Int,
    from: Double = 5.0,
    intervalSeconds: Double = 2.0,
) = repeat(count) { i ->
    val spec =
        when (i % 5) {
            0 -> job(i, 4, cpus = 2.0, team = "crew-x")
            1 -> job(i, 3, oneZone = true, runSeconds = 15.0)
            2 -> job(i, 5, spread = true, runSeconds = 5.0)
            3 -> job(i, 2, cpus = 8.0, jobClass = "bulk", runSeconds = 30.0, spot = false)
            else -> job(i, 6, cpus = 1.0, zone = "b", runSeconds = 8.0, team = "crew-x")
        }
    at(from + i * intervalSeconds) { submit(spec, abortAfter = if (i % 7 == 6) 10.0 else null) }
}

private fun SimulatedCluster.atLeader(
    seconds: Double,
    action: (leader: String) -> Unit,
) = at(seconds) { leader()?.let(action) }

/** Submits jobs of two teams, one of which exceeds its limit and has some of its jobs cancelled. */
private fun SimulatedCluster.submitJobsAboveTeamLimit() {
    repeat(12) { i ->
        at(5.0 + i) { submit(job(i, 10, cpus = 2.0, runSeconds = 20.0, team = "crew-x"), abortAfter = if (i % 4 == 3) 12.0 else null) }
        at(5.5 + i) { submit(job(100 + i, 6, cpus = 2.0, runSeconds = 12.0, jobClass = "bulk")) }
    }
}

private fun SimulatedCluster.delayOrLoseWrites(
    from: Double,
    until: Double,
) {
    onCall = { _, call ->
        val isAffected = clock.now in from..until && call.path == "/multi" && random.nextInt(3) == 0
        if (isAffected) listOf(CallFault.DELAYED, CallFault.RESPONSE_LOST).random(random) else CallFault.NONE
    }
}

private fun failoverCluster(
    seed: Int,
    members: Int,
) = SimulatedCluster(
    seed,
    members = (0 until members).map { "drover-$it" },
    operator = OperatorSettings(failover = FailoverSettings(standbys = 1)),
)

private fun SimulatedCluster.submitCheckpointingJobs(count: Int): List<JobSpec> =
    submitAll((0 until count).map { checkpointingJob(it, 1 + it % 4, runSeconds = 30.0) }, from = 10.0, everySeconds = 1.5)

internal val TRANSCRIPT_SCHEDULES: List<TranscriptSchedule> =
    listOf(
        TranscriptSchedule("array-short", 30.0, { SimulatedCluster(401, types = mapOf("small" to MachineTypeSpec(4.0, 16.0, 2))) }) {
            at(12.0) { submit(job(1, 2, runSeconds = 3.0)) }
        },
        TranscriptSchedule("gang-short", 38.0, {
            SimulatedCluster(402, types = mapOf("small" to MachineTypeSpec(4.0, 16.0, 1)), guaranteedCpus = 0.0)
        }) {
            at(14.0) { submit(gang(1, 2, runSeconds = 4.0)) }
        },
        TranscriptSchedule("arrays", 150.0, { SimulatedCluster(403) }) { submitArrays(24) },
        TranscriptSchedule("five-members-at-their-limits", 140.0, { SimulatedCluster(404, members = (0 until 5).map { "drover-$it" }) }) {
            submitJobsAboveTeamLimit()
            sendInvalidSubmissions(60.0)
            atLeader(30.0) { crash(it, 5.0) }
        },
        TranscriptSchedule("gangs-lose-machines", 170.0, { SimulatedCluster(405, guaranteedCpus = 0.0) }) {
            repeat(5) { i -> at(20.0 + 6.0 * i) { submit(gang(i, 4 + 3 * i, cpus = 2.0)) } }
            at(45.0) { cloud.reclaim(cloud.machineIds().first()) }
            at(60.0) { cloud.worker(cloud.machineIds().last())?.kill() }
            at(70.0) { cloud.worker(cloud.machineIds().first())?.announceReclaim(12.0) }
        },
        TranscriptSchedule("leader-killed", 150.0, { SimulatedCluster(406) }) {
            submitArrays(20)
            atLeader(25.0) { crash(it, 2.0) }
            atLeader(50.0) { crash(it, 0.2) }
            at(80.0) { members.forEach { crash(it, 3.0) } }
        },
        TranscriptSchedule("leader-frozen", 150.0, { SimulatedCluster(407) }) {
            submitArrays(20)
            atLeader(25.0) { freeze(it, 3.0) }
            atLeader(45.0) { freeze(it, 20.0) }
            atLeader(80.0) { pauseMidStep(it, 15.0) }
        },
        TranscriptSchedule("leader-cut", 170.0, { SimulatedCluster(408) }) {
            partitionsHoldPackets = true
            submitArrays(20)
            atLeader(25.0) { partition(it, "state", 20.0) }
            atLeader(60.0) {
                partition(it, "state", 25.0)
                partitionFromPeers(it, 25.0)
            }
            atLeader(95.0) { leader -> cloud.machineIds().take(4).forEach { partition(it, leader, 30.0) } }
        },
        TranscriptSchedule("leader-refused", 160.0, { SimulatedCluster(409) }) {
            val long = (0 until 4).map { job(200 + it, 3, runSeconds = 60.0) }
            long.forEach { spec -> at(8.0) { submit(spec) } }
            submitArrays(12)
            atLeader(30.0) { refuseStateRequests(it, 15.0) }
            at(30.5) { long.take(2).forEach { abort(it) } }
            at(33.0) { state.outage(25.0) }
            at(34.0) { long.drop(2).forEach { abort(it) } }
        },
        TranscriptSchedule("store-outage", 160.0, { SimulatedCluster(410) }) {
            submitArrays(20)
            at(28.0) { state.outage(20.0) }
            at(70.0) { state.outage(3.0) }
            state.limitWrites(10.0)
        },
        TranscriptSchedule("late-writes", 170.0, { SimulatedCluster(411) }) {
            submitArrays(20)
            delayOrLoseWrites(15.0, 60.0)
            atLeader(40.0) { crash(it, 4.0) }
        },
        TranscriptSchedule("rentals-and-returns", 230.0, { SimulatedCluster(412) }) {
            submitArrays(12)
            at(15.0) { cloud.down = true }
            at(30.0) { cloud.down = false }
            at(40.0) {
                cloud
                    .machineIds()
                    .filter { cloud.worker(it)?.spot == true }
                    .take(3)
                    .forEach { cloud.worker(it)?.announceReclaim(10.0) }
            }
            at(130.0) { submit(job(90, 12, cpus = 2.0, runSeconds = 10.0)) }
            atLeader(45.0) { crash(it, 5.0) }
        },
        TranscriptSchedule("rolling-restart", 200.0, {
            SimulatedCluster(413, nextStateLimits = """{"value_kb":2,"txn_ops":4,"write_rps":30}""", startsOnOldVersion = true)
        }) {
            submitArrays(24)
            members.forEachIndexed { i, member -> upgradeAt(member, 25.0 + 12.0 * i) }
            at(75.0) { state.lowerLimits(valueKb = 2.0, changesPerTransaction = 4) }
            at(80.0) { submit(gang(90, 6)) }
        },
        TranscriptSchedule("machines-out-of-reach", 180.0, { SimulatedCluster(414) }) {
            submitArrays(20)
            at(30.0) { cloud.machineIds().take(2).forEach { blockTrafficTo(it, 20.0) } }
            at(40.0) { cloud.machineIds().takeLast(2).forEach { blockTrafficFrom(it, 30.0) } }
            at(50.0) { cloud.machineIds().take(2).forEach { cloud.worker(it)?.hang(15.0) } }
            at(55.0) { replayHeartbeatsToNextLeader(8.0) }
            atLeader(60.0) { crash(it, 3.0) }
            duplicateHeartbeatAfter = { if (clock.now < 80.0 && random.nextInt(5) == 0) 20.0 else null }
        },
        TranscriptSchedule("failover-handovers", 150.0, { failoverCluster(415, 3) }) {
            submitArrays(20)
            atLeader(30.0) { leader ->
                drain(leader)
                at(6.0) { crash(leader, 2.0) }
            }
            atLeader(60.0) { crash(it, 3.0) }
            atLeader(85.0) { freeze(it, 8.0) }
        },
        TranscriptSchedule("failover-five-members", 150.0, { failoverCluster(416, 5) }) {
            repeat(4) { i -> at(20.0 + 8.0 * i) { submit(gang(50 + i, 5)) } }
            submitArrays(14)
            atLeader(35.0) { drain(it) }
            atLeader(36.0) { crash(it, 4.0) }
            at(70.0) { state.outage(10.0) }
        },
        TranscriptSchedule("balance-drains-and-moves", 160.0, { clusterWithBalance(417) }) {
            submitCheckpointingJobs(14)
            at(30.0) { drainZone("a") }
            atLeader(34.0) { crash(it, 4.0) }
            at(70.0) { undrainZone("a") }
        },
        TranscriptSchedule("balance-and-failover", 160.0, {
            clusterWithBalance(418, members = 5, failover = true, operatorOf = { operatorSettingsWithBalance(failover = true) })
        }) {
            submitCheckpointingJobs(14)
            repeat(2) { i -> at(22.0 + 9.0 * i) { submit(gang(60 + i, 4, runSeconds = 25.0)) } }
            at(32.0) { drainZone("b") }
            atLeader(40.0) { drain(it) }
            at(50.0) { cloud.machineIds().take(2).forEach { cloud.worker(it)?.slowness = 8.0 } }
        },
        TranscriptSchedule("drawn-failures", 260.0, { SimulatedCluster(419) }) {
            submitArrays(24)
            RandomFaults(this, 419).schedule(10, 20.0, 120.0)
        },
        TranscriptSchedule("drawn-failures-with-gangs", 260.0, { failoverCluster(420, 3) }) {
            repeat(6) { i -> at(25.0 + 9.0 * i) { submit(gang(70 + i, 3 + i)) } }
            submitArrays(16)
            RandomFaults(this, 420).schedule(10, 20.0, 120.0)
        },
    )
