package review2;

/** A machine type of the cloud's catalog. */
record MachineType(
    String name, double cpus, double memoryGb, double price, double spotPrice, double cacheGb, double fetchGbPerSecond, double bootSeconds) {}
