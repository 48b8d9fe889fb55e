package io.reedmast.wire

/** The priorities of the protocol, most urgent first; [wireName] is the name in messages and records. */
enum class Priority(val wireName: String) {
    PRODUCTION("production"),
    URGENT("urgent"),
    STANDARD("standard"),
    BEST_EFFORT("best_effort"),
    ;

    /**
     * Whether work of this priority is charged. Work of the lowest priority declares no minimum run time: it is not
     * charged, and may be preempted for any funded request.
     */
    val isFunded: Boolean get() = this != BEST_EFFORT

    companion object {
        /** The priority called [text] in messages; throws [MalformedException] if there is none. */
        fun of(text: String): Priority =
            entries.firstOrNull { it.wireName == text } ?: throw MalformedException("rank is unknown: $text")
    }
}
