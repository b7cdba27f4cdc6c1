package burlridge.leadership

import burlridge.store.Change
import burlridge.store.Condition
import burlridge.store.RequestPriority
import burlridge.store.StoreClient
import burlridge.store.Transaction
import burlridge.store.TransactionResult

/** Transactions on the key-value store that are applied only while this controller's fencing token is current. */
internal class FencedStore(
    private val store: StoreClient,
    private val leadership: Leadership,
) {
    /**
     * Applies [changes] if the fencing token and all [conditions] hold, repeating the transaction until its outcome is known. [onResult] is
     * not called once this controller has ceased to lead its current term. [onUncertain] receives true while a copy of the transaction may
     * have been applied without its result being known, and false once that is ruled out.
     */
    fun commit(
        conditions: List<Condition>,
        changes: List<Change>,
        priority: RequestPriority,
        onUncertain: (Boolean) -> Unit = {},
        onResult: (TransactionResult) -> Unit,
    ) {
        val transaction = Transaction(listOf(leadership.fenceCondition()) + conditions, changes)
        store.commitUntilKnown(transaction, priority, leadership.whileLeading(leadership.term), onUncertain, onResult)
    }

    /** Whether [conflict] shows that another leader has a higher fencing token. */
    fun isFenced(conflict: TransactionResult.Conflict): Boolean = Leadership.TERM_ROW_KEY in conflict.failed

    /** Ends this controller's leadership after its fencing token was found to be stale. */
    fun stepDown() = leadership.stepDownOnSupersededTerm()
}
