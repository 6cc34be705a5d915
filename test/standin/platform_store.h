// Stand-in for the object store of the users' platform: lists, watches, conditional writes, and
// the faults that the platform's documentation names. Single-threaded, on the given event loop.
// `ObjectStore` is its counterpart for ebonymountd.
#pragma once

#include <functional>
#include <list>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "base/random.h"
#include "io/http_listener.h"

namespace standin {

/// Kinds of outage as clients see them: none, no response, connections reset, or status 503.
enum class Outage : std::uint8_t { none, silent, reset, busy };

/// Faults in effect.
struct PlatformFaults {
    Outage outage = Outage::none;
    /// Delay of each response.
    ebonymount::Duration response_time = ebonymount::from_ms(4);
    /// Share of the writes that take effect but whose response is lost.
    double lost_response_share = 0.0;
    /// Age of the data that stale reads return.
    ebonymount::Duration stale_by = ebonymount::from_ms(500);
    /// Stale reads return nothing that was written later.
    ebonymount::Time stale_until = ebonymount::Time::max();
    /// Stale reads are answered from the history before the latest return from a copy, with its
    /// era.
    bool stale_reads_are_of_earlier_era = false;
};

class PlatformStore {
public:
    /// Starts to listen; throws std::runtime_error if the address is taken.
    PlatformStore(ebonymount::EventLoop& loop, const std::string& address, std::uint64_t seed);
    /// Stops to listen, also if calls without a response keep their connections.
    ~PlatformStore();
    PlatformStore(const PlatformStore&) = delete;
    PlatformStore& operator=(const PlatformStore&) = delete;
    PlatformStore(PlatformStore&&) = delete;
    PlatformStore& operator=(PlatformStore&&) = delete;

    /// Writes an object, as the operator or a target does. The write is acknowledged on return.
    void put(const std::string& kind, const std::string& name, const nlohmann::json& spec);
    void remove(const std::string& kind, const std::string& name);

    void set_faults(const PlatformFaults& faults);
    const PlatformFaults& faults() const;

    /// Opens one more address of the store, so that its callers can be told from others.
    std::string open_address();
    /// Outage of calls for one kind that arrive at an address from `open_address`; other calls are
    /// answered.
    void set_kind_outage(const std::string& address, const std::string& kind, Outage outage);

    /// Drops the history, so that watches from an older revision get status 410 (Gone).
    void compact();

    /// Keeps a copy of the present state.
    void take_copy();
    /// Returns from that copy, or from the present state if none was taken: what was written since
    /// is gone, its revisions are given out again, watches from them get status 410 (Gone), and the
    /// era rises by one. The objects that were lost are returned by kind and name, so that their
    /// writers can write them again.
    std::vector<std::pair<std::string, std::string>> return_from_copy();

    /// Text of the header that states the era, instead of its number; without a value, there is no
    /// such header.
    void set_era_header(std::optional<std::string> text);

    /// The address, with the port that the system chose if the given port was 0.
    std::string address() const;

    /// Names of the objects of a kind.
    std::set<std::string> names(const std::string& kind) const;

    /// Number of calls received, including those that were refused.
    std::int64_t calls() const;

private:
    using Connection = std::shared_ptr<ebonymount::HttpServerConnection>;
    struct Change {
        std::string kind;
        std::string name;
        std::int64_t revision = 0;
        ebonymount::Time at{};
        bool removed = false;
        nlohmann::json spec;
    };
    struct Watch {
        Connection connection;
        /// The address at which the call arrived.
        std::string address;
        std::string kind;
        std::int64_t after = 0;
        bool stale = false;
        ebonymount::Time until{};
    };
    using Query = std::map<std::string, std::string>;
    /// What a read is answered from: the changes of an era.
    struct History {
        std::vector<Change> changes;
        std::int64_t revision = 1;
        std::int64_t era = 1;
    };

    /// Listens at an address and returns it, with the port that the system chose if that was 0.
    std::string listen(const std::string& address);
    void on_request(const Connection& connection, const ebonymount::HttpRequestMessage& request,
                    const std::string& address);
    void serve(const Connection& connection, const ebonymount::HttpRequestMessage& request,
               const std::string& address);
    Outage kind_outage(const std::string& address, const std::string& kind) const;
    /// Does to a call what an outage does: leaves it open, drops it or refuses it.
    void fail(const Connection& connection, Outage outage);
    void list(const Connection& connection, const std::string& kind, const Query& query);
    void watch(const Connection& connection, const std::string& address, const std::string& kind,
               const Query& query);
    void write(const Connection& connection, const std::string& method, const std::string& kind,
               const std::string& name, const nlohmann::json& spec);
    /// Responds to the watches that have events or have timed out. During an outage, leaves them
    /// open if it is silent and drops them otherwise.
    void respond_to_watches();
    /// Responds to a watch that has events, has timed out or starts before the oldest revision.
    /// Returns false for any other watch.
    bool try_respond(const Watch& watch);
    void respond(const Connection& connection, int status, const nlohmann::json& body);
    void respond_as_of(const Connection& connection, int status, const nlohmann::json& body,
                       std::int64_t era);
    /// The history that a read sees.
    const History& history_for(bool stale) const;
    /// Number of changes, from the oldest, that a read sees.
    std::size_t visible_changes(const History& history, bool stale) const;
    /// Objects of a kind by name, after the given number of changes.
    static std::map<std::string, const Change*> objects_of(const History& history,
                                                           const std::string& kind,
                                                           std::size_t changes);
    void append(const std::string& kind, const std::string& name, bool removed,
                const nlohmann::json& spec);
    void poll_watches();

    ebonymount::EventLoop& m_loop;
    std::vector<std::shared_ptr<ebonymount::HttpListener>> m_listeners;
    std::map<std::pair<std::string, std::string>, Outage> m_kind_outages;
    ebonymount::Random m_random;
    PlatformFaults m_faults;
    History m_history;
    /// Before the latest return from a copy.
    History m_earlier_history;
    std::optional<History> m_copy;
    std::int64_t m_oldest_revision = 1;
    bool m_has_era_header = true;
    /// Instead of the number of the era.
    std::optional<std::string> m_era_text;
    std::int64_t m_calls = 0;
    std::list<Watch> m_watches;
};

}  // namespace standin
