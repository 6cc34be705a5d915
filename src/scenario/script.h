// Scripted scenarios: timed steps and expected outcomes, in JSON with comments.
//
// Each script has a `name`, the `promise` it checks, a `kind` and `steps`. A step has `at_ms`, at
// most one action and at most one `expect`. Kind "gather" drives one request; kind "seats" drives
// nodes that compete for the lease of a target group. docs/SCENARIOS.md lists the steps of each
// kind.
//
// In `twin` a script may name one mechanism. Its mutant, the same script with this mechanism
// disabled, must fail. This shows that the checks do not pass without the mechanism.
#pragma once

#include <string>
#include <vector>

#include "base/result.h"
#include "io/documents.h"

namespace ebonymount {

/// Result of a script and its mutant.
struct ScriptResult {
    std::string name;
    /// Differences from the expected outcomes; empty when there are none.
    std::vector<std::string> differences;
    /// True when the script has a mutant and the mutant failed, as it must.
    bool mutant_failed = false;
    bool has_mutant = false;
};

/// True when the script ended as expected and its mutant, if it has one, failed.
bool passed(const ScriptResult& result);

/// Runs a script and its mutant. The error names the invalid part of the script.
Result<ScriptResult> run_script(const Json& script);

/// Runs only the steps of a script and returns the differences from the expected outcomes.
/// `disabled_mechanism` names the mechanism to disable; empty for none.
std::vector<std::string> run_gather_script(const Json& script,
                                           const std::string& disabled_mechanism);
std::vector<std::string> run_lease_script(const Json& script,
                                          const std::string& disabled_mechanism);

}  // namespace ebonymount
