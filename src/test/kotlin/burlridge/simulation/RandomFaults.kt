package burlridge.simulation

import kotlin.random.Random

/** Troubles drawn by a seed, alone and together. */
internal class RandomFaults(
    private val cluster: SimulatedCluster,
    seed: Int,
) {
    private val seededRandom = Random(seed)

    fun draw(
        count: Int,
        from: Double,
        until: Double,
    ) {
        cluster.lossy = 0.02
        cluster.cutsHoldPackets = seededRandom.nextBoolean()
        if (seededRandom.nextInt(3) ==
            0
        ) {
            cluster.copyAfter = { if (seededRandom.nextInt(4) == 0) 2.0 + seededRandom.nextDouble() * 60 else null }
        }
        repeat(count) { cluster.clock.after(from + seededRandom.nextDouble() * (until - from)) { one() } }
        cluster.clock.after(until + 30.0) {
            cluster.lossy = 0.0
            cluster.copyAfter = { null }
        }
    }

    private fun some(count: Int): List<String> =
        cluster.cloud
            .names()
            .shuffled(seededRandom)
            .take(count)

    private fun one() {
        when (seededRandom.nextInt(16)) {
            0 -> {
                cluster.leader()?.let { cluster.crash(it, seededRandom.nextDouble() * 8) }
            }

            1 -> {
                cluster.members.forEach { cluster.crash(it, 1 + seededRandom.nextDouble() * 5) }
            }

            2 -> {
                cluster.state.outage(seededRandom.nextDouble() * 25)
            }

            3 -> {
                cluster.leader()?.let { cluster.cut(it, "state", 10 + seededRandom.nextDouble() * 20) }
            }

            4 -> {
                cluster.cloud
                    .names()
                    .take(3)
                    .forEach { cluster.cloud.take(it) }
            }

            5 -> {
                cluster.cloud
                    .names()
                    .takeLast(4)
                    .forEach { m -> cluster.members.forEach { cluster.cut(it, m, 5 + seededRandom.nextDouble() * 40) } }
            }

            6 -> {
                cluster.cloud
                    .names()
                    .randomOrNull(seededRandom)
                    ?.let { cluster.deafen(it, seededRandom.nextDouble() * 40) }
            }

            7 -> {
                cluster.leader()?.let { cluster.freeze(it, seededRandom.nextDouble() * 12) }
            }

            8 -> {
                cluster.cloud
                    .names()
                    .filter { cluster.cloud.worker(it)?.spot == true }
                    .take(3)
                    .forEach { cluster.cloud.worker(it)?.recall(5 + seededRandom.nextDouble() * 15) }
            }

            9 -> {
                cluster.members.forEach { a ->
                    cluster.members.forEach { b ->
                        if (a !=
                            b
                        ) {
                            cluster.cut(a, b, 5 + seededRandom.nextDouble() * 20)
                        }
                    }
                }
            }

            10 -> {
                cluster.leader()?.let { cluster.refuse(it, 5 + seededRandom.nextDouble() * 20) }
                if (seededRandom.nextBoolean()) {
                    cluster.clock.after(seededRandom.nextDouble() * 6) {
                        cluster.state.outage(seededRandom.nextDouble() * 30)
                    }
                }
            }

            11 -> {
                some(3).forEach { cluster.mute(it, seededRandom.nextDouble() * 50) }
            }

            12 -> {
                some(3).forEach { cluster.cloud.worker(it)?.hang(seededRandom.nextDouble() * 22) }
            }

            13 -> {
                cluster.keepReportsForNextLeader(seededRandom.nextDouble() * 10)
            }

            14 -> {
                val until = cluster.clock.now + 5 + seededRandom.nextDouble() * 20
                val fate = if (seededRandom.nextBoolean()) SimulatedCluster.CallFate.LATE else SimulatedCluster.CallFate.ANSWER_LOST
                cluster.onCall = { _, call ->
                    if (cluster.clock.now < until && call.path == "/multi" &&
                        seededRandom.nextInt(3) == 0
                    ) {
                        fate
                    } else {
                        SimulatedCluster.CallFate.FINE
                    }
                }
            }

            else -> {
                cluster.cloud.down = true
                cluster.clock.after(20.0) { cluster.cloud.down = false }
            }
        }
    }
}
