package burlridge.balance

import burlridge.worker.Machine
import com.fasterxml.jackson.databind.JsonNode
import com.fasterxml.jackson.databind.node.ObjectNode
import inet.ipaddr.IPAddress
import inet.ipaddr.IPAddressString
import inet.ipaddr.IPAddressStringParameters

/** Thrown if a drain target cannot be parsed; the message is one line of text for the operator. */
internal class InvalidDrainTargetException(
    message: String,
) : Exception(message)

/** The set of machines that a drain covers, including machines that join later. */
internal sealed interface DrainTarget {
    /** Key of the drain's row after the prefix. Equal targets have the same key, so a repeated request is idempotent. */
    val key: String

    /** `machine`, `zone` or `network`, as in requests, rows and reports. */
    val kind: String

    /** Name of the machine or zone, or the network block, as in requests, rows and reports. */
    val value: String

    /** Whether this target covers [machine]. */
    fun matches(machine: Machine): Boolean

    /** Adds this target to the JSON object [to] and returns that object. */
    fun encode(to: ObjectNode): ObjectNode = to.put(kind, value)

    /** One machine, by its id. */
    data class SingleMachine(
        val machine: String,
    ) : DrainTarget {
        override val key: String get() = "$MACHINE/$machine"
        override val kind: String get() = MACHINE
        override val value: String get() = machine

        override fun matches(machine: Machine): Boolean = machine.id == this.machine
    }

    /** All machines in a zone. */
    data class Zone(
        val zone: String,
    ) : DrainTarget {
        override val key: String get() = "$ZONE/$zone"
        override val kind: String get() = ZONE
        override val value: String get() = zone

        override fun matches(machine: Machine): Boolean = machine.zone == zone
    }

    /** All machines with an address in [block]; the host bits of the block are zero. */
    data class Network(
        val block: IPAddress,
    ) : DrainTarget {
        override val key: String get() = "$NETWORK/$value"
        override val kind: String get() = NETWORK
        override val value: String get() = block.toCanonicalString()

        override fun matches(machine: Machine): Boolean {
            val host = machine.address?.host ?: return false
            val address =
                IPAddressString(host.removeSurrounding("[", "]"), ADDRESS_FORMATS).address?.takeIf { !it.isPrefixed } ?: return false
            return block.contains(address)
        }
    }

    companion object {
        const val MACHINE: String = "machine"
        const val ZONE: String = "zone"
        const val NETWORK: String = "network"
        private val NAME_PATTERN = Regex("[A-Za-z0-9._-]{1,100}")

        /** Accepts plain addresses and CIDR blocks only; the library's other forms (ranges, wildcards, masks, octal) are refused. */
        private val ADDRESS_FORMATS: IPAddressStringParameters =
            IPAddressStringParameters
                .Builder()
                .allowEmpty(false)
                .allowAll(false)
                .allowSingleSegment(false)
                .allowMask(false)
                .allowPrefixOnly(false)
                .allowWildcardedSeparator(false)
                .setRangeOptions(inet.ipaddr.AddressStringParameters.RangeParameters.NO_RANGE)
                .apply { iPv4AddressParametersBuilder.allow_inet_aton(false) }
                .toParams()

        /** Parses the target in [node], which must name exactly one. Throws [InvalidDrainTargetException]. */
        fun parse(node: JsonNode?): DrainTarget {
            val presentKinds = listOf(MACHINE, ZONE, NETWORK).filter { node?.path(it)?.isTextual == true }
            val kind = presentKinds.singleOrNull() ?: throw InvalidDrainTargetException("name one $MACHINE, one $NETWORK or one $ZONE")
            val value = node?.path(kind)?.asText().orEmpty()
            return when (kind) {
                MACHINE -> SingleMachine(validName(kind, value))
                ZONE -> Zone(validName(kind, value))
                else -> Network(parseBlock(value))
            }
        }

        private fun validName(
            kind: String,
            value: String,
        ): String =
            if (NAME_PATTERN.matches(
                    value,
                )
            ) {
                value
            } else {
                throw InvalidDrainTargetException("\"${value.take(MAX_SHOWN_CHARS)}\" is no name of a $kind")
            }

        private fun parseBlock(value: String): IPAddress {
            val address = IPAddressString(value, ADDRESS_FORMATS).address
            val block = address?.let { if (it.isPrefixed) it.toPrefixBlock() else it }
            return block
                ?: throw InvalidDrainTargetException(
                    "\"${value.take(MAX_SHOWN_CHARS)}\" is no network range like 10.1.0.0/24 or 2001:db8::/48",
                )
        }

        private const val MAX_SHOWN_CHARS = 60
    }
}
