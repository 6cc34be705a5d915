#include "policy/attempt.h"

namespace ebonymount {

const char* name_of(AttemptStatus status) {
    switch (status) {
        case AttemptStatus::answered:
            return "answered";
        case AttemptStatus::rejected:
            return "rejected";
        case AttemptStatus::overloaded:
            return "overloaded";
        case AttemptStatus::not_owner:
            return "not_owner";
        case AttemptStatus::out_of_service:
            return "out_of_service";
        case AttemptStatus::unreachable:
            return "unreachable";
        case AttemptStatus::shed:
            return "shed";
        case AttemptStatus::snapshot_missing:
            return "snapshot_missing";
        case AttemptStatus::target_lost:
            return "target_lost";
        case AttemptStatus::relay_lost:
            return "relay_lost";
        case AttemptStatus::timed_out:
            return "timed_out";
        case AttemptStatus::cancelled:
            return "cancelled";
    }
    return "unknown";
}

bool reached_target(AttemptStatus status) {
    switch (status) {
        case AttemptStatus::overloaded:
        case AttemptStatus::not_owner:
        case AttemptStatus::out_of_service:
        case AttemptStatus::unreachable:
            return false;
        default:
            return true;
    }
}

}  // namespace ebonymount
