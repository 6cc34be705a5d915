// A target that refuses requests, and sends a second copy of a refusal late: in front of its
// response to the next request on the connection.
#pragma once

#include <map>
#include <memory>
#include <string>

#include "io/http_message.h"
#include "io/http_status.h"
#include "platform/names.h"
#include "raw_peer.h"

namespace ebonymount {

/// Plays the target on the test's loop, with a connection that is kept for each peer.
class CopyingTarget {
public:
    /// How it refuses.
    struct Refusal {
        int status = http::UNAVAILABLE;
        /// Refusals name the request that they belong to.
        bool has_id = true;
        /// Of the sendings of one request, this many are refused.
        int per_request = 1;
        /// Header that refusals carry besides.
        HttpHeader header;
    };

    CopyingTarget(EventLoop& loop, Refusal refusal)
        : m_loop(loop), m_refusal(std::move(refusal)), m_server(std::make_shared<RawServer>(loop)) {
        m_server->on_peer = [this](RawPeer& peer) {
            const std::shared_ptr<Link> link = std::make_shared<Link>();
            peer.on_bytes = [this, &peer, link] {
                on_bytes(peer.shared_from_this(), *link);
            };
        };
        m_server->watch();
    }

    std::string address() const {
        return m_server->address();
    }

    /// How often each request has run, by its id.
    std::map<std::string, int> runs;
    /// Number of late copies that were sent.
    int copies = 0;

private:
    /// Time to run a request, in which a copy of an earlier response is read alone.
    static constexpr Duration RUN_TIME = from_ms(60);

    struct Link {
        HttpRequestReader reader{HttpLimits{}};
        /// Copy of the last refusal, to be sent late; empty if there is none.
        std::string copy;
    };

    void on_bytes(const std::shared_ptr<RawPeer>& peer, Link& link) {
        while (link.reader.consume(peer->received) == ReadState::complete) {
            serve(peer, link, link.reader.take());
        }
    }

    void serve(const std::shared_ptr<RawPeer>& peer, Link& link,
               const HttpRequestMessage& request) {
        const std::string id(find_header(request.headers, platform::names::REQUEST_ID));
        if (!link.copy.empty()) {
            ++copies;
            peer->send(std::exchange(link.copy, std::string()));
        }
        if (m_refused[id] < m_refusal.per_request) {
            ++m_refused[id];
            link.copy = encode(refusal(id), false);
            peer->send(link.copy);
            return;
        }
        ++runs[id];
        m_loop.run_at(monotonic_now() + RUN_TIME, [peer, id] {
            if (!peer->ended) {
                peer->send(encode(success(id), false));
            }
        });
    }

    HttpResponseMessage refusal(const std::string& id) const {
        HttpResponseMessage response;
        response.status = m_refusal.status;
        response.headers.push_back({platform::names::NOT_EXECUTED, "1"});
        if (m_refusal.has_id) {
            response.headers.push_back({platform::names::REQUEST_ID, id});
        }
        if (!m_refusal.header.name.empty()) {
            response.headers.push_back(m_refusal.header);
        }
        return response;
    }

    static HttpResponseMessage success(const std::string& id) {
        HttpResponseMessage response;
        response.status = http::OK;
        response.headers.push_back({platform::names::REQUEST_ID, id});
        response.headers.push_back({platform::names::SIGNATURE, "run." + id});
        response.body = "done";
        return response;
    }

    EventLoop& m_loop;
    Refusal m_refusal;
    std::map<std::string, int> m_refused;
    std::shared_ptr<RawServer> m_server;
};

}  // namespace ebonymount
