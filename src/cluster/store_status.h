// How a call to the platform's object API ended.
#pragma once

#include <cstdint>

namespace ebonymount {

/// After `unknown` a write may have taken effect, and a read has told nothing.
enum class StoreStatus : std::uint8_t { done, conflict, absent, unknown };

}  // namespace ebonymount
