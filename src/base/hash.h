// Stable hashes: every node computes the same values, whatever its build.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace ebonymount {

/// 64-bit hash of a string.
std::uint64_t stable_hash(std::string_view text);

/// Weight of `candidate` for `key`; the candidate with the highest weight owns the key.
std::uint64_t rendezvous_weight(std::string_view key, std::string_view candidate);

/// Candidates by descending weight for `key` (rendezvous hashing). Ties are broken by name.
std::vector<std::string> rendezvous_order(std::string_view key,
                                          std::vector<std::string> candidates);

}  // namespace ebonymount
