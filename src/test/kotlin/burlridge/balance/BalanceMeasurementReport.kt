package burlridge.balance

import kotlinx.html.body
import kotlinx.html.h1
import kotlinx.html.h2
import kotlinx.html.head
import kotlinx.html.html
import kotlinx.html.img
import kotlinx.html.p
import kotlinx.html.stream.createHTML
import kotlinx.html.table
import kotlinx.html.td
import kotlinx.html.th
import kotlinx.html.title
import kotlinx.html.tr
import org.knowm.xchart.BitmapEncoder
import org.knowm.xchart.CategoryChartBuilder
import java.util.Base64

/** Formats the results of [BalanceMeasurement] as text and as one HTML page with charts. */
internal class BalanceMeasurementReport(
    private val seeds: Int,
    private val bursts: List<BurstOutcome>,
    private val drains: List<DrainOutcome>,
) {
    private val sizes = bursts.map { it.machines }.distinct()

    private fun runsOf(
        size: Int,
        variant: Variant,
    ) = bursts.filter { it.machines == size && it.variant == variant }

    private fun List<BurstOutcome>.mean(figure: (BurstOutcome) -> Double): Double = map(figure).average()

    private fun waits(
        runs: List<BurstOutcome>,
        jobClass: String,
    ): String = quantiles(runs.flatMap { it.waits.getValue(jobClass) })

    private fun quantiles(all: List<Double>): String = listOf(0.5, 0.95, 0.99).joinToString(", ") { "%.1f".format(all.quantile(it)) }

    private val burstHeader =
        listOf(
            "machines",
            "variant",
            "largest to median",
            "variation",
            "sweep waits p50, p95, p99",
            "preview waits",
            "fetched s",
            "moves",
            "work lost s",
        ) +
            listOf("sweep over after s", "breaches")

    private fun burstRows(): List<List<String>> =
        sizes.flatMap { size ->
            Variant.entries.map { variant ->
                val runs = runsOf(size, variant)
                listOf(
                    "$size",
                    variant.label,
                    "%.2f".format(runs.mean { it.largestToMedian }),
                    "%.2f".format(runs.mean { it.variation }),
                    waits(runs, "sweep"),
                    waits(runs, "urgent"),
                    "%.0f".format(runs.mean { it.fetchedSeconds }),
                    "%.1f".format(runs.mean { it.moves.toDouble() }),
                    "%.1f".format(runs.mean { it.lostSeconds }),
                    "%.1f".format(runs.mean { it.sweepSeconds }),
                    "${runs.sumOf { it.violations.size }}",
                )
            }
        }

    private val drainHeader =
        listOf("machines", "leader", "drained after s, mean (worst)", "preview waits p50, p95, p99", "moves", "breaches")

    private fun drainRows(): List<List<String>> =
        drains.groupBy { it.machines to it.leaderKilled }.map { (key, runs) ->
            listOf(
                "${key.first}",
                if (key.second) "killed" else "stays",
                "%.1f (%.1f)".format(runs.map { it.drainedSeconds }.average(), runs.maxOf { it.drainedSeconds }),
                quantiles(runs.flatMap { it.waits }),
                "%.0f".format(runs.map { it.moves }.average()),
                "${runs.sumOf { it.violations.size }}",
            )
        }

    fun text(): String =
        (listOf(burstHeader) + burstRows() + listOf(drainHeader) + drainRows()).joinToString("\n") { it.joinToString(" | ") }

    fun html(): String =
        createHTML().html {
            head { title("Spreading load, measured") }
            body {
                h1 { +"Spreading load, measured" }
                p { +"Stand-in workers in virtual time, $seeds seeds each; means over seeds, waits over all tasks of all seeds." }
                listOf(
                    "A skewed burst" to listOf(burstHeader) + burstRows(),
                    "A drain of a third" to listOf(drainHeader) + drainRows(),
                ).forEach { (name, rows) ->
                    h2 { +name }
                    table {
                        tr { rows.first().forEach { th { +it } } }
                        rows.drop(1).forEach { row -> tr { row.forEach { td { +it } } } }
                    }
                }
                h2 { +"Waits, 95th percentile" }
                sizes.forEach { size -> img(alt = "waits at $size machines", src = "data:image/png;base64,${plot(size)}") }
            }
        }

    private fun plot(size: Int): String {
        val chart =
            CategoryChartBuilder()
                .width(WIDTH)
                .height(HEIGHT)
                .title("$size machines")
                .yAxisTitle("seconds")
                .build()
        for (jobClass in listOf("sweep", "urgent")) {
            val waits = Variant.entries.map { variant -> runsOf(size, variant).flatMap { it.waits.getValue(jobClass) }.quantile(0.95) }
            chart.addSeries(jobClass, Variant.entries.map { it.label }, waits)
        }
        return Base64.getEncoder().encodeToString(BitmapEncoder.getBitmapBytes(chart, BitmapEncoder.BitmapFormat.PNG))
    }

    private companion object {
        const val WIDTH = 900
        const val HEIGHT = 360
    }
}
