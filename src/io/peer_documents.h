// Documents about nodes: the platform's host list, and the gossip messages between nodes.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "cluster/gossip.h"
#include "io/documents.h"

namespace ebonymount {

/// Reads the platform's host list.
Result<std::vector<Peer>> hosts_from(const Json& document);

/// Encodes a gossip message as MessagePack, and decodes it. A message that is not MessagePack gives
/// `ErrorCode::protocol`, other faults `ErrorCode::invalid_input`.
std::string encode(const GossipMessage& message);
Result<GossipMessage> decode_gossip(std::string_view bytes);

}  // namespace ebonymount
