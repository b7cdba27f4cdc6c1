package burlridge.fleet

import burlridge.allocation.JobRegistry
import burlridge.core.StepContext
import burlridge.leadership.Leadership
import burlridge.worker.LossReason
import burlridge.worker.Machine
import burlridge.worker.WorkerManager

/** Reads the cloud's list of machines, page by page, and applies it to the machines that the leader knows. */
internal class InventorySync(
    private val context: StepContext,
    private val leadership: Leadership,
    private val registry: JobRegistry,
    private val workers: WorkerManager,
    private val cloud: CloudApi,
) {
    private val listLagSeconds = context.settings.cloudLimits.listLagSeconds
    private var isReading = false
    private var readAt = Machine.NEVER
    private var pageCount = 1

    /** Whether a complete list has been applied since [clear]. */
    var hasList: Boolean = false
        private set

    /** Whether a complete list that was read in this leader's term has been applied. */
    val isCurrent: Boolean get() = hasList && readAt > leadership.electedAt

    /** Marks the list as not read, when leadership ends. */
    fun clear() {
        readAt = Machine.NEVER
        hasList = false
    }

    /** Starts to read the list if that is due. */
    fun tick() {
        // Reading a long list takes a good part of the time of a controller with little CPU, and reading it more often does not help, since
        // it is never fresher than its lag.
        val intervalSeconds = listLagSeconds * maxOf(1.0, pageCount * LAGS_PER_PAGE)
        if (isReading || context.now < readAt + intervalSeconds) return
        isReading = true
        readAt = context.now
        readPage(null, ArrayList(), leadership.whileLeading(leadership.term))
    }

    private fun readPage(
        afterId: String?,
        found: ArrayList<ListedMachine>,
        isStillLeading: () -> Boolean,
    ) {
        cloud.listMachines(afterId, PAGE_SIZE) { page ->
            if (page == null || !isStillLeading()) {
                isReading = false
                return@listMachines
            }
            found.addAll(page.machines)
            val lastId = page.machines.lastOrNull { it.id.isNotEmpty() }?.id
            when {
                !page.isTruncated || page.machines.isEmpty() -> applyList(found)

                lastId != null -> readPage(lastId, found, isStillLeading)

                // No name to continue after. An incomplete list must not be applied: machines that it lacks would be removed.
                else -> isReading = false
            }
        }
    }

    private fun applyList(found: List<ListedMachine>) {
        isReading = false
        pageCount = (found.size + PAGE_SIZE - 1) / PAGE_SIZE
        hasList = true
        val ids = HashSet<String>()
        for (listed in found) {
            if (listed.id.isEmpty()) continue
            ids += listed.id
            if (!workers.isRemoved(listed.id)) update(workers.getOrRegisterMachine(listed.id), listed)
        }
        removeUnlisted(ids)
    }

    private fun update(
        machine: Machine,
        listed: ListedMachine,
    ) {
        machine.type = listed.type ?: machine.type
        machine.zone = listed.zone ?: machine.zone
        machine.spot = listed.spot ?: machine.spot
        machine.isListed = true
        machine.listedAgeSeconds = maxOf(machine.listedAgeSeconds, listed.ageSeconds)
        if (machine.rentedAt == 0.0) machine.rentedAt = context.now - machine.listedAgeSeconds
        machine.isStarting = listed.state == ListedMachine.STARTING && !machine.isUp
        if (listed.state == ListedMachine.FAILED && !machine.isDead) {
            context.info("machine failed, returning it", "machine" to machine.id)
            machine.isDead = true
        }
        if (machine.address == null) machine.address = listed.address
    }

    /** Removes machines that are not in the list although every list must contain them if they still exist. */
    private fun removeUnlisted(listedIds: Set<String>) {
        val maxListAgeSeconds = listLagSeconds * MAX_LIST_AGE_LAGS
        // A machine that is known only from allocations of an earlier leader was rented before that leader's term ended, so a list that is
        // certainly newer than this leader's election must contain it.
        val coversInherited = readAt > leadership.electedAt + maxListAgeSeconds
        for (machine in workers.machines.values.toList()) {
            if (machine.id in listedIds) continue
            // A list may be older than the one before it. Only a machine whose age exceeds the age of any list must be in all of them.
            val isOlderThanList = machine.isListed && machine.listedAgeSeconds > maxListAgeSeconds
            if ((coversInherited && isOnlyInherited(machine)) || isOlderThanList) {
                workers.removeMachine(machine, LossReason.NOT_LISTED)
            }
        }
    }

    /** Whether [machine] is known only from allocations of an earlier leader. */
    private fun isOnlyInherited(machine: Machine): Boolean =
        !machine.isListed && !machine.isUp &&
            registry.allocations.byMachine[machine.id]
                ?.values
                ?.any { it.isInherited } == true

    internal companion object {
        /** Maximum age of a list, in lags. A list is at most twice its usual lag old; the rest is a safety margin. */
        const val MAX_LIST_AGE_LAGS: Double = 3.0
        private const val PAGE_SIZE = 500

        /** Interval between two reads of the list, in lags for each of its pages; it is at least one lag. */
        private const val LAGS_PER_PAGE = 0.5
    }
}
