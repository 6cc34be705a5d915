// What a node has read of the platform's store, kept so that it can be passed on to other nodes.
//
// News of one kind may come from the store and from another node, in any order. The mirror lets
// through only what is newer than what it has, so a late or stale source takes nothing back.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/result.h"
#include "base/time.h"
#include "platform/store_calls.h"

namespace ebonymount {

/// A complete list of one kind, or changes to it.
struct KindUpdate {
    platform::Kind kind = platform::Kind::config;
    bool is_list = false;
    /// The store was out of reach before the list was read, so entries may have lapsed.
    bool after_outage = false;
    /// The store's revision that the news brings a reader to.
    std::int64_t revision = 0;
    std::vector<platform::StoredObject> objects;

    friend bool operator==(const KindUpdate&, const KindUpdate&) = default;
};

/// One message from a node to those that follow it.
struct StoreUpdate {
    /// Empty in a heartbeat.
    std::optional<KindUpdate> change;
    /// Time since the sender, or the node that it follows, last heard the store.
    Duration age{};
    /// The store was in trouble a while ago, so its recent data may be many seconds old.
    bool in_trouble = false;

    friend bool operator==(const StoreUpdate&, const StoreUpdate&) = default;
};

/// One line of JSON with its line end, and back without it.
std::string encode(const StoreUpdate& update);
Result<StoreUpdate> decode_store_update(std::string_view line);

/// Objects of one kind as of a revision.
struct MirroredKind {
    std::map<std::string, platform::StoredObject> objects;
    std::int64_t revision = 0;
    /// When a list was last read after an outage.
    std::optional<Time> listed_after_outage;
};

using StoreMirror = std::map<platform::Kind, MirroredKind>;

/// Takes news in; returns the part of it that was new here, or nothing.
std::optional<KindUpdate> merge(StoreMirror& mirror, KindUpdate update, Time now);

/// Revision up to which a kind is known; 0 while it is not.
std::int64_t revision_of(const StoreMirror& mirror, platform::Kind kind);

/// True when every kind that nodes follow is known.
bool is_complete(const StoreMirror& mirror);

/// A list of each known kind, for a node that begins to follow.
std::vector<KindUpdate> lists_of(const StoreMirror& mirror, Time now);

}  // namespace ebonymount
