// Claims idempotency keys of non-idempotent requests in the platform's store, many keys per write.
//
// Requests for a bucket that arrive while a write to it is in flight are batched into the next
// write. Outcomes are recorded in the background and retried until the platform stores them.
#pragma once

#include <condition_variable>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "base/result.h"
#include "cluster/idempotency_machine.h"
#include "io/platform_client.h"
#include "node/node_state.h"

namespace ebonymount {

class IdempotencyStore {
public:
    IdempotencyStore(NodeState& state, PlatformClient& platform);
    ~IdempotencyStore();
    IdempotencyStore(const IdempotencyStore&) = delete;
    IdempotencyStore& operator=(const IdempotencyStore&) = delete;
    IdempotencyStore(IdempotencyStore&&) = delete;
    IdempotencyStore& operator=(IdempotencyStore&&) = delete;

    /// Claims a key. Blocks until the platform has confirmed the record or the claim has failed;
    /// after `deadline` no further call to the platform is started. After an error the request must
    /// not be sent. The record may still have been stored, so it is set to `not_run` in the
    /// background.
    Result<ClaimDecision> claim(const std::string& service, const KeyClaim& key_claim,
                                Duration retention, Time deadline);

    /// Records the outcome of a claimed key's request. Does not wait for the platform.
    void record(const std::string& service, const IdempotencyUpdate& update);

    /// Waits until all outcomes are recorded, at most for `timeout`, then ends the thread.
    void stop(Duration timeout);

private:
    struct PendingClaim {
        KeyClaim key_claim;
        Duration retention{};
        Time deadline{};
        std::optional<Result<ClaimDecision>> result;
    };
    struct Bucket {
        std::vector<std::shared_ptr<PendingClaim>> pending_claims;
        std::vector<IdempotencyUpdate> updates;
        bool write_in_flight = false;
        IdempotencyMachine machine;
    };

    void write_pending(const std::string& name, std::unique_lock<std::mutex>& lock);
    BatchDone store(const std::string& name, IdempotencyMachine& machine,
                    const IdempotencyBatch& batch, Time deadline);
    BucketRead read_bucket(const std::string& name, const ReadBucket& read);
    BucketWritten write_bucket(const std::string& name, const WriteBucket& write);
    void run();
    std::string next_bucket_with_updates() const;

    NodeState& m_state;
    PlatformClient& m_platform;
    Counter& m_writes;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, Bucket> m_buckets;
    bool m_stopping = false;
    std::thread m_thread;
};

}  // namespace ebonymount
