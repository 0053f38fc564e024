package org.vanilladale.core.configuration

import kotlin.random.Random
import org.vanilladale.schema.DataCentreName
import org.vanilladale.schema.Pool
import org.vanilladale.schema.PoolName
import org.vanilladale.schema.PoolTarget
import org.vanilladale.schema.PoolType
import org.vanilladale.schema.RequestKind
import org.vanilladale.schema.Revision
import org.vanilladale.schema.Route
import org.vanilladale.schema.RouteName
import org.vanilladale.schema.SocketAddressText
import org.vanilladale.schema.Tables
import org.vanilladale.schema.TargetId

/** Creates tables with [targets] spread over [pools]. Each [variant] differs in one pool. */
internal fun tables(revision: Long, variant: Int = 0, targets: Int = 2, pools: Int = 1): Tables {
    val rows = List(pools) { index ->
        Pool(
            PoolName.parse("pool-$index"),
            PoolType.SERVICE,
            (index until targets step pools).map {
                PoolTarget(
                    TargetId.parse("target-$it"),
                    SocketAddressText.parse("10.0.${it / 250}.${it % 250}:7100"),
                    DataCentreName.parse("data-centre-${it % 3}"),
                )
            },
            queuePerTarget = if (index == (revision % pools).toInt()) 1_000 + variant else 32,
        )
    }
    val routes = rows.map {
        Route(RouteName.parse("${it.name}"), RequestKind.parse("${it.name}"), it.name, true, 900)
    }
    return Tables(Revision(revision), routes, rows)
}

/**
 * Creates a ring with [chords] additional links per process. The loss of any one process leaves the
 * others connected.
 */
internal fun sparseLinks(size: Int, chords: Int, random: Random): List<Pair<Int, Int>> =
    (0 until size).flatMap { from ->
        val others = List(chords) { (from + 2 + random.nextInt(size - 3)) % size }
        (others + (from + 1) % size).map { minOf(from, it) to maxOf(from, it) }
    }.distinct()
