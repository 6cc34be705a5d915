// As of when the data of a node that reads the store itself is complete.
//
// A node reads each kind of data by calls of its own, and one kind may stop while the others go on:
// a connection falls silent, or a list is too large for its time limit. So the data is as old as
// its oldest kind. At a node that nobody follows, only the configuration is confirmed by frequent
// calls; the watches of the other kinds wait for longer, and count as complete while they wait,
// unless they fail. A node that others follow never says so of a kind that may still fail: they
// could not take it back.
#pragma once

#include <vector>

#include "base/time.h"

namespace ebonymount {

/// One kind of data, as its own calls show it.
struct KindContact {
    /// As of when the data is complete; `Time{}` if no call has been answered yet.
    Time complete_at{};
    /// The last call failed.
    bool is_failing = false;
};

/// As of when all data is complete; `Time{}` if a kind has not been read yet. `frequent` is the
/// kind that is confirmed by frequent calls; `is_followed` is true if others rely on the answer.
Time complete_at(const KindContact& frequent, const std::vector<KindContact>& others,
                 bool is_followed);

}  // namespace ebonymount
