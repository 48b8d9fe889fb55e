package io.reedmast.wire

/** The priorities of the protocol, most urgent first; [wireName] is the name in messages and records. */
enum class Priority(val wireName: String) {
    PRODUCTION("production"),
    URGENT("urgent"),
    STANDARD("standard"),
    BEST_EFFORT("best_effort"),
    ;

    /**
     * Work of the lowest priority declares no minimum run time: it is not charged, and any funded request may take its
     * place.
     */
    val isFunded: Boolean get() = this != BEST_EFFORT

    companion object {
        /** The priority of this name; throws [MalformedException] if there is none. */
        fun of(text: String): Priority =
            entries.firstOrNull { it.wireName == text } ?: throw MalformedException("rank is unknown: $text")
    }
}
