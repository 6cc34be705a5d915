#include "base/verdict.h"

namespace ebonymount {

std::string_view name_of(Verdict verdict) {
    switch (verdict) {
        case Verdict::not_run:
            return "not_run";
        case Verdict::ran:
            return "ran";
        case Verdict::may_have_run:
            return "may_have_run";
    }
    return "may_have_run";
}

std::optional<Verdict> parse_verdict(std::string_view name) {
    for (const Verdict verdict : {Verdict::not_run, Verdict::ran, Verdict::may_have_run}) {
        if (name == name_of(verdict)) {
            return verdict;
        }
    }
    return std::nullopt;
}

Verdict combine(Verdict left, Verdict right) {
    if (left == Verdict::ran || right == Verdict::ran) {
        return Verdict::ran;
    }
    if (left == Verdict::may_have_run || right == Verdict::may_have_run) {
        return Verdict::may_have_run;
    }
    return Verdict::not_run;
}

}  // namespace ebonymount
