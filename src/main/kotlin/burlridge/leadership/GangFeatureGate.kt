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
 * A gang is accepted only once every member runs a version that supports gangs: an older leader could not read its row, and would stop its
 * tasks. Each member of such a version leaves a row, which lasts while the member is down, so that an outage of one member holds nothing
 * up. It need never be withdrawn: members are upgraded a few at a time, and none is downgraded.
 */
internal class GangFeatureGate(
    private val context: StepContext,
    private val store: StoreClient,
) {
    private val members = context.settings.others.mapTo(HashSet()) { it.member } + context.settings.member
    private val isGangEnabled = context.settings.workers.gang != null

    /** Once true it stays true. */
    var allMembersSupportGangs: Boolean = false
        private set
    private var nextReadAt = 0.0
    private var isReading = false

    /** Reads the rows of the members again when that is due. */
    fun tick() {
        if (!isGangEnabled || allMembersSupportGangs || isReading || context.now < nextReadAt) return
        readVersions(RequestPriority.CLEANUP) {}
    }

    /** Reports whether all members support gangs; their rows are read where that is not certain yet. */
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
        /** The version before left no row. */
        const val MIN_GANG_VERSION = 2
    }
}
