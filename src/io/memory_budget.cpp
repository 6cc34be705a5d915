#include "io/memory_budget.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace ebonymount {
namespace {

/// Share of the limit down to which memory is released, so that accounts are not ordered anew for
/// every few bytes.
constexpr double RELEASED_TO_SHARE = 0.85;

/// Added to the time without progress, so that of accounts that progress all the time the largest
/// costs most.
constexpr Duration MIN_STALL = from_ms(1);

}  // namespace

MemoryAccount::MemoryAccount(std::shared_ptr<MemoryBudget> budget, std::function<void()> release)
    : m_budget(std::move(budget)),
      m_release(std::move(release)),
      m_last_progress(monotonic_now()) {}

MemoryAccount::~MemoryAccount() {
    m_budget->change(-m_bytes);
    m_budget->m_accounts.erase(this);
}

void MemoryAccount::record_progress(Time now) {
    m_last_progress = now;
}

bool MemoryAccount::must_wait() const {
    return m_budget->m_release_is_due;
}

void MemoryAccount::change(std::int64_t bytes) {
    m_bytes += bytes;
    m_budget->change(bytes);
}

double MemoryAccount::cost(Time now) const {
    const Duration stall = std::max(now - m_last_progress, Duration::zero()) + MIN_STALL;
    return static_cast<double>(m_bytes) * static_cast<double>(stall.count());
}

MemoryCharge::MemoryCharge(std::shared_ptr<MemoryAccount> account)
    : m_account(std::move(account)) {}

MemoryCharge::~MemoryCharge() {
    set(0);
}

MemoryCharge::MemoryCharge(MemoryCharge&& other) noexcept
    : m_account(std::move(other.m_account)), m_bytes(std::exchange(other.m_bytes, 0)) {}

MemoryCharge& MemoryCharge::operator=(MemoryCharge&& other) noexcept {
    if (this != &other) {
        set(0);
        m_account = std::move(other.m_account);
        m_bytes = std::exchange(other.m_bytes, 0);
    }
    return *this;
}

void MemoryCharge::set(std::size_t bytes) {
    const std::int64_t change = static_cast<std::int64_t>(bytes) - m_bytes;
    if (m_account != nullptr && change != 0) {
        m_bytes += change;
        m_account->change(change);
    }
}

void MemoryCharge::record_progress(Time now) {
    if (m_account != nullptr) {
        m_account->record_progress(now);
    }
}

bool MemoryCharge::must_wait() const {
    return m_account != nullptr && m_account->must_wait();
}

MemoryBudget::MemoryBudget(EventLoop& loop, std::int64_t limit_bytes)
    : m_loop(loop), m_limit_bytes(limit_bytes) {}

std::shared_ptr<MemoryBudget> MemoryBudget::create(EventLoop& loop, std::int64_t limit_bytes) {
    return std::shared_ptr<MemoryBudget>(new MemoryBudget(loop, limit_bytes));
}

std::shared_ptr<MemoryAccount> MemoryBudget::open_account(std::function<void()> release) {
    std::shared_ptr<MemoryAccount> account(
        new MemoryAccount(shared_from_this(), std::move(release)));
    m_accounts.insert(account.get());
    return account;
}

void MemoryBudget::set_limit(std::int64_t limit_bytes) {
    m_limit_bytes = limit_bytes;
    change(0);
}

std::int64_t MemoryBudget::held_bytes() const {
    return m_held_bytes;
}

bool MemoryBudget::is_exceeded() const {
    return m_held_bytes > m_limit_bytes;
}

std::int64_t MemoryBudget::releases() const {
    return m_releases;
}

void MemoryBudget::change(std::int64_t bytes) {
    m_held_bytes += bytes;
    if (is_exceeded() && !m_release_is_due) {
        m_release_is_due = true;
        // Posted, because the account that is charged now may be one of those to release.
        const std::weak_ptr<MemoryBudget> weak = weak_from_this();
        m_loop.post([weak] {
            const std::shared_ptr<MemoryBudget> budget = weak.lock();
            if (budget != nullptr) {
                budget->release_most_costly();
            }
        });
    }
}

void MemoryBudget::release_most_costly() {
    m_release_is_due = false;
    if (!is_exceeded()) {
        return;
    }
    struct Candidate {
        double cost = 0.0;
        std::weak_ptr<MemoryAccount> account;
    };
    const Time now = monotonic_now();
    std::vector<Candidate> candidates;
    for (MemoryAccount* account : m_accounts) {
        if (account->m_bytes > 0) {
            candidates.push_back({account->cost(now), account->weak_from_this()});
        }
    }
    std::sort(candidates.begin(), candidates.end(),
              [](const Candidate& left, const Candidate& right) { return left.cost > right.cost; });
    const std::int64_t target =
        static_cast<std::int64_t>(static_cast<double>(m_limit_bytes) * RELEASED_TO_SHARE);
    for (const Candidate& candidate : candidates) {
        if (m_held_bytes <= target) {
            break;
        }
        const std::shared_ptr<MemoryAccount> account = candidate.account.lock();
        if (account != nullptr) {
            ++m_releases;
            const std::function<void()> release = account->m_release;
            release();
        }
    }
}

}  // namespace ebonymount
