// A node's copy of the platform's store objects, kept so that it can be passed on to other nodes.
//
// Updates of one kind may come from the store and from another node, in any order. The mirror
// accepts only what is newer than its own copy, so a late or stale source reverts nothing. What is
// newer is decided by the store's era before its revision: a list of a later era replaces the copy
// whatever its revision, and nothing of an earlier era is accepted after it.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/result.h"
#include "base/time.h"
#include "platform/store_calls.h"
#include "policy/reader_clock.h"
#include "policy/store_position.h"

namespace ebonymount {

/// A complete list of one kind, or changes to it.
struct KindUpdate {
    platform::Kind kind = platform::Kind::config;
    bool is_list = false;
    /// The store was unreachable before the list was read, so entries may have expired.
    bool after_outage = false;
    /// The store's position after this update.
    StorePosition position;
    std::vector<platform::StoredObject> objects;
    /// Set by `merge_update`, and not sent to other nodes: the store has returned from an older
    /// copy since this node's last list, which may have had entries that this one lacks for now.
    bool after_return = false;
    /// The changes, also those that a list shows, were made after this time; empty if that is not
    /// known. Not sent to followers.
    std::optional<Time> made_after{};

    friend bool operator==(const KindUpdate&, const KindUpdate&) = default;
};

/// One message from a node to its followers.
struct StoreUpdate {
    /// Empty in a heartbeat.
    std::optional<KindUpdate> change;
    StatedAge stated;
    /// The store failed a short time ago, so its recent data may be many seconds old.
    bool store_failed_recently = false;
    /// The node that reads the store and from which the sender's data comes; empty if unknown.
    std::string origin{};

    friend bool operator==(const StoreUpdate&, const StoreUpdate&) = default;
};

/// Encodes a message as one line of JSON that ends with a newline. The decoder expects the line
/// without the newline; a malformed line gives a `protocol` error.
std::string encode(const StoreUpdate& update);
Result<StoreUpdate> decode_store_update(std::string_view line);

/// Encodes a message in compressed form, for lists: when all nodes start at once, the readers'
/// links limit how soon they have their state. The decoder accepts both forms.
std::string encode_compressed(const StoreUpdate& update);

/// Objects of one kind as of a position of the store. Their revisions are of its era.
struct MirroredKind {
    std::map<std::string, platform::StoredObject> objects;
    StorePosition position;
    /// When a list was last read after an outage.
    std::optional<Time> listed_after_outage;
};

using StoreMirror = std::map<platform::Kind, MirroredKind>;

/// Applies an update to the mirror and returns the part of it to pass on: a list as a whole, unless
/// the mirrored copy is newer, and of changes only those newer than the mirrored objects. Empty if
/// there is nothing to pass on. An update without an era is compared by revisions, so it must not
/// come from a source that may have missed a return of the store. Changes are only applied to a
/// copy of their own era, as they do not say what the return has undone.
std::optional<KindUpdate> merge_update(StoreMirror& mirror, KindUpdate update, Time now);

/// Position of the mirrored copy of a kind; its revision is 0 if the kind has not been read.
StorePosition position_of(const StoreMirror& mirror, platform::Kind kind);

/// A later era than that was stated by mistake: lists of that era are newer than all copies.
void withdraw_eras_after(StoreMirror& mirror, std::int64_t era);

/// True when every kind has been read.
bool is_complete(const StoreMirror& mirror);

/// Position of each kind that a node has a copy of; other kinds are left out.
using KindPositions = std::map<platform::Kind, StorePosition>;

KindPositions positions_of(const StoreMirror& mirror);

/// What a node tells a reader when it begins to follow it.
struct FollowRequest {
    KindPositions known;
    /// The node reads eras, so an unknown one above means that its copy came without one. Earlier
    /// versions of this program do not read them.
    bool reads_eras = true;
    /// The node can decode compressed messages.
    bool accepts_compressed = false;

    friend bool operator==(const FollowRequest&, const FollowRequest&) = default;
};

/// Anything that the decoder cannot read counts as a kind without a copy.
std::string encode(const FollowRequest& request);
FollowRequest decode_follow_request(const std::string& text);

/// Encodes a node that offers its data. Empty if the text describes no node that can be followed.
std::string encode(const Member& node);
std::optional<Member> decode_member(const std::string& text);

/// Returns a list of each kind of which the mirrored copy is newer than the follower's.
std::vector<KindUpdate> lists_of(const StoreMirror& mirror, const FollowRequest& follower,
                                 Time now);

}  // namespace ebonymount
