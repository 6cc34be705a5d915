#include "scenario/explore.h"

namespace ebonymount {

const std::vector<Exploration>& explorations() {
    static const std::vector<Exploration> all = {{"seats", explore_leases},
                                                 {"claims", explore_idempotency},
                                                 {"gather", explore_gather},
                                                 {"exchange", explore_gossip},
                                                 {"admission", explore_admission}};
    return all;
}

}  // namespace ebonymount
