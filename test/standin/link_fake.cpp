// Stand-in for the links between data centres, all in one process.
//
// Usage: link_fake FILE, where FILE has "control" and "links". The control address accepts
//   POST /set?match=TEXT   sets delay_ms (together with jitter_ms), cut=0|1 and frozen=0|1, each if
//                          given, on all links whose name contains TEXT
#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>
#include <thread>

#include "io/http_server.h"
#include "link.h"
#include "stop_signal.h"

namespace {

using Links = std::vector<std::shared_ptr<standin::Link>>;

constexpr int CONTROL_THREADS = 2;

standin::LinkParameters parameters_from(const nlohmann::json& document) {
    standin::LinkParameters parameters;
    parameters.name = document.at("name");
    parameters.listen = document.at("listen");
    parameters.forward = document.at("forward");
    parameters.delay_ms = document.at("delay_ms");
    parameters.jitter_ms = document.at("jitter_ms");
    return parameters;
}

void apply(standin::Link& link, const ebonymount::HandlerRequest& call) {
    if (!call.parameter("delay_ms").empty()) {
        link.set_delay(std::stod(call.parameter("delay_ms")),
                       std::stod(call.parameter("jitter_ms")));
    }
    if (!call.parameter("cut").empty()) {
        link.set_cut(call.parameter("cut") == "1");
    }
    if (!call.parameter("frozen").empty()) {
        link.set_frozen(call.parameter("frozen") == "1");
    }
}

ebonymount::HandlerResponse control(ebonymount::EventLoop& loop, const Links& links,
                                    const ebonymount::HandlerRequest& call) {
    int matched = 0;
    for (const std::shared_ptr<standin::Link>& link : links) {
        if (link->name().find(call.parameter("match")) != std::string::npos) {
            loop.post([link, call] { apply(*link, call); });
            ++matched;
        }
    }
    return ebonymount::make_response(200, "{\"matched\":" + std::to_string(matched) + "}");
}

}  // namespace

int main(int argc, char** argv) {
    if (argc != 2) {
        std::cerr << "usage: link_fake FILE\n";
        return 2;
    }
    const sigset_t signals = standin::block_stop_signals();
    std::ifstream input(argv[1]);
    const nlohmann::json file = nlohmann::json::parse(input, nullptr, true, true);
    ebonymount::EventLoop loop(ebonymount::LoopThread::caller);
    Links links;
    for (const nlohmann::json& document : file.at("links")) {
        links.push_back(standin::Link::open(loop, parameters_from(document)));
    }
    ebonymount::Result<std::unique_ptr<ebonymount::HttpServer>> server =
        ebonymount::HttpServer::start({file.at("control").get<std::string>(), CONTROL_THREADS},
                                      [&loop, &links](const ebonymount::HandlerRequest& call) {
                                          return control(loop, links, call);
                                      });
    if (!ebonymount::has_value(server)) {
        std::cerr << ebonymount::describe(ebonymount::error_of(server)) << "\n";
        return 1;
    }
    std::thread forwarding([&loop] { loop.run(); });
    standin::wait_for_stop(signals);
    loop.stop();
    forwarding.join();
    return 0;
}
