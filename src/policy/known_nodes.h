// The registered nodes, as the latest list of the store and the one before it name them.
//
// Limits of the whole fleet are divided by the number of nodes, and readers are chosen among them.
// After the store has returned from an older copy, its list lacks nodes that have registered since,
// until they do so again. They stay known for a while, so that the others do not take their shares.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "base/time.h"
#include "policy/store_readers.h"

namespace ebonymount {

struct KnownNodes {
    /// By name.
    std::map<std::string, Member> members;
    /// Until then nodes that a list does not name stay known.
    Time kept_until{};
};

/// Applies a list. `after_return` is true if the store has returned from an older copy since the
/// list before it.
void replace_all(KnownNodes& nodes, const std::vector<Member>& list, bool after_return, Time now);

}  // namespace ebonymount
