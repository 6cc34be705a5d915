// Addresses from outside are never looked up by name: a look-up blocks the event loop, and with it
// every request of the node, until a name server answers or is given up.
#include <netdb.h>
#include <catch2/catch.hpp>

#include "platform/settings.h"
#include "platform/store_calls.h"

namespace {

int& lookups() {
    static int count = 0;
    return count;
}

}  // namespace

/// Takes the place of the system's resolver in this program.
extern "C" int getaddrinfo(const char* /*node*/, const char* /*service*/, const addrinfo* /*hints*/,
                           addrinfo** /*result*/) {
    ++lookups();
    return EAI_FAIL;
}

namespace ebonymount {

// Guards against an entry or registration whose address is a name, or looks like one.
TEST_CASE("an address that is no number is rejected without a look-up") {
    for (const char* text :
         {"host.example:80", "localhost:80", "10.0.0.300:80", "10..1:80", "1.2.3.4.5:80", "a:b",
          ":80", "10.0.0.1", "10.0.0.1:", "10.0.0.1:0", "10.0.0.1:65536", "10.0.0.1:80x",
          "10.0.0.1:http", "10.0.0.1:-1", "[::1]:80", "::1:80", "10.0.0.1:80:80", " 10.0.0.1:80"}) {
        CHECK_FALSE(platform::is_socket_address(text));
    }
    CHECK(platform::is_socket_address("10.0.0.1:80"));
    CHECK(platform::is_socket_address("127.0.0.1:65535"));
    CHECK(lookups() == 0);
}

TEST_CASE("an entry of another writer with a name for an address is rejected without a look-up") {
    const std::string spec =
        R"({"service": "s", "address": "host.example:80", "zone": "a", "version": "v", )"
        R"("max_concurrency": 2, "state": "ready", "cold_remaining_ms": 0, "sequence": 1})";
    CHECK_FALSE(has_value(platform::decode_target("i-1", spec)));
    CHECK(lookups() == 0);
}

}  // namespace ebonymount
