#include "policy/descriptor_shares.h"

#include <algorithm>

namespace ebonymount {
namespace {

/// The platform keeps this many descriptors of each process for files.
constexpr std::size_t FILES = 200;

/// The process opens no more connections than this, and callers get what is left.
constexpr std::size_t MAX_OUTGOING = 1000;
constexpr std::size_t INTERNAL_DIVISOR = 8;

constexpr std::size_t MAX_READINESS = 64;
constexpr std::size_t MAX_METRICS = 16;

/// Fewest descriptors with which a process works at all.
constexpr std::size_t MIN_OPEN_FILES = 128;

}  // namespace

DescriptorShares share_descriptors(std::int64_t max_open_files) {
    const std::size_t all = std::max(
        MIN_OPEN_FILES, static_cast<std::size_t>(std::max<std::int64_t>(0, max_open_files)));
    DescriptorShares shares;
    shares.files = std::min(FILES, all / 4);
    const std::size_t sockets = all - shares.files;
    const std::size_t outgoing = std::min(MAX_OUTGOING, sockets / 2);
    const std::size_t incoming = sockets - outgoing;
    shares.internal = outgoing / INTERNAL_DIVISOR;
    shares.targets = outgoing - shares.internal;
    shares.readiness = std::min(MAX_READINESS, incoming / 16);
    shares.metrics = std::min(MAX_METRICS, incoming / 16);
    shares.callers = incoming - shares.readiness - shares.metrics;
    return shares;
}

}  // namespace ebonymount
