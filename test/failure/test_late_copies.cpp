// Targets that send a second copy of a refusal late, where the response to the next request on the
// connection is expected. Checked is what the target ran and what callers were told.
#include <catch2/catch.hpp>
#include <map>
#include <vector>

#include "copying_target.h"
#include "front_fleet.h"

namespace ebonymount {
namespace {

constexpr std::size_t REQUESTS = 12;

struct Outcome {
    /// The status of each request, in the order in which they were sent.
    std::vector<int> statuses;
    std::map<std::string, int> runs;
    int copies = 0;
};

/// Sends requests to the only target of a service, one after the other.
Outcome send_requests(const CopyingTarget::Refusal& refusal, bool idempotent) {
    FrontFleet fleet(1);
    CopyingTarget target(fleet.loop(), refusal);
    fleet.register_target("booking", "booking-0", target.address());
    FleetRoute route{"book", {"booking"}};
    route.idempotent = idempotent;
    route.max_attempts = 3;
    fleet.start({route});
    Outcome outcome;
    const std::function<void()> send = [&] {
        fleet.send(0, "/book/" + std::to_string(outcome.statuses.size()),
                   [&](int status, const std::string& /*retry_after*/) {
                       outcome.statuses.push_back(status);
                       if (outcome.statuses.size() < REQUESTS) {
                           send();
                       }
                   });
    };
    REQUIRE(fleet.run_steps({{[&] { return fleet.is_ready(); }, send},
                             {[&] { return outcome.statuses.size() == REQUESTS; },
                              [] {
                              }}}));
    outcome.runs = target.runs;
    outcome.copies = target.copies;
    return outcome;
}

/// Each request ran once, and its caller received the response of that run.
void check_ran_once(const Outcome& outcome) {
    CHECK(outcome.runs.size() == REQUESTS);
    for (const auto& [id, runs] : outcome.runs) {
        INFO(id);
        CHECK(runs == 1);
    }
    CHECK(outcome.statuses == std::vector<int>(REQUESTS, http::OK));
}

}  // namespace

// Guards against a late copy of a refusal that is taken for the response to the next sending of the
// same request, which then runs again.
TEST_CASE("a late copy of a refusal does not repeat the request") {
    for (const int status : {http::UNAVAILABLE, http::TOO_MANY_REQUESTS}) {
        for (const bool idempotent : {false, true}) {
            INFO(status << " " << idempotent);
            CopyingTarget::Refusal refusal;
            refusal.status = status;
            check_ran_once(send_requests(refusal, idempotent));
        }
    }
}

// Guards against a late copy of a refusal that names no request and is taken for the response to
// the next request on the connection.
TEST_CASE("a late copy of a refusal without a request id does not repeat another request") {
    for (const bool idempotent : {false, true}) {
        INFO(idempotent);
        CopyingTarget::Refusal refusal;
        refusal.has_id = false;
        check_ran_once(send_requests(refusal, idempotent));
    }
}

}  // namespace ebonymount
