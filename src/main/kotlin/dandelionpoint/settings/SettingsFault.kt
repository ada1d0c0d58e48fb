package dandelionpoint.settings

/** A fault in the settings document [file]: the [path] of the value, the [problem], and a description of what is [accepted] there. */
internal data class SettingsFault(val file: String, val path: String, val problem: String, val accepted: String) {
    override fun toString(): String = "$file: $path: $problem; accepted: $accepted"
}
