/* Changes of the configuration, their records in the history, and refusals. */
package dandelionpoint.coordination.configuration

import dandelionpoint.protocol.ResultCode
import dandelionpoint.protocol.peer.VmIdentity
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** A change that an operator requests. */
@Serializable
internal sealed interface ConfigurationChange {
    /** Creates a preset or replaces the one of the same name. */
    @Serializable
    @SerialName("putPreset")
    data class PutPreset(val preset: Preset) : ConfigurationChange

    /** Puts the preset [name] in force. */
    @Serializable
    @SerialName("activatePreset")
    data class ActivatePreset(val name: String) : ConfigurationChange

    /** Creates a team or replaces its quota. */
    @Serializable
    @SerialName("putTeam")
    data class PutTeam(val team: TeamQuota) : ConfigurationChange
}

/** An accepted change. [changeId] is unique for each attempt; [atMs] is the wall-clock time of the VM that accepted the change. */
@Serializable
internal data class ChangeRecord(
    val version: Long,
    val changeId: String,
    val change: ConfigurationChange,
    val author: String,
    val atMs: Long,
)

/**
 * Why a change was refused. For [ResultCode.VERSION_CONFLICT], [winningVersion] and [winningAuthor] name the concurrent change that
 * was accepted instead, and [currentVersion] is the version to repeat this change on.
 */
@Serializable
internal data class ChangeRefusal(
    val code: ResultCode,
    val detail: String = code.advice,
    val winningVersion: Long? = null,
    val winningAuthor: String? = null,
    val currentVersion: Long? = null,
)

/** A VM and the last version that it reported, [lastContactMs] ago. */
internal data class VmConfigurationVersion(val vm: VmIdentity, val version: Long, val lastContactMs: Long)

/** The VMs that have [version] or a later one, and those that have not confirmed it. */
internal data class ChangePropagation(
    val version: Long,
    val inForce: List<VmConfigurationVersion>,
    val unconfirmed: List<VmConfigurationVersion>,
)
