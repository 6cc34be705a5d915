#include "policy/extra_load.h"

#include <algorithm>

namespace ebonymount {
namespace {

constexpr std::int64_t TOKEN = 1000;

}  // namespace

void earn(ExtraLoadBudget& budget, std::int64_t count, std::int64_t permille,
          std::int64_t most_saved) {
    budget.planned += count;
    budget.milli_tokens = std::min(budget.milli_tokens + count * permille, most_saved * TOKEN);
}

bool has_token(const ExtraLoadBudget& budget) {
    return budget.milli_tokens >= TOKEN;
}

bool try_spend(ExtraLoadBudget& budget) {
    if (!has_token(budget)) {
        return false;
    }
    budget.milli_tokens -= TOKEN;
    ++budget.extra;
    return true;
}

}  // namespace ebonymount
