#include "front/startup.h"

#include <fstream>
#include <sstream>
#include <thread>

#include "io/log.h"

namespace ebonymount {
namespace {

/// How long a settings file may be incomplete.
constexpr Duration MAX_SETTINGS_WAIT = from_ms(3000);

/// How long an address may be in use. A connection holds it for a minute after its end.
constexpr Duration MAX_ADDRESS_WAIT = from_ms(90000);

constexpr Duration RETRY_INTERVAL = from_ms(50);

/// Pauses before the next try; false if the time is over or a stop was requested.
bool may_try_again(Time give_up_at, const FrontSignals& signals) {
    if (signals.stop || monotonic_now() >= give_up_at) {
        return false;
    }
    std::this_thread::sleep_for(RETRY_INTERVAL);
    return !signals.stop;
}

}  // namespace

Result<platform::ParsedSettings> read_front_settings(const std::string& path) {
    std::ifstream file(path);
    if (!file) {
        return Error{ErrorCode::not_found, "cannot read the settings file", path};
    }
    std::ostringstream text;
    text << file.rdbuf();
    return platform::parse_settings(text.str(), path);
}

Result<platform::ParsedSettings> wait_for_front_settings(const std::string& path,
                                                         const FrontSignals& signals) {
    const Time give_up_at = monotonic_now() + MAX_SETTINGS_WAIT;
    Result<platform::ParsedSettings> parsed = read_front_settings(path);
    while (!has_value(parsed) && may_try_again(give_up_at, signals)) {
        parsed = read_front_settings(path);
    }
    return parsed;
}

Result<std::unique_ptr<Front>> start_when_address_is_free(const platform::Settings& settings,
                                                          const std::string& path,
                                                          std::int64_t metrics_port,
                                                          FrontSignals& signals) {
    const Time give_up_at = monotonic_now() + MAX_ADDRESS_WAIT;
    bool has_warned = false;
    while (true) {
        Result<std::unique_ptr<Front>> front = Front::start(settings, path, metrics_port, signals);
        if (has_value(front) || error_of(front).code != ErrorCode::conflict) {
            return front;
        }
        if (!has_warned) {
            has_warned = true;
            log_warning("front", "waiting for an address: " + describe(error_of(front)));
            flush_log();
        }
        if (!may_try_again(give_up_at, signals)) {
            return front;
        }
    }
}

}  // namespace ebonymount
