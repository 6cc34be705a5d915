// Start of a front's process while its surroundings change.
//
// A process starts at any moment: while its settings file is being rewritten, or while a connection
// of another process holds its port for a while. These end by themselves, so the start waits for
// them, and meanwhile the process obeys its signals. What does not pass is an error, as it names
// something that an operator has to mend.
#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include "base/result.h"
#include "front/front.h"
#include "platform/settings.h"

namespace ebonymount {

/// Reads and checks the settings file once.
Result<platform::ParsedSettings> read_front_settings(const std::string& path);

/// Reads the settings file until it is valid, for a few seconds at most or until a stop is
/// requested; then returns the last error.
Result<platform::ParsedSettings> wait_for_front_settings(const std::string& path,
                                                         const FrontSignals& signals);

/// Starts a front; while another socket holds one of its addresses, tries again until a stop is
/// requested or a minute and a half has passed. Any other error is returned at once.
Result<std::unique_ptr<Front>> start_when_address_is_free(const platform::Settings& settings,
                                                          const std::string& path,
                                                          std::int64_t metrics_port,
                                                          FrontSignals& signals);

}  // namespace ebonymount
