/* Writes a change to the table in one conditional transaction. If its answer is lost, finds out whether it took effect. */
package dandelionpoint.coordination.configuration

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import dandelionpoint.protocol.Clock
import dandelionpoint.protocol.ResultCode
import dandelionpoint.protocol.store.StoreError
import dandelionpoint.protocol.store.Transaction
import dandelionpoint.protocol.store.TransactionResult
import kotlinx.coroutines.sync.Mutex
import kotlinx.coroutines.sync.withLock
import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.atomic.AtomicLong
import kotlin.random.Random

internal class ConfigurationChanger(
    private val store: ConfigurationStore,
    private val settings: ConfigurationSettings,
    private val held: ConfigurationHolder,
    private val clock: Clock,
    private val random: Random,
    private val pause: suspend (Long) -> Unit,
) {
    /** Serializes the changes of this VM: concurrent ones would only fail each other's condition on the head row. */
    private val changeMutex = Mutex()
    private val waitingCount = AtomicInteger()
    private val writeCounter = AtomicLong()

    suspend fun change(
        change: ConfigurationChange,
        expectedVersion: Long?,
        author: String,
        refresh: suspend () -> Either<StoreError, HeadRow?>,
    ): Either<ChangeRefusal, Configuration> {
        if (waitingCount.incrementAndGet() > settings.maxWaitingChanges) {
            waitingCount.decrementAndGet()
            return unavailable("${settings.maxWaitingChanges} changes are already waiting on this VM")
        }
        try {
            return changeMutex.withLock { changeWithRetries(change, expectedVersion, author, refresh) }
        } finally {
            waitingCount.decrementAndGet()
        }
    }

    /** Id of a write; VM name, incarnation and a counter make it unique over all VMs and their restarts. */
    fun newChangeId(): String = "${settings.vm.name}/${settings.vm.incarnation}/${writeCounter.incrementAndGet()}"

    private suspend fun changeWithRetries(
        change: ConfigurationChange,
        expectedVersion: Long?,
        author: String,
        refresh: suspend () -> Either<StoreError, HeadRow?>,
    ): Either<ChangeRefusal, Configuration> {
        repeat(settings.changeAttempts) {
            val head = refresh().getOrNull() ?: return unavailable("the table could not be read")
            val base = held.current()
            // The two differ if another version was applied after the head row was read, or if its rows could not be found.
            if (base != null && base.version == head.head.version) {
                if (expectedVersion != null && base.version != expectedVersion) return conflict(expectedVersion, head.head)
                val outcome = tryChange(head, base, change, author)
                if (outcome != null) return outcome
            }
            pause(random.nextLong(1, settings.retryPauseMs))
        }
        return unavailable("${settings.changeAttempts} attempts failed: other changes came first, or the newest version could not be read")
    }

    /** Tries [change] on [base] once; null if another change came first. */
    private suspend fun tryChange(
        head: HeadRow,
        base: HeldConfiguration,
        change: ConfigurationChange,
        author: String,
    ): Either<ChangeRefusal, Configuration>? {
        val next =
            when (val accepted = base.configuration.accept(change)) {
                is Either.Left -> return accepted
                is Either.Right -> accepted.value
            }
        val record = ChangeRecord(next.version, newChangeId(), change, author, clock.wallMs())
        val transaction = ConfigurationRows.advance(head, next, record, settings)
        return when (val outcome = store.transact(transaction)) {
            is Either.Left -> {
                if (outcome.value is StoreError.NotApplied) unavailable(outcome.value.reason) else resolve(transaction, base, record)
            }

            is Either.Right -> {
                if (outcome.value is TransactionResult.Committed || isOwnChange(record)) accepted(base, record) else null
            }
        }
    }

    /**
     * Whether the change stored under the version of [record] is [record] itself. That is so if the client of the table repeated
     * the write after a lost answer: the repeated write then conflicts with the first one.
     */
    private suspend fun isOwnChange(record: ChangeRecord): Boolean = store.change(record.version).getOrNull()?.changeId == record.changeId

    /**
     * Finds out whether a write without an answer took effect, by reading the row of the change. If there is no such row, the write
     * may still be in transit, so it is sent again: both are conditional on the head row, so at most one of them takes effect.
     */
    private suspend fun resolve(
        transaction: Transaction,
        base: HeldConfiguration,
        record: ChangeRecord,
    ): Either<ChangeRefusal, Configuration>? {
        repeat(settings.resolveAttempts) { attempt ->
            val row = store.change(record.version)
            if (row is Either.Right) {
                val found = row.value
                if (found != null) return if (found.changeId == record.changeId) accepted(base, record) else null
                val repeated = store.transact(transaction)
                if (repeated.getOrNull() is TransactionResult.Committed) return accepted(base, record)
            }
            pause(settings.retryPauseMs shl attempt)
        }
        return ChangeRefusal(ResultCode.CHANGE_UNKNOWN, "No answer from the table for version ${record.version}.").left()
    }

    private fun accepted(base: HeldConfiguration, record: ChangeRecord): Either<ChangeRefusal, Configuration> {
        val next = base.applyChanges(listOf(record))
        held.install(next)
        return next.configuration.right()
    }

    /** Refusal that names the other change made on [expectedVersion] if it is still in memory, or else the newest change. */
    private fun conflict(expectedVersion: Long, head: ConfigurationHead): Either<ChangeRefusal, Nothing> {
        val winner = held.current()?.recent?.find { it.version == expectedVersion + 1 }
        val version = winner?.version ?: head.version
        val author = winner?.author ?: head.author
        val detail =
            if (expectedVersion > head.version) {
                "Version $expectedVersion does not exist; the newest is ${head.version}."
            } else {
                "Version $version by $author came first; the newest is ${head.version}."
            }
        return ChangeRefusal(ResultCode.VERSION_CONFLICT, detail, version, author, head.version).left()
    }

    private fun unavailable(reason: String): Either<ChangeRefusal, Nothing> =
        ChangeRefusal(ResultCode.CHANGE_UNAVAILABLE, "The change was not made: $reason.").left()
}
