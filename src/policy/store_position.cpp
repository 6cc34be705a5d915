#include "policy/store_position.h"

namespace ebonymount {

StorePosition with_era_of(const StorePosition& position, const StorePosition& known) {
    return position.era == UNKNOWN_ERA ? StorePosition{known.era, position.revision} : position;
}

std::string describe(const StorePosition& position) {
    const std::string era = position.era == UNKNOWN_ERA ? "-" : std::to_string(position.era);
    return era + "/" + std::to_string(position.revision);
}

}  // namespace ebonymount
