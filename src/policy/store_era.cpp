#include "policy/store_era.h"

namespace ebonymount {

EraChange on_stated_era(StoreEra& era, std::int64_t stated, bool is_current_read, Time now) {
    if (stated == UNKNOWN_ERA) {
        return EraChange::none;
    }
    if (stated >= era.known) {
        const bool is_first = era.known == UNKNOWN_ERA;
        if (!is_first && stated - era.known > MAX_ERA_RISE) {
            return EraChange::ignored;
        }
        era.contradicting = UNKNOWN_ERA;
        if (stated == era.known) {
            return EraChange::none;
        }
        era.known = stated;
        return is_first ? EraChange::learned : EraChange::returned;
    }
    if (!is_current_read) {
        return EraChange::earlier;
    }
    if (era.contradicting != stated) {
        era.contradicting = stated;
        era.contradicted_since = now;
    }
    if (now - era.contradicted_since < ERA_CORRECTION_TIME) {
        return EraChange::earlier;
    }
    era = StoreEra{stated, UNKNOWN_ERA, Time{}};
    return EraChange::corrected;
}

}  // namespace ebonymount
