// Stand-in for the object API and host list of ebonymountd's platform, as a process.
//
// Usage: object_api_fake FILE, where FILE has "address", "objects" and "hosts".
#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>

#include "object_store.h"
#include "stop_signal.h"

namespace {

constexpr int THREADS = 256;

ebonymount::HandlerRequest put(const std::string& path, const std::string& name,
                               const std::string& body) {
    ebonymount::HandlerRequest call;
    call.method = "PUT";
    call.path = path;
    call.query["name"] = name;
    call.body = body;
    return call;
}

}  // namespace

int main(int argc, char** argv) {
    if (argc != 2) {
        std::cerr << "usage: object_api_fake FILE\n";
        return 2;
    }
    const sigset_t signals = standin::block_stop_signals();
    std::ifstream input(argv[1]);
    const nlohmann::json file = nlohmann::json::parse(input, nullptr, true, true);
    standin::ObjectStore store;
    for (const auto& [name, value] : file.at("objects").items()) {
        store.handle(put("/objects", name, value.dump()));
    }
    store.handle(put("/hosts", "", file.at("hosts").dump()));
    ebonymount::Result<std::unique_ptr<ebonymount::HttpServer>> server =
        ebonymount::HttpServer::start(
            {file.at("address").get<std::string>(), THREADS},
            [&store](const ebonymount::HandlerRequest& call) { return store.handle(call); });
    if (!ebonymount::has_value(server)) {
        std::cerr << ebonymount::describe(ebonymount::error_of(server)) << "\n";
        return 1;
    }
    standin::wait_for_stop(signals);
    return 0;
}
