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
    /// The configuration of that generation. Shows what others have changed since.
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

    /// Validates a draft that is based on the accepted generation, and stores it.
    Result<Json> put_draft(const std::string& text);

    /// Accepts the draft. A draft based on an older generation is refused; the error lists the
    /// changes that were accepted since.
    Result<Json> accept();

    /// Takes a data centre or host out of service. Works while the platform is down: the change
    /// then spreads by gossip and is stored later.
    Result<Json> take_out_of_service(bool is_data_centre, const std::string& name);

    /// Returns a data centre or host to service. Needs the platform.
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
