/* Makes a change in the table: one conditional transaction, and its outcome established even if the answer is lost. */
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
    private val held: HeldState,
    private val clock: Clock,
    private val random: Random,
    private val pause: suspend (Long) -> Unit,
) {
    /** Changes of this VM go one after the other: they would only lose races against each other. */
    private val oneAtATime = Mutex()
    private val waiting = AtomicInteger()
    private val writes = AtomicLong()

    suspend fun change(
        change: ConfigurationChange,
        expectedVersion: Long?,
        author: String,
        refresh: suspend () -> Either<StoreError, HeadRow?>,
    ): Either<ChangeRefusal, Configuration> {
        if (waiting.incrementAndGet() > settings.waitingChanges) {
            waiting.decrementAndGet()
            return unavailable("${settings.waitingChanges} changes are already waiting on this VM")
        }
        try {
            return oneAtATime.withLock { attempts(change, expectedVersion, author, refresh) }
        } finally {
            waiting.decrementAndGet()
        }
    }

    /** Id of a write, unique over all VMs and runs by the incarnation and a counter. */
    fun newChangeId(): String = "${settings.vm.name}/${settings.vm.incarnation}/${writes.incrementAndGet()}"

    private suspend fun attempts(
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
                val attempt = attempt(head, base, change, author)
                if (attempt != null) return attempt
            }
            pause(random.nextLong(1, settings.retryPauseMs))
        }
        return unavailable("${settings.changeAttempts} attempts lost against changes of others, or the newest version could not be read")
    }

    /** Tries [change] on [base] once; null if another change came first. */
    private suspend fun attempt(
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
                if (outcome.value is TransactionResult.Committed || isOwn(record)) accepted(base, record) else null
            }
        }
    }

    /** Tells whether the version that came first is this very change: a client may have repeated the write after a lost answer. */
    private suspend fun isOwn(record: ChangeRecord): Boolean = store.change(record.version).getOrNull()?.changeId == record.changeId

    /**
     * Finds out whether a write without an answer took effect. The row of the change tells. If there is none, the write may still
     * be on its way, so it is sent again: it is conditional on the head row, so at most one of the two takes effect.
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
        val next = base.follow(listOf(record))
        held.install(next)
        return next.configuration.right()
    }

    /** Names the change that was made on [expectedVersion] by someone else, if it is still held, or else the newest one. */
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
