// Outcome of a call to the platform's object API.
#pragma once

#include <cstdint>

namespace ebonymount {

/// `conflict` means that the object's version was not the expected one. After `unknown`, a write
/// may have taken effect, and a read has returned no information.
enum class StoreStatus : std::uint8_t { done, conflict, absent, unknown };

}  // namespace ebonymount
