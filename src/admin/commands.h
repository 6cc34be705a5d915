// Commands of operators: each changes something and says what came of it.
#pragma once

#include <functional>
#include <string>

#include "base/result.h"
#include "io/documents.h"
#include "io/platform_client.h"
#include "node/node_state.h"

namespace ebonymount {

/// A draft of the next configuration with the generation that it changes.
struct Draft {
    std::int64_t base_generation = 0;
    /// The configuration of that generation, to show what others have changed since.
    Configuration base;
    Configuration configuration;
};

/// Name of the object with the draft.
constexpr const char* DRAFT_OBJECT = "draft/table";

/// Prefix of the objects that keep accepted generations.
constexpr const char* HISTORY_PREFIX = "history/";

/// Reads the draft from the platform.
Result<Draft> read_draft(PlatformClient& platform);

class Commands {
public:
    /// `spread` tells peers at once; it is called after a change that they must hear of.
    Commands(NodeState& state, PlatformClient& platform, std::function<void()> spread);

    /// Checks and stores a draft over the accepted generation.
    Result<Json> put_draft(const std::string& text);

    /// Accepts the draft. A draft over an older generation is refused with the changes that were
    /// accepted meanwhile.
    Result<Json> accept();

    /// Takes a data centre or host out of service, also while the platform is down.
    Result<Json> take_out_of_service(bool is_data_centre, const std::string& name);

    /// Brings a data centre or host back; needs the platform.
    Result<Json> return_to_service(bool is_data_centre, const std::string& name);

private:
    Result<Json> publish(const Configuration& accepted);
    std::string new_operation();

    NodeState& m_state;
    PlatformClient& m_platform;
    std::function<void()> m_spread;
    std::mutex m_mutex;
    Random m_random;
};

}  // namespace ebonymount
