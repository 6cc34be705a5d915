#include "policy/out_of_service.h"

#include "policy/store_return.h"

namespace ebonymount {

void replace_all(OutOfService& state, const std::vector<std::string>& list, bool after_return,
                 Time now) {
    const std::set<std::string> listed(list.begin(), list.end());
    std::map<std::string, Time> unconfirmed;
    for (const std::string& data_centre : state.data_centres) {
        if (listed.count(data_centre) > 0) {
            continue;
        }
        const auto waiting = state.unconfirmed.find(data_centre);
        if (after_return) {
            unconfirmed.emplace(data_centre, now + OPERATOR_REWRITE_TIME);
        } else if (waiting != state.unconfirmed.end()) {
            unconfirmed.insert(*waiting);
        }
    }
    state.data_centres = listed;
    for (const auto& [data_centre, until] : unconfirmed) {
        state.data_centres.insert(data_centre);
    }
    state.unconfirmed.swap(unconfirmed);
}

void take_out(OutOfService& state, const std::string& data_centre) {
    state.data_centres.insert(data_centre);
    state.unconfirmed.erase(data_centre);
}

void put_back(OutOfService& state, const std::string& data_centre) {
    state.data_centres.erase(data_centre);
    state.unconfirmed.erase(data_centre);
}

void keep_out(OutOfService& state, const std::string& data_centre, Time until) {
    if (state.data_centres.insert(data_centre).second) {
        state.unconfirmed.emplace(data_centre, until);
    }
}

std::vector<std::string> expire_unconfirmed(OutOfService& state, Time now) {
    std::vector<std::string> expired;
    for (const auto& [data_centre, until] : state.unconfirmed) {
        if (until <= now) {
            expired.push_back(data_centre);
        }
    }
    for (const std::string& data_centre : expired) {
        put_back(state, data_centre);
    }
    return expired;
}

}  // namespace ebonymount
