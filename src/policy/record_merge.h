// Merges the responses of a fan-out: the greatest records of all shards, in descending order.
#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace ebonymount {

/// Size of one record in bytes; shards send records in no particular order.
constexpr std::size_t RECORD_BYTES = 16;

/// The greatest `max_records` records of all parts, in descending byte order. Equal records are all
/// kept; an incomplete record at the end of a part is ignored.
std::string merge_records(const std::vector<std::string_view>& parts, std::size_t max_records);

}  // namespace ebonymount
