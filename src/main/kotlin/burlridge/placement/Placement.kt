package burlridge.placement

import burlridge.app.Context
import burlridge.fleet.Fleet
import burlridge.intake.JobSpec
import burlridge.intake.Size
import burlridge.intent.Charge
import burlridge.intent.Claim
import burlridge.intent.Job
import burlridge.intent.Ledger
import burlridge.worker.Machine
import burlridge.worker.Workers

/** Team queues served in turn by shares, and best fit over a few sampled machines. */
internal class Placement(
    private val ctx: Context,
    private val ledger: Ledger,
    private val workers: Workers,
    private val fleet: Fleet,
) {
    /** Lanes whose tasks must start within a report interval: to them a fetch is most of the wait. */
    private val urgentLanes =
        ctx.settings.objectives
            .filter { it.kind == "wait" && (it.withinS ?: Double.MAX_VALUE) < ctx.settings.workers.reportS }
            .mapNotNull { it.lane }
            .toSet()

    private val finishAims =
        ctx.settings.objectives
            .filter { it.kind == "finished" && it.lane != null && it.withinS != null }
            .associate { it.lane to it.withinS }
    private val sampleSize = ctx.settings.operator.sample

    private class Room(
        val machine: Machine,
        val whole: Size,
        var free: Size,
    )

    /** One round: as many waiting tasks as there is room for, claimed in one row. */
    fun round() {
        val catalog = fleet.catalog ?: return
        val rooms =
            workers.machines.values.filter { usable(it) }.mapNotNull { m ->
                catalog.types[m.type]?.let { Room(m, it.size, free(m, it.size)) }
            }
        if (rooms.isEmpty()) return
        val claims = ArrayList<Claim>()
        val used = HashMap(ledger.used)
        for (job in queue()) {
            if (claims.size >= MOST_STARTS) break
            place(job, rooms, claims, used)
        }
        if (claims.isNotEmpty()) {
            claims.groupBy { it.job }.forEach { (job, starts) -> ctx.debug("claims ${starts.size} starts of $job") }
            ledger.claim(claims) { granted ->
                if (granted) {
                    claims.map { it.machine }.distinct().forEach { id ->
                        workers.machines[id]?.let(workers::command)
                    }
                }
            }
        }
    }

    private fun usable(machine: Machine): Boolean =
        machine.up && !machine.lapsed && !machine.leaving && machine.recallAt == null && ctx.now >= machine.notBefore &&
            !workers.silent(machine) &&
            ctx.now >= machine.nextCommandAt

    fun free(
        machine: Machine,
        whole: Size,
    ): Size {
        var free = whole
        ledger.byMachine[machine.id]?.values?.forEach { free -= it.charge.size }
        machine.strays.forEach { piece -> ledger.jobs[piece.substringBefore('/')]?.let { free -= it.spec.size } }
        return free
    }

    /** Highest priority first; within it the team that uses the least of its share; within a team by [rank]. */
    fun queue(): List<Job> {
        val waiting = ledger.jobs.values.filter { it.ending == null && it.done.cardinality() + it.claims.size < it.spec.tasks }
        return waiting.sortedWith(
            compareBy<Job> { it.spec.priority }.thenBy { tooLate(it) }.thenBy { load(it.spec.team) }.thenBy { rank(it) },
        )
    }

    /** When the aims want a job complete, counted from its submission; null where none says. */
    private fun limitS(job: Job): Double? = job.spec.deadlineS ?: finishAims[job.spec.lane]

    private fun ageS(job: Job): Double = (ctx.wallMs - job.submittedMs) / 1000.0

    /** A job that cannot be complete in time any more gives way to those that still can. */
    private fun tooLate(job: Job): Boolean = limitS(job)?.let { ageS(job) + job.spec.estimateS * SURE_PART > it } ?: false

    /** Within a team: with a deadline the earliest first, otherwise the least work first, which keeps most jobs within a common aim. */
    private fun rank(job: Job): Double {
        val spec = job.spec
        spec.deadlineS?.let { return it - ageS(job) }
        val left = spec.tasks - job.done.cardinality()
        return left * spec.estimateS - ageS(job)
    }

    private fun load(team: String): Double {
        val share = ctx.settings.teams[team] ?: return 0.0
        val used = ledger.used[team] ?: return 0.0
        return maxOf(if (share.cpus > 0) used.cpus / share.cpus else 0.0, if (share.gpus > 0) used.gpus / share.gpus else 0.0)
    }

    private fun place(
        job: Job,
        rooms: List<Room>,
        claims: MutableList<Claim>,
        used: HashMap<String, Size>,
    ) {
        val spec = job.spec
        val team = ctx.settings.teams[spec.team] ?: return
        val zones = HashMap<String, Int>()
        job.claims.values.forEach { c -> zones.merge(c.zone, 1, Int::plus) }
        val suitable = rooms.filter { allows(spec, it.machine) }
        if (suitable.isEmpty()) return
        var task = job.done.nextClearBit(0)
        while (task < spec.tasks && claims.size < MOST_STARTS) {
            if (job.waits(task, ctx.now) && !workers.strays("${spec.id}/$task")) {
                val after = (used[spec.team] ?: Size.NONE) + spec.size
                if ((team.cpusMax > 0 && after.cpus > team.cpusMax) || (team.gpusMax > 0 && after.gpus > team.gpusMax)) return
                val room = choose(suitable.filter { spec.size.fits(it.free) && zoneAllows(spec, zones, it.machine.zone) }, spec) ?: return
                room.free -= spec.size
                used[spec.team] = after
                zones.merge(room.machine.zone, 1, Int::plus)
                claims +=
                    Claim(
                        spec.id,
                        task,
                        job.lastRun.get(task) + 1,
                        room.machine.id,
                        room.machine.session,
                        room.machine.zone,
                        Charge(spec.team, spec.size),
                    )
            }
            task = job.done.nextClearBit(task + 1)
        }
    }

    private fun allows(
        spec: JobSpec,
        machine: Machine,
    ): Boolean =
        (spec.types == null || machine.type in spec.types) && (spec.zone == null || spec.zone == machine.zone) &&
            (spec.spot || !machine.spot)

    private fun zoneAllows(
        spec: JobSpec,
        zones: Map<String, Int>,
        zone: String,
    ): Boolean {
        if (spec.oneZone && zones.keys.any { it != zone }) return false
        return !spec.spread || (zones[zone] ?: 0) < (spec.tasks + 1) / 2
    }

    /** Best fit over a sample of the machines with room; a machine that holds the image goes before one that does not. */
    private fun choose(
        withRoom: List<Room>,
        spec: JobSpec,
    ): Room? {
        if (withRoom.isEmpty()) return null
        // The design samples blindly; a lane with a wait aim cannot afford a fetch where another machine holds the image.
        val holders = if (spec.lane in urgentLanes) withRoom.filter { spec.image in it.machine.images } else emptyList()
        val among = holders.ifEmpty { withRoom }
        val sample = if (among.size <= sampleSize) among else among.shuffled(ctx.random).take(sampleSize)
        return sample.minByOrNull { leftover(it, spec) }
    }

    private fun leftover(
        room: Room,
        spec: JobSpec,
    ): Double {
        val left = room.free - spec.size
        val memoryUnit = room.whole.memoryGb.coerceAtLeast(1.0) / room.whole.cpus.coerceAtLeast(1.0)
        return left.cpus + left.gpus * GPU_WEIGHT + left.memoryGb / memoryUnit / 2 + fetchS(room.machine, spec) * CPUS_A_SECOND
    }

    private fun fetchS(
        machine: Machine,
        spec: JobSpec,
    ): Double {
        if (spec.image in machine.images) return 0.0
        val rate =
            fleet.catalog
                ?.types
                ?.get(machine.type)
                ?.fetchGbPerS ?: return 0.0
        return if (rate > 0) spec.imageGb / rate else 0.0
    }

    private companion object {
        /** A second of fetching weighs as much as so many CPUs left over. */
        const val CPUS_A_SECOND = 0.5

        /** Estimates are often too high; so much of one surely remains to be run. */
        const val SURE_PART = 0.3
        const val GPU_WEIGHT = 16.0

        /** A round's row stays well under the smallest sensible value size. */
        const val MOST_STARTS = 80
    }
}
