package burlridge.leadership

import burlridge.store.Change
import burlridge.store.Condition
import burlridge.store.Transaction

/** Revisions at which the leader row and the term row were read; 0 for a row that does not exist. */
internal data class LeadershipRevisions(
    val leaderRow: Long,
    val termRow: Long,
)

/** Returns the transaction that begins a term: it writes both rows on condition that neither has changed since [expected]. */
internal fun newTermTransaction(
    expected: LeadershipRevisions,
    term: Long,
    leader: String,
    leaseId: Long,
    formerLeaders: Map<String, Long>,
): Transaction =
    Transaction(
        listOf(Condition(LeaderRow.KEY, expected.leaderRow), Condition(TermRow.KEY, expected.termRow)),
        listOf(
            Change.Put(LeaderRow.KEY, LeaderRow(leader, term).encode(), leaseId),
            Change.Put(TermRow.KEY, TermRow(term, leader, formerLeaders).encode()),
        ),
    )
