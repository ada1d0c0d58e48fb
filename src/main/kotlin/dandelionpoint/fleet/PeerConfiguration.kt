/*
 * Reads a newer configuration from a peer whose heartbeat announces one. The store usually gives it to all VMs at the same moment, so that
 * a VM asks a peer only if the store has not done so for a while, and asks one peer at a time: a configuration of many routes takes a small
 * VM long to decode, during which every peer announces it.
 */
package dandelionpoint.fleet

import dandelionpoint.protocol.peer.PeerLink
import dandelionpoint.protocol.peer.PeerMessage
import dandelionpoint.protocol.peer.PeerReply
import dandelionpoint.protocol.peer.VmIdentity
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import java.util.concurrent.atomic.AtomicBoolean

/** Asks peers over [link]. [version] returns the version in force, [apply] gets a document and the name of the peer it came from. */
internal class PeerConfiguration(
    private val scope: CoroutineScope,
    private val link: PeerLink,
    private val version: () -> Long,
    private val apply: (document: ByteArray, source: String) -> Unit,
) {
    private val isAsking = AtomicBoolean()

    /** The peer [from] has the configuration [announced] in force. */
    fun onAnnounced(announced: Long, from: VmIdentity) {
        if (announced <= version() || !isAsking.compareAndSet(false, true)) return
        scope.launch {
            try {
                delay(STORE_LEAD_MS)
                if (announced > version()) ask(from)
            } finally {
                isAsking.set(false)
            }
        }
    }

    private suspend fun ask(peer: VmIdentity) {
        val reply = link.call(peer, PeerMessage.ConfigPull(version()), TIMEOUT_MS)
        val changes = (reply as? PeerReply.Answered)?.message as? PeerMessage.ConfigChanges ?: return
        if (changes.version > version()) apply(changes.document.encodeToByteArray(), peer.name)
    }

    companion object {
        /** How long the store has to give this VM a configuration that a peer already has, in ms. */
        const val STORE_LEAD_MS = 300L

        /** Longest wait for a peer's answer, in ms. */
        private const val TIMEOUT_MS = 1_000L
    }
}
