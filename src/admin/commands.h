// Operator commands of the administration API. Each changes state and returns the outcome.
#pragma once

#include <functional>
#include <string>

#include "base/result.h"
#include "io/documents.h"
#include "io/platform_client.h"
#include "node/node_state.h"

namespace ebonymount {

/// A draft of the next configuration and the generation that it is based on.
struct Draft {
    std::int64_t base_generation = 0;
    /// The configuration of that generation; comparing it with the accepted one shows what has
    /// changed since.
    Configuration base;
    Configuration configuration;
};

/// Name of the object that holds the draft.
constexpr const char* DRAFT_OBJECT = "draft/table";

/// Name prefix of the objects that hold accepted generations.
constexpr const char* HISTORY_PREFIX = "history/";

/// Reads the draft from the platform.
Result<Draft> read_draft(PlatformClient& platform);

class Commands {
public:
    /// `gossip_now` starts a gossip round at once. It is called after each change that peers must
    /// receive.
    Commands(NodeState& state, PlatformClient& platform, std::function<void()> gossip_now);

    /// Validates a draft and stores it. Fails with `conflict` if the draft is not based on the
    /// accepted generation, or if another draft is stored at the same time.
    Result<Json> put_draft(const std::string& text);

    /// Accepts the draft as the next generation. Refuses a draft that is based on an older
    /// generation with `conflict`; the error lists the changes accepted since.
    Result<Json> accept();

    /// Takes a data centre or host out of service. Works while the platform is down: the change
    /// then spreads by gossip and is stored once the platform responds again.
    Result<Json> take_out_of_service(bool is_data_centre, const std::string& name);

    /// Returns a data centre or host to service. Fails while the platform is down, and with
    /// `not_found` if the data centre or host is not out of service.
    Result<Json> return_to_service(bool is_data_centre, const std::string& name);

private:
    Result<Json> publish(const Configuration& accepted);
    std::string new_operation();

    NodeState& m_state;
    PlatformClient& m_platform;
    std::function<void()> m_gossip_now;
    std::mutex m_mutex;
    Random m_random;
};

}  // namespace ebonymount
