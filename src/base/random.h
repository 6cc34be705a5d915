// The random generator of the decision code. The caller seeds it and passes it in, so that tests
// can repeat a run.
#pragma once

#include <cstdint>
#include <random>
#include <string>

namespace ebonymount {

using Random = std::mt19937_64;

/// Uniform number in [0, 1).
inline double uniform(Random& random) {
    return std::uniform_real_distribution<double>(0.0, 1.0)(random);
}

/// 16 random hexadecimal digits, for identifiers that must differ between processes.
std::string random_id(Random& random);

/// A seed that differs between processes and between starts of one process.
std::uint64_t process_seed();

}  // namespace ebonymount
