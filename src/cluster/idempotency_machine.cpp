#include "cluster/idempotency_machine.h"

namespace ebonymount {
namespace {

IdempotencyAction fail_batch() {
    return BatchDone{false, {}};
}

IdempotencyAction request_read(IdempotencyMachine& machine, const IdempotencyTimes& times,
                               bool after_pause) {
    machine.loaded = false;
    if (times.now >= times.deadline) {
        return fail_batch();
    }
    return ReadBucket{after_pause};
}

/// Applies the batch to the bucket's known content and chooses the next action.
IdempotencyAction apply(IdempotencyMachine& machine, const IdempotencyTimes& times) {
    machine.proposed = apply_batch(machine.content, machine.batch, times.wall_clock_s);
    if (machine.proposed.changed) {
        if (times.now >= times.deadline) {
            return fail_batch();
        }
        return WriteBucket{machine.version, machine.proposed.bucket};
    }
    // Other nodes may have changed these keys since the bucket was read, so the decisions need a
    // fresh read.
    if (!machine.fresh) {
        return request_read(machine, times, false);
    }
    return BatchDone{true, machine.proposed.decisions};
}

IdempotencyAction on_read(IdempotencyMachine& machine, const BucketRead& read,
                          const IdempotencyTimes& times) {
    if (read.status == StoreStatus::unknown) {
        return request_read(machine, times, true);
    }
    machine.loaded = true;
    machine.fresh = true;
    machine.version = read.version;
    machine.content = read.bucket;
    return apply(machine, times);
}

IdempotencyAction on_written(IdempotencyMachine& machine, const BucketWritten& written,
                             const IdempotencyTimes& times) {
    if (written.status != StoreStatus::done) {
        // Either another node wrote first, or the confirmation was lost.
        return request_read(machine, times, written.status == StoreStatus::unknown);
    }
    machine.version = written.version;
    machine.content = machine.proposed.bucket;
    return BatchDone{true, machine.proposed.decisions};
}

}  // namespace

IdempotencyAction step(IdempotencyMachine& machine, const IdempotencyEvent& event,
                       const IdempotencyTimes& times) {
    if (const BeginBatch* begin = std::get_if<BeginBatch>(&event)) {
        machine.batch = begin->batch;
        machine.fresh = false;
        return machine.loaded ? apply(machine, times) : request_read(machine, times, false);
    }
    if (const BucketRead* read = std::get_if<BucketRead>(&event)) {
        return on_read(machine, *read, times);
    }
    return on_written(machine, std::get<BucketWritten>(event), times);
}

}  // namespace ebonymount
