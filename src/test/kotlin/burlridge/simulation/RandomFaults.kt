package burlridge.simulation

import kotlin.random.Random

/** Injects random faults, which may overlap; the same seed yields the same faults. */
internal class RandomFaults(
    private val cluster: SimulatedCluster,
    seed: Int,
) {
    private val seededRandom = Random(seed)

    fun schedule(
        count: Int,
        from: Double,
        until: Double,
    ) {
        cluster.callFaultRate = 0.02
        cluster.partitionsHoldPackets = seededRandom.nextBoolean()
        if (seededRandom.nextInt(3) == 0) {
            cluster.duplicateHeartbeatAfter = { if (seededRandom.nextInt(4) == 0) 2.0 + seededRandom.nextDouble() * 60 else null }
        }
        repeat(count) { cluster.clock.after(from + seededRandom.nextDouble() * (until - from)) { injectOne() } }
        cluster.clock.after(until + 30.0) {
            cluster.callFaultRate = 0.0
            cluster.duplicateHeartbeatAfter = { null }
        }
    }

    private val faults: List<() -> Unit> =
        listOf(
            ::killLeader,
            ::killAllMembers,
            { cluster.state.outage(seededRandom.nextDouble() * 25) },
            ::partitionLeaderFromStore,
            ::reclaimFirstMachines,
            ::partitionLastMachinesFromAllMembers,
            ::blockTrafficToOneMachine,
            ::freezeLeader,
            ::reclaimSpotMachines,
            ::partitionMembersFromOneAnother,
            ::refuseLeader,
            { randomMachines(3).forEach { cluster.blockTrafficFrom(it, seededRandom.nextDouble() * 50) } },
            { randomMachines(3).forEach { cluster.cloud.worker(it)?.hang(seededRandom.nextDouble() * 22) } },
            { cluster.replayHeartbeatsToNextLeader(seededRandom.nextDouble() * 10) },
            ::loseOrDelayTransactions,
            ::takeCloudDown,
        )

    private fun injectOne() = faults[seededRandom.nextInt(faults.size)]()

    private fun randomMachines(count: Int): List<String> =
        cluster.cloud
            .machineIds()
            .shuffled(seededRandom)
            .take(count)

    private fun killLeader() {
        cluster.leader()?.let { cluster.crash(it, seededRandom.nextDouble() * 8) }
    }

    private fun killAllMembers() = cluster.members.forEach { cluster.crash(it, 1 + seededRandom.nextDouble() * 5) }

    private fun partitionLeaderFromStore() {
        cluster.leader()?.let { cluster.partition(it, "state", 10 + seededRandom.nextDouble() * 20) }
    }

    private fun reclaimFirstMachines() =
        cluster.cloud
            .machineIds()
            .take(3)
            .forEach { cluster.cloud.reclaim(it) }

    private fun partitionLastMachinesFromAllMembers() =
        cluster.cloud
            .machineIds()
            .takeLast(4)
            .forEach { machine -> cluster.members.forEach { cluster.partition(it, machine, 5 + seededRandom.nextDouble() * 40) } }

    private fun blockTrafficToOneMachine() {
        cluster.cloud
            .machineIds()
            .randomOrNull(seededRandom)
            ?.let { cluster.blockTrafficTo(it, seededRandom.nextDouble() * 40) }
    }

    private fun freezeLeader() {
        cluster.leader()?.let { cluster.freeze(it, seededRandom.nextDouble() * 12) }
    }

    private fun reclaimSpotMachines() =
        cluster.cloud
            .machineIds()
            .filter { cluster.cloud.worker(it)?.spot == true }
            .take(3)
            .forEach { cluster.cloud.worker(it)?.announceReclaim(5 + seededRandom.nextDouble() * 15) }

    private fun partitionMembersFromOneAnother() {
        for (first in cluster.members) {
            for (second in cluster.members) {
                if (first != second) cluster.partition(first, second, 5 + seededRandom.nextDouble() * 20)
            }
        }
    }

    private fun refuseLeader() {
        cluster.leader()?.let { cluster.refuseStateRequests(it, 5 + seededRandom.nextDouble() * 20) }
        if (seededRandom.nextBoolean()) {
            cluster.clock.after(seededRandom.nextDouble() * 6) { cluster.state.outage(seededRandom.nextDouble() * 30) }
        }
    }

    private fun loseOrDelayTransactions() {
        val until = cluster.clock.now + 5 + seededRandom.nextDouble() * 20
        val fault = if (seededRandom.nextBoolean()) SimulatedCluster.CallFault.DELAYED else SimulatedCluster.CallFault.RESPONSE_LOST
        cluster.onCall = { _, call ->
            val isAffected = cluster.clock.now < until && call.path == "/multi" && seededRandom.nextInt(3) == 0
            if (isAffected) fault else SimulatedCluster.CallFault.NONE
        }
    }

    private fun takeCloudDown() {
        cluster.cloud.down = true
        cluster.clock.after(20.0) { cluster.cloud.down = false }
    }
}
