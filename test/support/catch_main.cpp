// Catch2's main, built once for all test programs.
#include "catch_main.h"

#include <iostream>

#include "io/exception_guard.h"
#define CATCH_CONFIG_RUNNER
#include <catch2/catch.hpp>

namespace ebonymount {
namespace {

std::int64_t& expected() {
    static std::int64_t exceptions = 0;
    return exceptions;
}

}  // namespace

void expect_exceptions(std::int64_t count) {
    expected() += count;
}

}  // namespace ebonymount

int main(int argc, char** argv) {
    const int result = Catch::Session().run(argc, argv);
    const std::int64_t caught = ebonymount::caught_exceptions();
    if (caught != ebonymount::expected()) {
        std::cerr << "exceptions caught by guards: " << caught << ", expected "
                  << ebonymount::expected() << "\n";
        return 1;
    }
    return result;
}
