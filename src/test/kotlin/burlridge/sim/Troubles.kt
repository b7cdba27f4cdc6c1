package burlridge.sim

import kotlin.random.Random

/** Troubles drawn by a seed, alone and together. */
internal class Troubles(
    private val world: World,
    seed: Int,
) {
    private val luck = Random(seed)

    fun draw(
        count: Int,
        from: Double,
        until: Double,
    ) {
        world.lossy = 0.02
        world.holds = luck.nextBoolean()
        if (luck.nextInt(3) == 0) world.copyAfter = { if (luck.nextInt(4) == 0) 2.0 + luck.nextDouble() * 60 else null }
        repeat(count) { world.clock.after(from + luck.nextDouble() * (until - from)) { one() } }
        world.clock.after(until + 30.0) {
            world.lossy = 0.0
            world.copyAfter = { null }
        }
    }

    private fun some(count: Int): List<String> =
        world.cloud
            .names()
            .shuffled(luck)
            .take(count)

    private fun one() {
        when (luck.nextInt(16)) {
            0 -> {
                world.leader()?.let { world.crash(it, luck.nextDouble() * 8) }
            }

            1 -> {
                world.members.forEach { world.crash(it, 1 + luck.nextDouble() * 5) }
            }

            2 -> {
                world.state.outage(luck.nextDouble() * 25)
            }

            3 -> {
                world.leader()?.let { world.cut(it, "state", 10 + luck.nextDouble() * 20) }
            }

            4 -> {
                world.cloud
                    .names()
                    .take(3)
                    .forEach { world.cloud.take(it) }
            }

            5 -> {
                world.cloud
                    .names()
                    .takeLast(4)
                    .forEach { m -> world.members.forEach { world.cut(it, m, 5 + luck.nextDouble() * 40) } }
            }

            6 -> {
                world.cloud
                    .names()
                    .randomOrNull(luck)
                    ?.let { world.deafen(it, luck.nextDouble() * 40) }
            }

            7 -> {
                world.leader()?.let { world.freeze(it, luck.nextDouble() * 12) }
            }

            8 -> {
                world.cloud
                    .names()
                    .filter { world.cloud.worker(it)?.spot == true }
                    .take(3)
                    .forEach { world.cloud.worker(it)?.recall(5 + luck.nextDouble() * 15) }
            }

            9 -> {
                world.members.forEach { a -> world.members.forEach { b -> if (a != b) world.cut(a, b, 5 + luck.nextDouble() * 20) } }
            }

            10 -> {
                world.leader()?.let { world.refuse(it, 5 + luck.nextDouble() * 20) }
                if (luck.nextBoolean()) world.clock.after(luck.nextDouble() * 6) { world.state.outage(luck.nextDouble() * 30) }
            }

            11 -> {
                some(3).forEach { world.mute(it, luck.nextDouble() * 50) }
            }

            12 -> {
                some(3).forEach { world.cloud.worker(it)?.hang(luck.nextDouble() * 22) }
            }

            13 -> {
                world.keepReportsForNextLeader(luck.nextDouble() * 10)
            }

            14 -> {
                val until = world.clock.now + 5 + luck.nextDouble() * 20
                val fate = if (luck.nextBoolean()) World.Fate.LATE else World.Fate.ANSWER_LOST
                world.meddle = { _, call ->
                    if (world.clock.now < until && call.path == "/multi" && luck.nextInt(3) == 0) fate else World.Fate.FINE
                }
            }

            else -> {
                world.cloud.down = true
                world.clock.after(20.0) { world.cloud.down = false }
            }
        }
    }
}
