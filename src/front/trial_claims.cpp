#include "front/trial_claims.h"

#include "io/log_event.h"

namespace ebonymount {
namespace {

/// Retry-After of a request that is not tried again; its quarantine lasts for minutes.
constexpr Duration UNTRIED_RETRY = from_ms(60000);

/// Retry-After while a trial is claimed, which takes a call to the store.
constexpr Duration CLAIM_RETRY = from_ms(300);

const char* name_of(TrialEnd end) {
    switch (end) {
        case TrialEnd::not_sent:
            return "not_sent";
        case TrialEnd::refused:
            return "refused";
        case TrialEnd::done:
            return "done";
    }
    return "unknown";
}

}  // namespace

bool take_or_claim_trial(FrontState& front, std::uint64_t request) {
    if (take_trial(front.trials, request)) {
        return true;
    }
    const std::optional<TrialClaim> claim =
        begin_claim(front.trials, front.quarantine, request, monotonic_now());
    if (claim.has_value()) {
        front.on_trial_due(*claim);
    }
    return false;
}

Duration quarantine_retry_after(const FrontState& front, std::uint64_t request) {
    const std::optional<Time> due = next_trial_at(front.trials, front.quarantine, request);
    if (due.has_value()) {
        return std::max(*due - monotonic_now(), CLAIM_RETRY);
    }
    return front.trials.own.count(request) > 0 ? CLAIM_RETRY : UNTRIED_RETRY;
}

void report_trial_end(FrontState& front, std::uint64_t request, TrialEnd end) {
    end_trial(front.trials, request, end);
    LogEvent(LogLevel::info, "quarantine", "trial_ended")
        .add("fingerprint", std::to_string(request))
        .add("end", name_of(end))
        .write();
}

void withdraw_claims(FrontState& front, std::uint64_t request, const std::string& service) {
    const auto found = front.trials.claims.find(request);
    if (found == front.trials.claims.end()) {
        return;
    }
    const std::map<std::int64_t, Time> claims = found->second;
    for (const auto& [number, learned_at] : claims) {
        remove_claim(front.trials, {request, number});
        front.on_crash_refuted(trial_claim_name({request, number}));
    }
    front.on_trial_answered({request, service});
}

}  // namespace ebonymount
