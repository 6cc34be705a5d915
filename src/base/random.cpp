#include "base/random.h"

#include <array>
#include <cstdio>

namespace ebonymount {

std::string random_id(Random& random) {
    std::array<char, 17> text{};
    std::snprintf(text.data(), text.size(), "%016llx", static_cast<unsigned long long>(random()));
    return text.data();
}

std::uint64_t process_seed() {
    std::random_device device;
    return (static_cast<std::uint64_t>(device()) << 32U) ^ device();
}

}  // namespace ebonymount
