// Scripted scenarios: timed steps and stated outcomes, in JSON with comments.
//
// Each script has a `name`, the `promise` it proves, a `kind` and `steps`. A step has `at_ms`, at
// most one action and at most one `expect`. Kind "gather" drives one request, kind "seats" drives
// a group of nodes that compete for a seat. docs/SCENARIOS.md lists the steps of each kind.
//
// A script may state a `twin`: the same script with a mechanism switched off, which must fail, so
// that no check passes on nothing.
#pragma once

#include <string>
#include <vector>

#include "base/result.h"
#include "io/documents.h"

namespace ebonymount {

/// How a script ended.
struct ScriptResult {
    std::string name;
    /// What was not as stated; empty when all was.
    std::vector<std::string> differences;
    /// True when the script has a twin and the twin failed as it must.
    bool mutant_failed = false;
    bool has_mutant = false;
};

/// True when the script, and its twin if there is one, ended as stated.
bool passed(const ScriptResult& result);

/// Runs a script and its twin. The error says where the script cannot be read.
Result<ScriptResult> run_script(const Json& script);

/// Runs a script's steps only; `disabled_mechanism` names the mechanism that a twin goes without.
std::vector<std::string> run_gather_script(const Json& script,
                                           const std::string& disabled_mechanism);
std::vector<std::string> run_lease_script(const Json& script,
                                          const std::string& disabled_mechanism);

}  // namespace ebonymount
