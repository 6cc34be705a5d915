// Catch2's main, built once for all test programs.
#define CATCH_CONFIG_MAIN
#include <catch2/catch.hpp>
