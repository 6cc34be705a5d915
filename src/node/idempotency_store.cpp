#include "node/idempotency_store.h"

#include <algorithm>
#include <chrono>

#include "io/documents.h"
#include "io/exception_guard.h"

namespace ebonymount {
namespace {

constexpr Duration RETRY_PAUSE = from_ms(50);

/// Time limit for storing one batch. Earlier deadlines of its claims shorten it.
constexpr Duration BATCH_TIMEOUT = from_ms(5000);

std::int64_t wall_clock_s() {
    return std::chrono::duration_cast<std::chrono::seconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

}  // namespace

IdempotencyStore::IdempotencyStore(NodeState& state, PlatformClient& platform)
    : m_state(state),
      m_platform(platform),
      m_writes(state.metrics().counter("ebonymount_claim_writes_total")) {
    m_thread = std::thread([this] { run_thread("idempotency", [this] { run(); }); });
}

IdempotencyStore::~IdempotencyStore() {
    stop(Duration::zero());
}

Result<ClaimDecision> IdempotencyStore::claim(const std::string& service, const KeyClaim& key_claim,
                                              Duration retention, Time deadline) {
    const std::string name = bucket_of(service, key_claim.key);
    const std::shared_ptr<PendingClaim> pending_claim = std::make_shared<PendingClaim>();
    pending_claim->key_claim = key_claim;
    pending_claim->retention = retention;
    pending_claim->deadline = deadline;
    std::unique_lock<std::mutex> lock(m_mutex);
    m_buckets[name].pending_claims.push_back(pending_claim);
    while (!pending_claim->result.has_value()) {
        if (!m_buckets[name].write_in_flight) {
            write_pending(name, lock);
        } else {
            m_changed.wait(lock);
        }
    }
    return *pending_claim->result;
}

void IdempotencyStore::record(const std::string& service, const IdempotencyUpdate& update) {
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_buckets[bucket_of(service, update.key)].updates.push_back(update);
    }
    m_changed.notify_all();
}

void IdempotencyStore::stop(Duration timeout) {
    {
        std::unique_lock<std::mutex> lock(m_mutex);
        const auto all_recorded = [this] {
            return next_bucket_with_updates().empty();
        };
        m_changed.wait_for(lock, timeout, all_recorded);
        m_stopping = true;
    }
    m_changed.notify_all();
    if (m_thread.joinable()) {
        m_thread.join();
    }
}

/// Writes all waiting claims and outcomes of a bucket as one batch. Called with the lock held; the
/// lock is released during the write.
void IdempotencyStore::write_pending(const std::string& name, std::unique_lock<std::mutex>& lock) {
    Bucket& bucket = m_buckets[name];
    bucket.write_in_flight = true;
    std::vector<std::shared_ptr<PendingClaim>> pending_claims;
    pending_claims.swap(bucket.pending_claims);
    IdempotencyBatch batch;
    batch.updates.swap(bucket.updates);
    Time deadline = monotonic_now() + BATCH_TIMEOUT;
    for (const std::shared_ptr<PendingClaim>& pending_claim : pending_claims) {
        batch.claims.push_back(pending_claim->key_claim);
        // The table may change between two claims; a record that is kept for too long does no harm.
        batch.retention_s =
            std::max(batch.retention_s.value_or(0), pending_claim->retention.count() / 1'000'000);
        deadline = std::min(deadline, pending_claim->deadline);
    }
    lock.unlock();
    const BatchDone done = store(name, bucket.machine, batch, deadline);
    lock.lock();
    bucket.write_in_flight = false;
    for (std::size_t index = 0; index < pending_claims.size(); ++index) {
        if (done.stored) {
            pending_claims[index]->result = done.decisions[index];
            continue;
        }
        pending_claims[index]->result =
            Error{ErrorCode::unavailable, "the platform did not confirm the idempotency record",
                  batch.claims[index].key};
        const KeyClaim& key_claim = batch.claims[index];
        bucket.updates.push_back(
            {key_claim.key, key_claim.claimant, IdempotencyState::not_run, ""});
    }
    if (!done.stored) {
        bucket.updates.insert(bucket.updates.end(), batch.updates.begin(), batch.updates.end());
    }
    m_changed.notify_all();
}

/// Runs the bucket's state machine until the batch has ended.
BatchDone IdempotencyStore::store(const std::string& name, IdempotencyMachine& machine,
                                  const IdempotencyBatch& batch, Time deadline) {
    IdempotencyEvent event = BeginBatch{batch};
    while (true) {
        const IdempotencyAction action =
            step(machine, event, {monotonic_now(), deadline, wall_clock_s()});
        if (const BatchDone* done = std::get_if<BatchDone>(&action)) {
            return *done;
        }
        if (const ReadBucket* read = std::get_if<ReadBucket>(&action)) {
            event = read_bucket(name, *read);
        } else {
            event = write_bucket(name, std::get<WriteBucket>(action));
        }
    }
}

BucketRead IdempotencyStore::read_bucket(const std::string& name, const ReadBucket& read) {
    if (read.after_pause) {
        std::this_thread::sleep_for(RETRY_PAUSE);
    }
    const PlatformRead response = m_platform.read(name);
    if (response.status != StoreStatus::done) {
        return {response.status, 0, {}};
    }
    const Result<Json> document = parse_json(response.object.value, name);
    const Result<IdempotencyBucket> content = has_value(document)
                                                  ? idempotency_bucket_from(value_of(document))
                                                  : Result<IdempotencyBucket>(error_of(document));
    if (!has_value(content)) {
        log_error("claims",
                  "An idempotency bucket cannot be parsed. " + describe(error_of(content)));
        return {StoreStatus::unknown, 0, {}};
    }
    return {StoreStatus::done, response.object.version, value_of(content)};
}

BucketWritten IdempotencyStore::write_bucket(const std::string& name, const WriteBucket& write) {
    ++m_writes;
    const PlatformWrite response =
        m_platform.write(name, write.version, to_document(write.bucket).dump());
    return {response.status, response.version};
}

void IdempotencyStore::run() {
    std::unique_lock<std::mutex> lock(m_mutex);
    while (!m_stopping) {
        const std::string name = next_bucket_with_updates();
        if (name.empty()) {
            m_changed.wait(lock);
            continue;
        }
        if (m_buckets[name].write_in_flight) {
            m_changed.wait_for(lock, RETRY_PAUSE);
            continue;
        }
        write_pending(name, lock);
    }
}

std::string IdempotencyStore::next_bucket_with_updates() const {
    for (const auto& [name, bucket] : m_buckets) {
        if (!bucket.updates.empty()) {
            return name;
        }
    }
    return "";
}

}  // namespace ebonymount
