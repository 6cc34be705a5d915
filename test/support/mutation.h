// Malformed input for tests: sound text with a few bytes changed.
#pragma once

#include <algorithm>
#include <cstdint>
#include <string>

#include "base/random.h"

namespace ebonymount {

/// Changes a few bytes: replaces, removes, repeats or inserts.
inline std::string mutate(std::string text, Random& random) {
    const auto random_below = [&random](std::size_t bound) {
        return static_cast<std::size_t>(random() % std::max<std::size_t>(bound, 1));
    };
    const std::size_t changes = 1 + random_below(6);
    for (std::size_t i = 0; i < changes && !text.empty(); ++i) {
        const std::size_t at = random_below(text.size());
        const std::size_t length = 1 + random_below(std::min<std::size_t>(12, text.size() - at));
        switch (random_below(5)) {
            case 0:
                text[at] = static_cast<char>(random());
                break;
            case 1:
                text.erase(at, length);
                break;
            case 2:
                text.insert(at, text.substr(at, length));
                break;
            case 3:
                text.insert(at, std::to_string(static_cast<std::int64_t>(random())));
                break;
            default:
                text[at] = "{}[]\",:=\r\n0-"[random_below(12)];
                break;
        }
    }
    return text;
}

}  // namespace ebonymount
