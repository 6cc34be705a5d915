// Trials of quarantined requests.
//
// A quarantined request is sent to no target, so no answer can refute its crashes, although all
// targets that ran a common request may have crashed for a reason of their own. Some seconds after
// the last crash, one attempt is therefore let through. An answer ends the quarantine; another
// crash leaves it in force. Trials are numbered over all nodes, and a node makes one only once it
// has created the object of that number in the platform's store, which one node can. While the
// store is unavailable, one more trial exists, on which nodes vote (`policy/trial_vote.h`). So a
// request that does crash its targets reaches few more of them, however many nodes see it.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "policy/crash_quarantine.h"

namespace ebonymount {

/// Trials of one request until its crashes are forgotten or refuted.
constexpr std::int64_t MAX_TRIALS = 2;

/// Number of the trial that nodes vote on. It is none that a node claims in the store, so both
/// kinds together have a bound, even if a node knows no claims of the other kind. Where it does,
/// they count toward `MAX_TRIALS` together.
constexpr std::int64_t VOTED_TRIAL = MAX_TRIALS + 1;

/// Pause before a claim is tried again after the store and the other nodes have failed to grant it.
constexpr Duration FAILED_CLAIM_PAUSE = from_ms(1000);

/// Pause before a trial, after the last crash or claim. By then the targets that crashed are back,
/// and all nodes know of the crash.
constexpr Duration TRIAL_DELAY = from_ms(5000);

/// Progress of a trial that this node has claimed.
enum class TrialPhase : std::uint8_t {
    claiming,  ///< The store has not answered yet.
    granted,   ///< The next request with that fingerprint is the trial.
    running,   ///< An attempt has been started.
};

/// How the attempt of a trial ended.
enum class TrialEnd : std::uint8_t {
    not_sent,  ///< It reached no target; the next request is the trial.
    refused,   ///< A target turned it away; the next request is the trial, but only once.
    done,      ///< It may have run.
};

struct OwnTrial {
    std::int64_t number = 0;
    TrialPhase phase = TrialPhase::claiming;
    bool was_refused = false;

    friend bool operator==(const OwnTrial&, const OwnTrial&) = default;
};

/// Trials by fingerprint of the request.
struct QuarantineTrials {
    /// Numbers that a node has claimed, and when this node learned of it.
    std::unordered_map<std::uint64_t, std::map<std::int64_t, Time>> claims;
    /// Trials of this node.
    std::unordered_map<std::uint64_t, OwnTrial> own;
    /// Claims that failed are not tried again before that time.
    std::unordered_map<std::uint64_t, Time> paused_until;
};

/// A claim as nodes report it to each other: the name of an object in the platform's store.
struct TrialClaim {
    std::uint64_t request = 0;
    std::int64_t number = 0;

    friend bool operator==(const TrialClaim&, const TrialClaim&) = default;
};
std::string trial_claim_name(const TrialClaim& claim);
/// Parses an object name made by `trial_claim_name`; empty for any other name.
std::optional<TrialClaim> parse_trial_claim(const std::string& name);

/// A node has claimed that trial, or its claim has been removed.
void add_claim(QuarantineTrials& trials, const TrialClaim& claim, Time now);
void remove_claim(QuarantineTrials& trials, const TrialClaim& claim);

/// When the next trial of the request may be claimed by this node; empty if none is left.
std::optional<Time> next_trial_at(const QuarantineTrials& trials, const CrashQuarantine& quarantine,
                                  std::uint64_t request);

/// Begins to claim the next trial, if it is due and this node has none in progress.
std::optional<TrialClaim> begin_claim(QuarantineTrials& trials, const CrashQuarantine& quarantine,
                                      std::uint64_t request, Time now);

/// The store has answered the claim; not granted means that another node has the number.
void end_claim(QuarantineTrials& trials, const TrialClaim& claim, bool granted);

/// The store has not answered the claim, and this node has not been granted the trial otherwise.
void fail_claim(QuarantineTrials& trials, const TrialClaim& claim, Time now);

/// The store has not answered the claim, but the other nodes have voted for this one. Returns the
/// claim of `VOTED_TRIAL`, or nothing if the claim has ended meanwhile.
std::optional<TrialClaim> grant_by_vote(QuarantineTrials& trials, const TrialClaim& claim,
                                        Time now);

/// Gives up the trials of this node that no request has taken yet and whose claims are not among
/// those in the store, and returns these claims.
std::vector<TrialClaim> void_unused_trials(QuarantineTrials& trials,
                                           const std::set<std::string>& claims_in_store);

/// True if this request is the trial; the caller must report its end.
bool take_trial(QuarantineTrials& trials, std::uint64_t request);
void end_trial(QuarantineTrials& trials, std::uint64_t request, TrialEnd end);

}  // namespace ebonymount
