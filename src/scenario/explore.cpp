#include "scenario/explore.h"

namespace ebonymount {

const std::vector<Exploration>& explorations() {
    static const std::vector<Exploration> all = {{"seats", explore_seats},
                                                 {"claims", explore_claims},
                                                 {"gather", explore_gather},
                                                 {"exchange", explore_exchange},
                                                 {"admission", explore_admission}};
    return all;
}

}  // namespace ebonymount
