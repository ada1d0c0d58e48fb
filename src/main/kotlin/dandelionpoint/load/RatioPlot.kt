/* Plots response over ideal time as SVG: the share of submissions above each ratio, with both axes logarithmic. */
package dandelionpoint.load

import kotlin.math.ln
import kotlin.math.pow

private const val WIDTH = 720
private const val HEIGHT = 440
private const val LEFT = 70.0
private const val RIGHT = 700.0
private const val TOP = 40.0
private const val BOTTOM = 390.0
private const val MIN_RATIO = 0.5
private const val MAX_RATIO = 50.0
private const val MIN_SHARE = 0.0001
private const val CURVE_STEPS = 240
private val COLOURS = listOf("#1f77b4", "#d62728", "#2ca02c", "#9467bd", "#8c564b", "#e377c2")

/** Returns the SVG of a plot with one curve for each entry of [ratios]. */
internal fun ratioPlot(title: String, ratios: Map<String, List<Double>>): String = buildString {
    appendLine("""<svg xmlns="http://www.w3.org/2000/svg" width="$WIDTH" height="$HEIGHT" font-family="sans-serif" font-size="12">""")
    appendLine("""<rect width="$WIDTH" height="$HEIGHT" fill="white"/>""")
    appendLine(label(LEFT, TOP - 18, title.escaped(), "start"))
    appendAxes()
    ratios.entries.forEachIndexed { index, (name, values) ->
        val colour = COLOURS[index % COLOURS.size]
        val points = curve(values.sorted()).joinToString(" ") { (x, y) -> "${x.digits(1)},${y.digits(1)}" }
        appendLine("""<polyline fill="none" stroke="$colour" stroke-width="1.5" points="$points"/>""")
        appendLine("""<g fill="$colour">${label(RIGHT - 8, TOP + 16 + index * 16, "${name.escaped()} (${values.size})", "end")}</g>""")
    }
    appendLine("</svg>")
}

private fun StringBuilder.appendAxes() {
    listOf(0.5, 1.0, 1.1, 1.5, 2.0, 5.0, 10.0, 20.0, 50.0).forEach {
        appendLine(line(x(it), TOP, x(it), BOTTOM))
        appendLine(label(x(it), BOTTOM + 16, "$it", "middle"))
    }
    listOf(1.0, 0.5, 0.1, 0.01, 0.001, MIN_SHARE).forEach {
        appendLine(line(LEFT, y(it), RIGHT, y(it)))
        appendLine(label(LEFT - 6, y(it) + 4, "${(it * 100).digits(2)} %", "end"))
    }
    appendLine(label((LEFT + RIGHT) / 2, BOTTOM + 36, "response over ideal; the curves show the share of submissions above it", "middle"))
}

/** Points of the curve that shows the share of [sorted] values above each ratio. */
private fun curve(sorted: List<Double>): List<Pair<Double, Double>> = (0..CURVE_STEPS).map { step ->
    val ratio = MIN_RATIO * (MAX_RATIO / MIN_RATIO).pow(step.toDouble() / CURVE_STEPS)
    x(ratio) to y(sorted.countAbove(ratio).toDouble() / maxOf(sorted.size, 1))
}

private fun List<Double>.countAbove(ratio: Double): Int {
    val found = binarySearch(ratio)
    val firstAbove = if (found >= 0) found + 1 else -found - 1
    return size - firstAbove
}

private fun x(ratio: Double) = LEFT + (RIGHT - LEFT) * ln(ratio / MIN_RATIO) / ln(MAX_RATIO / MIN_RATIO)

private fun y(share: Double) = TOP + (BOTTOM - TOP) * ln(share.coerceAtLeast(MIN_SHARE)) / ln(MIN_SHARE)

private fun line(x1: Double, y1: Double, x2: Double, y2: Double) =
    """<line x1="${x1.digits(1)}" y1="${y1.digits(1)}" x2="${x2.digits(1)}" y2="${y2.digits(1)}" stroke="#ddd"/>"""

private fun label(x: Double, y: Double, text: String, anchor: String) =
    """<text x="${x.digits(1)}" y="${y.digits(1)}" text-anchor="$anchor">$text</text>"""

private fun String.escaped() = replace("&", "&amp;").replace("<", "&lt;").replace(">", "&gt;")
