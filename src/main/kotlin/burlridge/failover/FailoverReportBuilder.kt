package burlridge.failover

import burlridge.core.StepContext
import burlridge.leadership.Leadership

/** Builds a [FailoverReport] when an operator requests one. */
internal class FailoverReportBuilder(
    private val context: StepContext,
    private val leadership: Leadership,
    private val cluster: ClusterView,
    private val replica: StandbyReplica,
    private val handovers: HandoverCoordinator,
    private val history: LeaderHistory,
) {
    /** Returns this member's current view. */
    fun build(): FailoverReport =
        FailoverReport(
            member = context.settings.member,
            role = role(),
            leader = leadership.knownLeader,
            term = leadership.knownTerm,
            isDraining = handovers.isDraining,
            isDrained = handovers.isDrained,
            isRecoveringFromPause = cluster.detector.isRecoveringFromPause(context.now),
            members = cluster.reports(),
            replica = replica.report(),
            outgoingHandover = handovers.outgoingDescription,
            incomingHandover = handovers.incomingDescription,
            falseSuspicions = cluster.detector.falseSuspicions,
            ownPauses = cluster.detector.ownPauses,
            leaderChanges = history.toList(),
        )

    private fun role(): MemberRole =
        when {
            leadership.isLeader -> MemberRole.LEADER
            cluster.isStandby(handovers.isDraining) -> MemberRole.STANDBY
            else -> MemberRole.FOLLOWER
        }
}
