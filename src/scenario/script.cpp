#include "scenario/script.h"

#include "base/check.h"
#include "io/json_reader.h"

namespace ebonymount {
namespace {

std::vector<std::string> run_kind(const Json& script, const std::string& kind,
                                  const std::string& disabled_mechanism) {
    if (kind == "gather") {
        return run_gather_script(script, disabled_mechanism);
    }
    user_check(kind == "seats") << "kind is \"" << kind << "\", allowed is gather or seats";
    return run_lease_script(script, disabled_mechanism);
}

}  // namespace

bool passed(const ScriptResult& result) {
    return result.differences.empty() && (!result.has_mutant || result.mutant_failed);
}

Result<ScriptResult> run_script(const Json& script) {
    try {
        JsonReader reader(script, "script");
        ScriptResult result;
        result.name = reader.text("name");
        const std::string kind = reader.text("kind");
        reader.text("promise");
        reader.array("steps");
        result.differences = run_kind(script, kind, "");
        if (reader.find("twin") != nullptr) {
            result.has_mutant = true;
            result.mutant_failed = !run_kind(script, kind, reader.text("twin")).empty();
        }
        return result;
    } catch (const UserError& error) {
        return Error{ErrorCode::invalid_input, error.what(), "script"};
    } catch (const Json::exception& error) {
        return Error{ErrorCode::invalid_input, error.what(), "script"};
    }
}

}  // namespace ebonymount
