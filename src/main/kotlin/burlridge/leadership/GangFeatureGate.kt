package burlridge.leadership

import burlridge.core.StepContext
import burlridge.json.Json
import burlridge.store.Change
import burlridge.store.Condition
import burlridge.store.RequestPriority
import burlridge.store.StoreClient
import burlridge.store.Transaction

/**
 * Who runs a version that knows gangs. Each member of such a version leaves a row that lasts, since members are replaced a few at
 * a time and one that was is not replaced back. Only once all have a row is a gang taken: an older leader could not read it, and
 * would stop its tasks. The rows stand while members are down, so that an outage of one holds nothing up, and a member that
 * starts reads them again.
 */
internal class GangFeatureGate(
    private val context: StepContext,
    private val store: StoreClient,
) {
    private val members = context.settings.others.mapTo(HashSet()) { it.member } + context.settings.member
    private val wanted = context.settings.workers.gang != null

    /** Once all know gangs they always will. */
    var allMembersSupportGangs: Boolean = false
        private set
    private var nextAt = 0.0
    private var busy = false

    fun tick() {
        if (!wanted || allMembersSupportGangs || busy || context.now < nextAt) return
        look(RequestPriority.CLEANUP) {}
    }

    /** Tells whether all members know gangs, reading their rows where that is not certain yet; null where they cannot be read. */
    fun ask(onResult: (Boolean?) -> Unit) {
        if (allMembersSupportGangs || !wanted) onResult(allMembersSupportGangs) else look(RequestPriority.USER, onResult)
    }

    private fun look(
        priority: RequestPriority,
        onResult: (Boolean?) -> Unit,
    ) {
        busy = true
        nextAt = context.now + context.settings.workers.reportSeconds
        store.list(PREFIX, priority) { listing ->
            busy = false
            if (listing == null) return@list onResult(null)
            val known = listing.rows.filter { it.value.path("v").asInt() >= SUPPORTS_GANGS }.map { it.key.removePrefix(PREFIX) }
            if (context.settings.member !in known) write()
            if (!allMembersSupportGangs && known.containsAll(members)) {
                allMembersSupportGangs = true
                context.info("every member knows gangs: they are taken from now on")
            }
            onResult(allMembersSupportGangs)
        }
    }

    private fun write() {
        val row = Json.obj { put("v", SUPPORTS_GANGS) }
        val key = PREFIX + context.settings.member
        store.commit(Transaction(listOf(Condition(key, 0)), listOf(Change.Put(key, row))), RequestPriority.CLEANUP) {}
    }

    private companion object {
        const val PREFIX = "version/"

        /** The version before left no row. */
        const val SUPPORTS_GANGS = 2
    }
}
