package burlridge.balance

import burlridge.worker.Machine
import com.fasterxml.jackson.databind.JsonNode
import com.fasterxml.jackson.databind.node.ObjectNode
import inet.ipaddr.IPAddress
import inet.ipaddr.IPAddressString
import inet.ipaddr.IPAddressStringParameters

/** A drain that cannot be asked for; the message is one line for the operator. */
internal class InvalidDrainTargetException(
    message: String,
) : Exception(message)

/** Which machines a drain is about; those that join later included. */
internal sealed interface DrainTarget {
    /** What the target's row is named after, so that a drain asked for twice is one drain. */
    val key: String

    /** As it stands in requests, rows and reports. */
    val kind: String
    val value: String

    fun matches(machine: Machine): Boolean

    fun encode(to: ObjectNode): ObjectNode = to.put(kind, value)

    data class SingleMachine(
        val machine: String,
    ) : DrainTarget {
        override val key: String get() = "$MACHINE/$machine"
        override val kind: String get() = MACHINE
        override val value: String get() = machine

        override fun matches(machine: Machine): Boolean = machine.id == this.machine
    }

    data class Zone(
        val zone: String,
    ) : DrainTarget {
        override val key: String get() = "$ZONE/$zone"
        override val kind: String get() = ZONE
        override val value: String get() = zone

        override fun matches(machine: Machine): Boolean = machine.zone == zone
    }

    /** All addresses of a block; [block] has no bits set behind its prefix. */
    data class Network(
        val block: IPAddress,
    ) : DrainTarget {
        override val key: String get() = "$NETWORK/$value"
        override val kind: String get() = NETWORK
        override val value: String get() = block.toCanonicalString()

        override fun matches(machine: Machine): Boolean {
            val host = machine.address?.host ?: return false
            val address = IPAddressString(host.removeSurrounding("[", "]"), ADDRESSES).address?.takeIf { !it.isPrefixed } ?: return false
            return block.contains(address)
        }
    }

    companion object {
        const val MACHINE: String = "machine"
        const val ZONE: String = "zone"
        const val NETWORK: String = "network"
        private val NAME = Regex("[A-Za-z0-9._-]{1,100}")

        /** Addresses as people write them, and none of the library's further forms: no ranges, wildcards, masks or octal. */
        private val ADDRESSES: IPAddressStringParameters =
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

        /** The one target that [node] names; a [InvalidDrainTargetException] says what is wrong with any other. */
        fun parse(node: JsonNode?): DrainTarget {
            val named = listOf(MACHINE, ZONE, NETWORK).filter { node?.path(it)?.isTextual == true }
            val kind = named.singleOrNull() ?: throw InvalidDrainTargetException("name one $MACHINE, one $NETWORK or one $ZONE")
            val value = node?.path(kind)?.asText().orEmpty()
            return when (kind) {
                MACHINE -> SingleMachine(name(kind, value))
                ZONE -> Zone(name(kind, value))
                else -> Network(block(value))
            }
        }

        private fun name(
            kind: String,
            value: String,
        ): String =
            if (NAME.matches(
                    value,
                )
            ) {
                value
            } else {
                throw InvalidDrainTargetException("\"${value.take(MAX_SHOWN_CHARS)}\" is no name of a $kind")
            }

        private fun block(value: String): IPAddress {
            val address = IPAddressString(value, ADDRESSES).address
            val block = address?.let { if (it.isPrefixed) it.toPrefixBlock() else it }
            return block
                ?: throw InvalidDrainTargetException(
                    "\"${value.take(MAX_SHOWN_CHARS)}\" is no network range like 10.1.0.0/24 or 2001:db8::/48",
                )
        }

        private const val MAX_SHOWN_CHARS = 60
    }
}
