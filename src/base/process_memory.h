#pragma once

#include <cstddef>

namespace bronzechute {

/** @returns the memory of the machine in bytes. */
std::size_t machineMemory();

/** @returns how many descriptors the process may have open. */
std::size_t descriptorLimit();

/**
 * Makes the allocator return large blocks to the operating system as soon as they are freed, and keep few arenas. By
 * default it raises the size from which it does so up to 32 MiB after the first large block. Call it before the first
 * thread starts.
 */
void keepFreedMemorySmall();

/** Returns freed memory that the allocator still keeps to the operating system. */
void returnFreedMemory();

} // namespace bronzechute
