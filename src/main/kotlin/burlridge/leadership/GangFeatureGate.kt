package burlridge.leadership

import burlridge.core.StepContext
import burlridge.store.Change
import burlridge.store.Condition
import burlridge.store.ListResult
import burlridge.store.RequestPriority
import burlridge.store.StoreClient
import burlridge.store.Transaction

/** Whether all members run a version that supports gangs. */
internal enum class GangSupport {
    ALL_MEMBERS,
    NOT_ALL_MEMBERS,

    /** The members' rows could not be read. */
    UNKNOWN,
}

/**
 * Allows gangs only once every member runs a version that supports them: an older leader could not read a gang's row, and would stop its
 * tasks. Each member of such a version writes a version row, which persists while the member is down, so that an outage of one member does
 * not block gangs. The row never needs to be deleted: members are upgraded a few at a time, and none is downgraded.
 */
internal class GangFeatureGate(
    private val context: StepContext,
    private val store: StoreClient,
) {
    private val members = context.settings.others.mapTo(HashSet()) { it.member } + context.settings.member
    private val isGangEnabled = context.settings.workers.gang != null

    /** Whether all members are known to support gangs; once true, it stays true. */
    var allMembersSupportGangs: Boolean = false
        private set
    private var nextReadAt = 0.0
    private var isReading = false

    /** Reads the members' version rows if a read is due. */
    fun tick() {
        if (!isGangEnabled || allMembersSupportGangs || isReading || context.now < nextReadAt) return
        readVersions(RequestPriority.CLEANUP) {}
    }

    /** Reports whether all members support gangs; reads their version rows unless that is already known. */
    fun check(onResult: (GangSupport) -> Unit) {
        if (allMembersSupportGangs || !isGangEnabled) onResult(currentSupport()) else readVersions(RequestPriority.USER, onResult)
    }

    private fun currentSupport() = if (allMembersSupportGangs) GangSupport.ALL_MEMBERS else GangSupport.NOT_ALL_MEMBERS

    private fun readVersions(
        priority: RequestPriority,
        onResult: (GangSupport) -> Unit,
    ) {
        isReading = true
        nextReadAt = context.now + context.settings.workers.reportSeconds
        store.list(MemberVersionRow.PREFIX, priority) { listing ->
            isReading = false
            if (listing !is ListResult.Listed) return@list onResult(GangSupport.UNKNOWN)
            val supporting =
                listing.value.rows
                    .filter { MemberVersionRow.decode(it.value).version >= MIN_GANG_VERSION }
                    .map { it.key.removePrefix(MemberVersionRow.PREFIX) }
            if (context.settings.member !in supporting) writeOwnVersion()
            if (!allMembersSupportGangs && supporting.containsAll(members)) {
                allMembersSupportGangs = true
                context.info("gang support enabled", "members" to members.size)
            }
            onResult(currentSupport())
        }
    }

    private fun writeOwnVersion() {
        val key = MemberVersionRow.PREFIX + context.settings.member
        val row = MemberVersionRow(MIN_GANG_VERSION).encode()
        store.commit(Transaction(listOf(Condition(key, 0)), listOf(Change.Put(key, row))), RequestPriority.CLEANUP) {}
    }

    private companion object {
        /** The first version that supports gangs; the version before it wrote no version row. */
        const val MIN_GANG_VERSION = 2
    }
}
