#include "policy/record_merge.h"

#include <algorithm>
#include <functional>

namespace ebonymount {

std::string merge_records(const std::vector<std::string_view>& parts, std::size_t max_records) {
    std::vector<std::string_view> records;
    for (const std::string_view part : parts) {
        for (std::size_t offset = 0; offset + RECORD_BYTES <= part.size(); offset += RECORD_BYTES) {
            records.push_back(part.substr(offset, RECORD_BYTES));
        }
    }
    const std::size_t kept_count = std::min(max_records, records.size());
    // std::char_traits<char> compares as unsigned bytes.
    std::partial_sort(records.begin(), records.begin() + static_cast<std::ptrdiff_t>(kept_count),
                      records.end(), std::greater<>());
    std::string merged;
    merged.reserve(kept_count * RECORD_BYTES);
    for (std::size_t i = 0; i < kept_count; ++i) {
        merged.append(records[i]);
    }
    return merged;
}

}  // namespace ebonymount
