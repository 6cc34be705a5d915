#include "policy/store_position.h"

namespace ebonymount {

std::string describe(const StorePosition& position) {
    const std::string era = position.era == UNKNOWN_ERA ? "-" : std::to_string(position.era);
    return era + "/" + std::to_string(position.revision);
}

}  // namespace ebonymount
