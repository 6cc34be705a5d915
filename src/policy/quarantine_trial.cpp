#include "policy/quarantine_trial.h"

#include <algorithm>
#include <sstream>

namespace ebonymount {
namespace {

constexpr const char* NAME_PREFIX = "trial.";

}  // namespace

std::string trial_claim_name(const TrialClaim& claim) {
    return NAME_PREFIX + std::to_string(claim.request) + "." + std::to_string(claim.number);
}

std::optional<TrialClaim> parse_trial_claim(const std::string& name) {
    const std::string prefix = NAME_PREFIX;
    if (name.compare(0, prefix.size(), prefix) != 0) {
        return std::nullopt;
    }
    TrialClaim claim;
    std::istringstream text(name.substr(prefix.size()));
    char separator = 0;
    text >> claim.request >> separator >> claim.number;
    // The one spelling of a claim is the one that nodes create.
    return !text.fail() && trial_claim_name(claim) == name ? std::optional(claim) : std::nullopt;
}

void add_claim(QuarantineTrials& trials, const TrialClaim& claim, Time now) {
    trials.claims[claim.request].emplace(claim.number, now);
}

void remove_claim(QuarantineTrials& trials, const TrialClaim& claim) {
    // Its trial was granted, but the request has been answered, or its crashes are forgotten.
    const auto own = trials.own.find(claim.request);
    if (own != trials.own.end() && own->second.number == claim.number &&
        own->second.phase == TrialPhase::granted) {
        trials.own.erase(own);
    }
    const auto found = trials.claims.find(claim.request);
    if (found != trials.claims.end() && found->second.erase(claim.number) > 0 &&
        found->second.empty()) {
        trials.claims.erase(found);
    }
}

std::optional<Time> next_trial_at(const QuarantineTrials& trials, const CrashQuarantine& quarantine,
                                  std::uint64_t request) {
    const auto suspect = quarantine.suspects.find(request);
    if (suspect == quarantine.suspects.end() || trials.own.count(request) > 0) {
        return std::nullopt;
    }
    Time last = suspect->second.last_report_at;
    const auto claims = trials.claims.find(request);
    if (claims != trials.claims.end()) {
        if (static_cast<std::int64_t>(claims->second.size()) >= MAX_TRIALS) {
            return std::nullopt;
        }
        for (const auto& [number, learned_at] : claims->second) {
            last = std::max(last, learned_at);
        }
    }
    const auto paused = trials.paused_until.find(request);
    return paused == trials.paused_until.end() ? last + TRIAL_DELAY
                                               : std::max(last + TRIAL_DELAY, paused->second);
}

std::optional<TrialClaim> begin_claim(QuarantineTrials& trials, const CrashQuarantine& quarantine,
                                      std::uint64_t request, Time now) {
    const std::optional<Time> due = next_trial_at(trials, quarantine, request);
    if (!due.has_value() || now < *due) {
        return std::nullopt;
    }
    TrialClaim claim{request, 1};
    const auto claims = trials.claims.find(request);
    while (claims != trials.claims.end() && claims->second.count(claim.number) > 0) {
        ++claim.number;
    }
    trials.own[request] = {claim.number, TrialPhase::claiming, false};
    return claim;
}

void end_claim(QuarantineTrials& trials, const TrialClaim& claim, bool granted) {
    const auto own = trials.own.find(claim.request);
    if (own == trials.own.end() || own->second.number != claim.number) {
        return;
    }
    if (granted) {
        own->second.phase = TrialPhase::granted;
    } else {
        trials.own.erase(own);
    }
}

std::vector<TrialClaim> void_unused_trials(QuarantineTrials& trials,
                                           const std::set<std::string>& claims_in_store) {
    std::vector<TrialClaim> unused;
    for (const auto& [request, trial] : trials.own) {
        const TrialClaim claim = {request, trial.number};
        if (trial.phase != TrialPhase::running &&
            claims_in_store.count(trial_claim_name(claim)) == 0) {
            unused.push_back(claim);
        }
    }
    for (const TrialClaim& claim : unused) {
        trials.own.erase(claim.request);
        remove_claim(trials, claim);
    }
    return unused;
}

void fail_claim(QuarantineTrials& trials, const TrialClaim& claim, Time now) {
    end_claim(trials, claim, false);
    std::erase_if(trials.paused_until, [now](const auto& entry) { return entry.second <= now; });
    trials.paused_until[claim.request] = now + FAILED_CLAIM_PAUSE;
}

std::optional<TrialClaim> grant_by_vote(QuarantineTrials& trials, const TrialClaim& claim,
                                        Time now) {
    const auto own = trials.own.find(claim.request);
    if (own == trials.own.end() || own->second.number != claim.number ||
        own->second.phase != TrialPhase::claiming) {
        return std::nullopt;
    }
    const TrialClaim voted{claim.request, VOTED_TRIAL};
    own->second = {voted.number, TrialPhase::granted, false};
    add_claim(trials, voted, now);
    return voted;
}

bool take_trial(QuarantineTrials& trials, std::uint64_t request) {
    const auto own = trials.own.find(request);
    if (own == trials.own.end() || own->second.phase != TrialPhase::granted) {
        return false;
    }
    own->second.phase = TrialPhase::running;
    return true;
}

void end_trial(QuarantineTrials& trials, std::uint64_t request, TrialEnd end) {
    const auto own = trials.own.find(request);
    if (own == trials.own.end()) {
        return;
    }
    if (end == TrialEnd::done || (end == TrialEnd::refused && own->second.was_refused)) {
        trials.own.erase(own);
        return;
    }
    own->second.was_refused = own->second.was_refused || end == TrialEnd::refused;
    own->second.phase = TrialPhase::granted;
}

}  // namespace ebonymount
