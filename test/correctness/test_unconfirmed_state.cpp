// What nodes tell each other of state that the store has lost.
#include <catch2/catch.hpp>

#include "front/unconfirmed_state.h"
#include "policy/store_return.h"

namespace ebonymount {

TEST_CASE("an answer is read as it was written") {
    const UnconfirmedState state = {{{"t-1", from_ms(3000)}, {"t \"2\"", Duration::zero()}},
                                    {{"north", from_ms(20000)}},
                                    R"({"version":8})",
                                    4};
    for (const StateAnswer& answer : {StateAnswer{StateAnswer::Status::complete, state},
                                      StateAnswer{StateAnswer::Status::complete, {}},
                                      StateAnswer{StateAnswer::Status::not_yet, {}},
                                      StateAnswer{StateAnswer::Status::unknown, {}}}) {
        CHECK(decode_state_answer(encode(answer)) == answer);
    }
    for (const std::int64_t era : {UNKNOWN_ERA, std::int64_t{0}, MAX_ERA}) {
        CHECK(decode_state_request(encode_state_request(era)) == era);
    }
}

// Guards against a broken answer that is believed, or that ends the process.
TEST_CASE("an answer that cannot be read counts as none") {
    const std::string too_long = std::to_string((OPERATOR_REWRITE_TIME + from_ms(1)).count());
    for (const std::string& text : std::vector<std::string>{
             "{}", "[1]", "no JSON", R"({"targets_us":{"t":-1}})",
             R"({"targets_us":{"t":)" + too_long +
                 R"(},"data_centres_us":{},"config":"","config_era":1})",
             R"({"targets_us":{},"data_centres_us":{},"config":"","config_era":-2})",
             R"({"targets_us":{},"data_centres_us":{},"config":1,"config_era":1})",
             R"({"targets_us":7,"data_centres_us":{},"config":"","config_era":1})"}) {
        CAPTURE(text);
        CHECK(decode_state_answer(text) == StateAnswer{});
    }
    for (const char* text : {"", "1", R"({"era":"1"})", R"({"era":-2})", "{}"}) {
        CAPTURE(text);
        CHECK_FALSE(decode_state_request(text).has_value());
    }
}

}  // namespace ebonymount
