// Documents about nodes: the platform's host list, and what nodes tell each other.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "cluster/gossip.h"
#include "io/documents.h"

namespace ebonymount {

/// The platform's host list.
Result<std::vector<Peer>> hosts_from(const Json& document);

/// MessagePack of an exchange between nodes, and back.
std::string encode(const GossipMessage& message);
Result<GossipMessage> decode_gossip(std::string_view bytes);

}  // namespace ebonymount
