package burlridge.leadership

import burlridge.store.Change
import burlridge.store.Condition
import burlridge.store.Transaction

/** The revisions at which the rows of leadership were read; 0 for a row that does not exist. */
internal data class LeadershipRevisions(
    val leaderRow: Long,
    val termRow: Long,
)

/** The one transaction by which a term begins: both rows are written, on condition that neither has changed since [expected]. */
internal fun beginTermTransaction(
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
