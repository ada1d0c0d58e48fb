/*
 * Experiment: rules for the choice of a worker near a full pool, with several seeds each. Prints, for each load and rule, the share of the
 * cores that were free but fitted no waiting task, and the mean waits and times to the end in ms. It needs no network.
 */
package dandelionpoint.coordination.fleet

/** Many small tasks and a few large ones; about 0.9 of the cores of a pool of 16 workers. */
internal val SMALL_WITH_LARGE = listOf(TaskKind("small", 480.0, 4.0, 200), TaskKind("large", 30.0, 26.0, 200))

/** The kinds of task that the operators submit, for 16 workers in place of 245. */
internal val OPERATORS_KINDS =
    listOf(TaskKind("urgent", 75.0, 16.0, 60), TaskKind("short", 55.0, 16.0, 200), TaskKind("long", 6.8, 16.0, 900))

private val RULES_COMPARED = mapOf("best fit" to BEST_FIT, "fastest" to FASTEST)

private fun report(load: String, kinds: List<TaskKind>, errors: EstimateErrors) = RULES_COMPARED.forEach { (name, rule) ->
    val results = (1L..SEEDS).map { PlacementSimulation(it, kinds, rule, errors = errors).run() }
    val unusable = results.map { it.unusableShare }.average()
    val figures = kinds.joinToString { kind ->
        "${kind.name}: wait %.0f, end %.0f".format(
            results.map { it.meanWaitMs(kind.name) }.average(),
            results.map { it.meanEndMs(kind.name) }.average(),
        )
    }
    println("%-40s %-10s unusable %.4f  %s".format(load, name, unusable, figures))
}

/** Time to the end of short tasks at half of the capacity, where a worker restarts each 50 ms, with and without labels that tell speeds. */
private fun reportRestarts() = listOf(true, false).forEach { hasKindLabels ->
    val shape = PoolShape(hasKindLabels = hasKindLabels, restartEveryMs = 50)
    val kinds = listOf(TaskKind("short", 25.0, 16.0, 200))
    val ends = (1L..SEEDS).map {
        PlacementSimulation(it, kinds, BEST_FIT, shape = shape, errors = EstimateErrors(0.4, 0.03, 7.0)).run().meanEndMs("short")
    }
    println("restarts, labels tell the speed: %-5s  end %.0f".format(hasKindLabels, ends.average()))
}

/** Share of the tasks that are on time if six tenths of the urgent ones want one rack of four. */
private fun reportRack(factor: Double, penalty: Double, errors: EstimateErrors) {
    val kinds = OPERATORS_KINDS.map { it.copy(perSecond = it.perSecond * factor, rackShare = if (it.name == "urgent") 0.6 else 0.0) }
    listOf(false to false, false to true, true to false, true to true).forEach { (waits, avoids) ->
        val results = (1L..SEEDS).map {
            val rules = FleetRules(remotePenalty = penalty)
            PlacementSimulation(
                it,
                kinds,
                BEST_FIT,
                errors = errors,
                rules = rules,
                mayWaitForRack = waits,
                avoidsRacksInDemand = avoids,
            ).run()
        }
        val shares = kinds.joinToString { kind ->
            "${kind.name} %.3f".format(results.map { it.shareWithin(kind.name, kind.onTimeMs) }.average())
        }
        println("rack wanted, x $factor, penalty $penalty, spread ${errors.spread}, waits $waits, others avoid it $avoids: on time $shares")
    }
}

private const val SEEDS = 10L

internal fun main() {
    val loads = mapOf("small with large" to SMALL_WITH_LARGE, "operators' kinds" to OPERATORS_KINDS)
    loads.forEach { (load, kinds) ->
        listOf(0.9, 1.0, 1.1, 1.2).forEach { factor ->
            val scaled = kinds.map { it.copy(perSecond = it.perSecond * factor) }
            report("$load, x $factor", scaled, EstimateErrors())
            report("$load, x $factor, wrong estimates", scaled, EstimateErrors(0.4, 0.03, 7.0))
        }
    }
    reportRestarts()
    listOf(0.8, 1.0, 1.2).forEach { factor ->
        listOf(2.0, 3.0).forEach { penalty ->
            reportRack(factor, penalty, EstimateErrors())
            reportRack(factor, penalty, EstimateErrors(0.4, 0.03, 7.0))
        }
    }
}
