// Clients' connections, without I/O: requests in, one at a time on each connection, and one answer
// to each. What can't be a request gets an error at once and its connection is closed.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <limits>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_set>
#include <vector>

#include "common/time.hpp"
#include "http/decoder.hpp"
#include "http_gateway/connection_pool.hpp"
#include "http_gateway/transport.hpp"

namespace knotvane::http_gateway {

// What clients tell. A request that came is answered once, by its connection, unless it left
// before.
class ClientRequestEvents {
public:
    virtual ~ClientRequestEvents() = default;
    virtual void request_received(Time now, ConnectionId client, WorkloadId workload,
                                  VolumeId volume, PlanId plan, ShardId shard, KeyId key,
                                  double units, double hosts, bool writes, bool repeated,
                                  Time deadline, std::shared_ptr<const OutboundRequest> work) = 0;
    virtual void request_canceled(Time now, ConnectionId client) = 0;
    // Whether the scheduler may be put to use.
    virtual bool serves() const = 0;
};

class ClientConnections {
public:
    // `workloads`, `plans`: names in the order of their ids. `most`: connections at once.
    ClientConnections(Transport &transport, ClientRequestEvents &told,
                      ConnectionIds &connection_ids, std::vector<std::string> workloads,
                      std::vector<std::string> plans, std::size_t most);

    bool owns(ConnectionId conn) const { return clients_.contains(conn); }
    // A connection that was accepted; one in excess makes the least useful one go, or is not taken.
    std::optional<ConnectionId> connected(Time now);
    void received(Time now, ConnectionId conn, std::string_view in);
    void disconnected(Time now, ConnectionId conn);
    void sent(Time now, ConnectionId conn, std::size_t bytes);

    // The answers: a node's body; trying again is harmless, and when (0: untold); failed.
    void answer(Time now, ConnectionId conn, std::string body);
    void refuse(Time now, ConnectionId conn, Time retry_after);
    void error(Time now, ConnectionId conn);

    // From now on connections without a request stay, however long they are idle.
    void keep_idle() { keep_idle_ = true; }
    // From now on each answer is its connection's last, but where a request waits behind it.
    void stop() { stopping_ = true; }
    // Ends every connection without an open request: what comes on it from now on is not taken any
    // more.
    void finish_resting(Time now);
    // Reads on where something came behind a request that has its answer now; not from within a
    // decision.
    void resume(Time now);
    bool resumes() const { return !resume_.empty(); }
    // Connections, but for those that only wait for the client's end.
    std::size_t open() const { return clients_.size() - ended_; }
    // All of them.
    std::size_t held() const { return clients_.size(); }
    Time next_due() const {
        return due_.empty() ? std::numeric_limits<Time>::max() : due_.begin()->first;
    }
    void tick(Time now);

private:
    // Heads here are some hundred bytes; bodies 64 KiB at most, by the protocol.
    static constexpr std::size_t most_head = 8 << 10, most_body = 64 << 10;
    struct Client {
        http::Decoder in{http::MessageKind::request, most_head, most_body};
        Time due = 0, since = 0; // since: it came, or its last answer left
        // served: it had an answer; last: the answer ends it; deaf: no more requests are read;
        // ended: our side has ended, the client's has not.
        bool heard = false, open = false, served = false, last = false, deaf = false, ended = false;
        std::size_t unsent = 0; // bytes of its answers that have not left
        std::size_t thrown = 0; // bytes that came after our end
        std::deque<std::pair<Time, std::string>>
            behind;           // what came while a request was open, and when
        std::size_t kept = 0; // bytes of it
    };
    // `came`: when these bytes did; a client's time starts there, also where they had to wait.
    void read(Time now, Time came, ConnectionId conn, std::string_view in);
    // Gives back the status of a refusal and why, 0 where the request was told.
    std::pair<unsigned, const char *> request(Time now, Time came, ConnectionId conn, Client &c);
    void send(Time now, ConnectionId conn, unsigned status, const std::string &headers,
              std::string body);
    void reject(Time now, ConnectionId conn, unsigned status, const char *why);
    void due_at(ConnectionId conn, Client &c, Time at);
    void drop(ConnectionId conn);
    void finish(Time now, ConnectionId conn, Client &c);
    void shed(Time now);
    void remember(std::uint64_t trace);

    Transport &transport_;
    ClientRequestEvents &told_;
    ConnectionIds &connection_ids_;
    std::map<std::string, WorkloadId, std::less<>> workloads_;
    std::map<std::string, PlanId, std::less<>> plans_;
    std::size_t most_, ended_ = 0;
    std::map<ConnectionId, Client> clients_;
    std::set<std::pair<Time, ConnectionId>> due_;
    std::set<ConnectionId> resume_;
    std::unordered_set<std::uint64_t>
        traces_; // of open requests and of the last before them, hashed
    std::deque<std::uint64_t> last_traces_;
    bool keep_idle_ = false, stopping_ = false;
};

} // namespace knotvane::http_gateway
