/*
 * A random source for several threads. The seeded sources of the standard library are not thread-safe: two threads that call one at the
 * same time can get the same numbers, and then two requests get the same id.
 */
package dandelionpoint.protocol

import kotlin.random.Random

/** Thread-safe access to [source]: each number that it generates is returned to one thread only. */
internal class SharedRandom(private val source: Random) : Random() {
    constructor(seed: Long) : this(Random(seed))

    @Synchronized
    override fun nextBits(bitCount: Int): Int = source.nextBits(bitCount)
}
