package burlridge.fleet

import burlridge.allocation.JobRegistry
import burlridge.core.StepContext
import burlridge.leadership.Leadership
import burlridge.worker.LossReason
import burlridge.worker.Machine
import burlridge.worker.WorkerManager

/** Reads the cloud's list of machines, page by page, and takes it over into the machines that the leader knows. */
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

    /** Whether a whole list has been taken over since [clear]. */
    var hasList: Boolean = false
        private set

    /** Whether a whole list has been taken over that was read in this leader's term. */
    val isCurrent: Boolean get() = hasList && readAt > leadership.electedAt

    /** Forgets the list, when leadership ends. */
    fun clear() {
        readAt = Machine.NEVER
        hasList = false
    }

    /** Begins to read the list, if it is time. */
    fun tick() {
        // A long list takes a good part of a small controller's time, and is never fresher than its lag.
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
            if (page.isTruncated && page.machines.isNotEmpty()) {
                readPage(
                    page.machines
                        .last()
                        .id
                        .ifEmpty { null },
                    found,
                    isStillLeading,
                )
            } else {
                isReading = false
                pageCount = (found.size + PAGE_SIZE - 1) / PAGE_SIZE
                onListed(found)
            }
        }
    }

    private fun onListed(found: List<ListedMachine>) {
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

    /** Removes machines that every list must have if they still exist. */
    private fun removeUnlisted(listedIds: Set<String>) {
        val maxListAgeSeconds = listLagSeconds * MAX_LIST_AGE_LAGS
        // A machine that only the allocations of an earlier leader name is older than that leader's end.
        val showsInherited = readAt > leadership.electedAt + maxListAgeSeconds
        for (machine in workers.machines.values.toList()) {
            if (machine.id in listedIds) continue
            // A list may be older than the one before, so only a machine that is older than any list can be missed from it.
            val isOlderThanList = machine.isListed && machine.listedAgeSeconds > maxListAgeSeconds
            if ((showsInherited && isOnlyInherited(machine)) || isOlderThanList) {
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
        /** A list is at most twice its usual lag old; the rest is margin. */
        const val MAX_LIST_AGE_LAGS: Double = 3.0
        private const val PAGE_SIZE = 500

        /** The list is read at most once in so many lags for each of its pages. */
        private const val LAGS_PER_PAGE = 0.5
    }
}
