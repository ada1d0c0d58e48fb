/*
 * A random source for several threads. The seeded sources of the standard library are not thread-safe: two threads that draw at once can
 * get the same numbers, and two requests then the same id.
 */
package dandelionpoint.protocol

import kotlin.random.Random

/** Numbers of [source], each of which only one thread draws. */
internal class SharedRandom(private val source: Random) : Random() {
    constructor(seed: Long) : this(Random(seed))

    @Synchronized
    override fun nextBits(bitCount: Int): Int = source.nextBits(bitCount)
}
