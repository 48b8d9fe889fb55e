package io.reedmast.wire

/**
 * An entry of the cloud's machine list (PROTOCOL, GET /machines).
 *
 * @property addr the address of its worker; null while it has none.
 * @property stage `booting`, `running` or `failed`.
 * @property ageS the time since the rental request, at the moment that the list describes.
 */
data class ListedMachine(
    val name: String,
    val addr: String?,
    val typeName: String,
    val zone: String,
    val spot: Boolean,
    val stage: String,
    val ageS: Double,
) {
    companion object {
        /** Reads one entry; throws [MalformedException] if it is not valid. */
        fun parse(fields: Fields): ListedMachine = ListedMachine(
            name = fields.text("ref"),
            addr = fields.optionalText("addr"),
            typeName = fields.text("build"),
            zone = fields.text("yard"),
            spot = fields.optionalFlag("driftwood"),
            stage = fields.text("stage"),
            ageS = fields.optionalAmount("ageS") ?: 0.0,
        )
    }
}
