#include "base/hash.h"

#include <xxhash.h>

#include <algorithm>

namespace ebonymount {

std::uint64_t stable_hash(std::string_view text) {
    return XXH3_64bits(text.data(), text.size());
}

std::uint64_t rendezvous_weight(std::string_view key, std::string_view candidate) {
    return XXH3_64bits_withSeed(candidate.data(), candidate.size(), stable_hash(key));
}

std::vector<std::string> rendezvous_order(std::string_view key,
                                          std::vector<std::string> candidates) {
    const auto heavier = [key](const std::string& left, const std::string& right) {
        const std::uint64_t left_weight = rendezvous_weight(key, left);
        const std::uint64_t right_weight = rendezvous_weight(key, right);
        return left_weight != right_weight ? left_weight > right_weight : left < right;
    };
    std::sort(candidates.begin(), candidates.end(), heavier);
    return candidates;
}

}  // namespace ebonymount
