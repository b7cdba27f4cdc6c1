package burlridge.worker

import burlridge.allocation.Allocation
import burlridge.allocation.AllocationPhase
import burlridge.allocation.Job
import burlridge.allocation.JobRegistry
import burlridge.core.StepContext
import burlridge.job.JobSpec

/** What a report says of a claimed task, taken over into its claim and its job. */
internal class TaskOutcomes(
    private val context: StepContext,
    private val registry: JobRegistry,
) {
    /** What a type of machine caches; set once the types are known. */
    var cacheOf: (String) -> Double = { 0.0 }

    /** Told of each task that was seen to start and has run to its end, with its seconds. */
    var onRan: (Machine, Job, Double) -> Unit = { _, _, _ -> }

    private val times = context.settings.workers

    /** The machine has the task, in the state that [report] names. */
    fun seen(
        machine: Machine,
        allocation: Allocation,
        report: TaskStatus,
    ) {
        val before = allocation.phase
        allocation.phase =
            when (report.state) {
                "fetching" -> {
                    AllocationPhase.FETCHING
                }

                "gathering" -> {
                    AllocationPhase.AWAITING_GANG
                }

                "running" -> {
                    AllocationPhase.RUNNING
                }

                "saving" -> {
                    AllocationPhase.CHECKPOINTING
                }

                // A state of a later day: the machine has the task, and that is all that is known.
                else -> {
                    context.count("worker.unknown_words")
                    context.infoRateLimited(
                        "states not known",
                        "machine ${machine.id} reports ${allocation.taskName} in a state that is not known: ${report.state.take(WORD)}",
                    )
                    maxOf(before, AllocationPhase.FETCHING)
                }
            }
        if (allocation.phase == AllocationPhase.RUNNING && before != AllocationPhase.RUNNING && !allocation.isInherited) {
            allocation.startedAt = context.now
            val job = registry.jobs[allocation.job]
            if (allocation.task == 0 && job?.spec?.gang == true) {
                context.debug(
                    "gang ${job.spec.id} run ${allocation.attempt} is seen to run " +
                        "${(context.wallMillis - job.submittedMillis) / 1000.0} s after its submission",
                )
            }
        }
        if (allocation.phase >= AllocationPhase.AWAITING_GANG &&
            before < AllocationPhase.AWAITING_GANG
        ) {
            registry.jobs[allocation.job]?.let { remember(machine, it.spec) }
        }
    }

    private fun remember(
        machine: Machine,
        spec: JobSpec,
    ) {
        machine.images.remove(spec.image)
        machine.images[spec.image] = spec.imageGb
        val cacheGb = cacheOf(machine.type)
        while (machine.images.size > 1 && machine.images.values.sum() > cacheGb) machine.images.remove(machine.images.keys.first())
    }

    /** The task has ended there, for the reason that [report] names. */
    fun exited(
        machine: Machine,
        allocation: Allocation,
        report: TaskStatus,
    ) {
        val job = registry.jobs[allocation.job]
        registry.allocations.release(allocation, isLost = report.exitReason != "done")
        if (job == null) return
        when (report.exitReason) {
            "done" -> {
                machine.failures = 0
                allocation.startedAt?.let {
                    job.finishedRunSeconds += context.now - it
                    job.finishedRunCount++
                    onRan(machine, job, context.now - it)
                }
                remember(machine, job.spec)
                registry.markDone(job, allocation.task)
            }

            "stopped" -> {
                context.infoRateLimited("tasks stopped", "task ${allocation.taskName} stopped on ${machine.id}, saved: ${report.saved}")
            }

            "error" -> {
                job.failures++
                machine.failures++
                context.info(
                    "task ${allocation.taskName} failed on ${machine.id}: failure ${job.failures} of its job, " +
                        "${machine.failures} in a row there",
                )
                job.delayRetry(allocation.task, context.now + minOf(times.reportSeconds * job.failures, times.leaseSeconds))
                if (machine.failures >= FAILURES_TO_QUARANTINE && job.failures < machine.failures * 2) {
                    machine.notBefore = context.now + times.leaseSeconds
                }
            }

            // No fault of the machine or of the job: another task of the gang was gone, or late.
            "peers", "incomplete" -> {
                context.infoRateLimited(
                    "gang tasks ended without their gang",
                    "task ${allocation.taskName} run ${allocation.attempt} ended on ${machine.id} without its gang: ${report.exitReason}",
                )
            }

            else -> {
                if (report.exitReason !in REFUSALS) context.count("worker.unknown_words")
                context.infoRateLimited(
                    "starts refused",
                    "start of ${allocation.taskName} refused by ${machine.id}: ${report.exitReason?.take(WORD)}",
                )
                job.delayRetry(allocation.task, context.now + times.reportSeconds / 3)
                if (report.exitReason == "full") machine.notBefore = context.now + times.reportSeconds / 3
            }
        }
    }

    private companion object {
        const val FAILURES_TO_QUARANTINE = 2
        val REFUSALS = setOf("full", "in_use", "unknown")

        /** So much of a word that is not known is logged. */
        const val WORD = 20
    }
}
