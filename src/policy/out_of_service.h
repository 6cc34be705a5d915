// Data centres that operators have taken out of service.
//
// Nothing is sent to the targets of such a data centre until it is put back into service. After the
// store has returned from an older copy, one that the copy does not name stays out of service until
// operators have had time to write it again.
#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "base/time.h"

namespace ebonymount {

struct OutOfService {
    /// All that are out of service, confirmed or not.
    std::set<std::string> data_centres;
    /// Those that an older copy of the store does not name, with the time at which they are put
    /// back into service.
    std::map<std::string, Time> unconfirmed;

    friend bool operator==(const OutOfService&, const OutOfService&) = default;
};

/// Applies a complete list. `after_return` is true if the store has returned from an older copy
/// since the list before it.
void replace_all(OutOfService& state, const std::vector<std::string>& list, bool after_return,
                 Time now);

/// Operators have taken a data centre out of service, or put it back.
void take_out(OutOfService& state, const std::string& data_centre);
void put_back(OutOfService& state, const std::string& data_centre);

/// Operators had taken a data centre out of service that an older copy does not name, as another
/// node knows: it is out until `until`.
void keep_out(OutOfService& state, const std::string& data_centre, Time until);

/// Puts back the unconfirmed ones that have waited long enough, and returns them.
std::vector<std::string> expire_unconfirmed(OutOfService& state, Time now);

}  // namespace ebonymount
