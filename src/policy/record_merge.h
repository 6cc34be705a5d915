// Merges the parts of a fan-out: the greatest records of all shards, greatest first.
#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace ebonymount {

/// Bytes of one record; shards send records of this size in no order.
constexpr std::size_t RECORD_BYTES = 16;

/// The greatest `most` records of all parts, by byte order, greatest first. Equal records all
/// count; the rest of a part that is shorter than a record is not one.
std::string merge_records(const std::vector<std::string_view>& parts, std::size_t most);

}  // namespace ebonymount
