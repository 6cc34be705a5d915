#include "policy/known_nodes.h"

#include "policy/store_return.h"

namespace ebonymount {

void replace_all(KnownNodes& nodes, const std::vector<Member>& list, bool after_return, Time now) {
    if (after_return) {
        nodes.kept_until = now + REWRITE_TIME;
    }
    std::map<std::string, Member> members;
    for (const Member& member : list) {
        members.insert_or_assign(member.node, member);
    }
    if (now < nodes.kept_until) {
        members.merge(nodes.members);
    }
    nodes.members.swap(members);
}

}  // namespace ebonymount
