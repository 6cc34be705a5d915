// The table as CSV for spreadsheets: one line per cell, with the fields
// service, column, value, unit, protects. The first line is the header.
//
// Fields that contain a comma, a double quote or a line break are enclosed in double quotes, and a
// double quote within such a field is written twice.
#pragma once

#include <string>
#include <vector>

#include "base/result.h"
#include "policy/table.h"

namespace ebonymount {

/// All rows as CSV text.
std::string table_to_csv(const std::vector<ServiceRow>& rows);

/// Parses CSV text. Cells that are not listed keep their defaults. Errors give the line
/// number and the offending field.
Result<std::vector<ServiceRow>> table_from_csv(const std::string& text);

}  // namespace ebonymount
