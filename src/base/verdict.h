// Whether a request may have run at a target.
//
// The verdict is determined where the evidence is, at the socket to the target, and is passed
// unchanged to the caller. `not_run` needs evidence: the request was never sent, or the target
// refused it before it started. Every unknown case is `may_have_run`.
#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

namespace ebonymount {

enum class Verdict : std::uint8_t { not_run, ran, may_have_run };

/// Name of the verdict in responses to callers.
std::string_view name_of(Verdict verdict);

/// Parses a name made by `name_of`.
std::optional<Verdict> parse_verdict(std::string_view name);

/// The verdict over several attempts of one request: `ran` outweighs `may_have_run`, which
/// outweighs `not_run`.
Verdict combine(Verdict left, Verdict right);

}  // namespace ebonymount
