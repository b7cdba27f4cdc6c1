package burlridge.core

/** A map with at most [capacity] entries; the least recently used entry is evicted first. */
internal class BoundedMap<K, V>(
    private val capacity: Int,
) {
    private val entries =
        object : LinkedHashMap<K, V>(INITIAL_CAPACITY, LOAD_FACTOR, true) {
            override fun removeEldestEntry(eldest: MutableMap.MutableEntry<K, V>): Boolean = size > capacity
        }
    val size: Int get() = entries.size

    operator fun get(key: K): V? = entries[key]

    operator fun set(
        key: K,
        value: V,
    ) {
        entries[key] = value
    }

    /** Removes all entries. */
    fun clear() = entries.clear()

    private companion object {
        const val INITIAL_CAPACITY = 16
        const val LOAD_FACTOR = 0.75f
    }
}
