#include "policy/kind_contact.h"

#include <algorithm>

namespace ebonymount {

Time complete_at(const KindContact& frequent, const std::vector<KindContact>& others,
                 bool is_followed) {
    Time complete = frequent.complete_at;
    for (const KindContact& kind : others) {
        if (is_followed || kind.is_failing || kind.complete_at == Time{}) {
            complete = std::min(complete, kind.complete_at);
        }
    }
    return complete;
}

}  // namespace ebonymount
