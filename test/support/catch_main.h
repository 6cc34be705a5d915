// What a test program tells the main that all of them share.
#pragma once

#include <cstdint>

namespace ebonymount {

/// Declares that guards are to catch that many exceptions more before the program ends. With any
/// other number the program fails: without the guards, exceptions would end it.
void expect_exceptions(std::int64_t count);

}  // namespace ebonymount
