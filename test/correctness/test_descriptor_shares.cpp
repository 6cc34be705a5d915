// Shares of the descriptors of a process.
#include <catch2/catch.hpp>

#include "policy/descriptor_shares.h"

namespace ebonymount {
namespace {

std::size_t sum(const DescriptorShares& shares) {
    return shares.callers + shares.readiness + shares.metrics + shares.targets + shares.internal +
           shares.files;
}

}  // namespace

TEST_CASE("the shares of descriptors add up to the limit") {
    for (const std::int64_t limit : {128, 200, 777, 1024, 2048, 4100, 8192, 1000000}) {
        INFO(limit);
        CHECK(sum(share_descriptors(limit)) == static_cast<std::size_t>(limit));
    }
}

TEST_CASE("each use has descriptors, also with a useless limit") {
    for (const std::int64_t limit : {-5, 0, 1, 128, 4100}) {
        INFO(limit);
        const DescriptorShares shares = share_descriptors(limit);
        CHECK(shares.callers >= 20);
        CHECK(shares.targets >= 20);
        CHECK(shares.readiness >= 2);
        CHECK(shares.metrics >= 2);
        CHECK(shares.internal >= 4);
    }
}

TEST_CASE("what the process opens itself has a bounded share, and callers get the rest") {
    const DescriptorShares shares = share_descriptors(4100);
    CHECK(shares.files == 200);
    CHECK(shares.targets + shares.internal == 1000);
    CHECK(shares.callers + shares.readiness + shares.metrics == 2900);
}

}  // namespace ebonymount
