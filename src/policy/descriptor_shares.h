// Divides the file descriptors of a process between what its callers open and what it opens itself.
//
// Listeners with a limit each can together accept more connections than the process has
// descriptors, and then the connections to targets and to the store are the ones that fail. So the
// shares are parts of one whole, and callers cannot take what the process needs to serve them.
#pragma once

#include <cstddef>
#include <cstdint>

namespace ebonymount {

/// Most descriptors of each use.
struct DescriptorShares {
    std::size_t callers = 0;
    /// Connections of the load balancer's readiness checks.
    std::size_t readiness = 0;
    std::size_t metrics = 0;
    std::size_t targets = 0;
    /// Listeners, the store, other nodes and the event loop.
    std::size_t internal = 0;
    std::size_t files = 0;

    friend bool operator==(const DescriptorShares&, const DescriptorShares&) = default;
};

/// The shares add up to `max_open_files`, but are never less than a few each.
DescriptorShares share_descriptors(std::int64_t max_open_files);

}  // namespace ebonymount
