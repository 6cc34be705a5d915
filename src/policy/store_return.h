// What a node relies on after the platform's store has returned from an older copy.
//
// The copy lacks what others have written since, until they write it again. Meanwhile it shows
// targets that have left, or are draining, as ready, and data centres as in service that operators
// have taken out. So for a while what a node knew before goes before what the copy says, unless the
// writer has written since the return.
#pragma once

#include "base/time.h"

namespace ebonymount {

/// How long others may take to write again what a return has undone: three heartbeats of a target,
/// after which the store itself removes the entry of one that is silent, and the time of a read.
constexpr Duration REWRITE_TIME = from_ms(5000);

/// How long a node remembers what was withdrawn. A copy is some seconds old.
constexpr Duration WITHDRAWAL_MEMORY = from_ms(60000);

}  // namespace ebonymount
