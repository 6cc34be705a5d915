// Bounds the memory that a process holds for its callers, over all connections and requests.
//
// Limits for each connection do not bound a process: a crowd of callers that are each within them
// can still hold more than the machine has. So whatever is held for a caller is charged to an
// account, and all accounts draw on one budget: received bytes, messages being read, requests being
// served, parts of targets' responses, and responses that the caller has not read. When the budget
// is exceeded, the accounts that cost most, in bytes times time without progress, release what they
// hold until there is room again.
//
// Everything here belongs to one event loop and is used on its thread only.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <unordered_set>

#include "base/time.h"
#include "io/event_loop.h"

namespace ebonymount {

class MemoryBudget;

/// What is held for one connection or one request.
class MemoryAccount : public std::enable_shared_from_this<MemoryAccount> {
public:
    ~MemoryAccount();
    MemoryAccount(const MemoryAccount&) = delete;
    MemoryAccount& operator=(const MemoryAccount&) = delete;
    MemoryAccount(MemoryAccount&&) = delete;
    MemoryAccount& operator=(MemoryAccount&&) = delete;

    /// Records that bytes were received or sent, so that the holder is not taken to be stalled.
    void record_progress(Time now);

    /// True from the moment at which the budget is exceeded until memory has been released, in the
    /// same round of the event loop. The holder should receive no more bytes in between.
    bool must_wait() const;

private:
    friend class MemoryBudget;
    friend class MemoryCharge;

    MemoryAccount(std::shared_ptr<MemoryBudget> budget, std::function<void()> release);
    void change(std::int64_t bytes);
    /// Bytes times microseconds without progress.
    double cost(Time now) const;

    std::shared_ptr<MemoryBudget> m_budget;
    std::function<void()> m_release;
    std::int64_t m_bytes = 0;
    Time m_last_progress;
};

/// Bytes charged to an account until they are changed or the charge is destroyed. A charge without
/// an account counts nothing.
class MemoryCharge {
public:
    MemoryCharge() = default;
    explicit MemoryCharge(std::shared_ptr<MemoryAccount> account);
    ~MemoryCharge();
    MemoryCharge(const MemoryCharge&) = delete;
    MemoryCharge& operator=(const MemoryCharge&) = delete;
    MemoryCharge(MemoryCharge&& other) noexcept;
    MemoryCharge& operator=(MemoryCharge&& other) noexcept;

    void set(std::size_t bytes);
    void record_progress(Time now);
    /// As `MemoryAccount::must_wait`.
    bool must_wait() const;

private:
    std::shared_ptr<MemoryAccount> m_account;
    std::int64_t m_bytes = 0;
};

class MemoryBudget : public std::enable_shared_from_this<MemoryBudget> {
public:
    static std::shared_ptr<MemoryBudget> create(EventLoop& loop, std::int64_t limit_bytes);

    /// Opens an account. `release` is called from the event loop, any number of times, when the
    /// account must let go of what it holds; it may destroy the account. It must not keep the
    /// account's holder alive.
    std::shared_ptr<MemoryAccount> open_account(std::function<void()> release);

    void set_limit(std::int64_t limit_bytes);

    std::int64_t held_bytes() const;
    bool is_exceeded() const;
    /// Number of accounts that had to release what they held.
    std::int64_t releases() const;

private:
    friend class MemoryAccount;

    MemoryBudget(EventLoop& loop, std::int64_t limit_bytes);
    void change(std::int64_t bytes);
    void release_most_costly();

    EventLoop& m_loop;
    std::int64_t m_limit_bytes;
    std::int64_t m_held_bytes = 0;
    std::int64_t m_releases = 0;
    bool m_release_is_due = false;
    std::unordered_set<MemoryAccount*> m_accounts;
};

}  // namespace ebonymount
