#include "http_gateway/client_connections.hpp"

#include <algorithm>
#include <cstdio>
#include <functional>
#include <utility>

namespace knotvane::http_gateway {
namespace {

constexpr Time never = std::numeric_limits<Time>::max();
// Who says nothing, or does not come to an end with a first request, is owed an end within 3 s of
// coming. Some usual clients write slowly: who was answered before has longer.
constexpr Time silent = 2 * sec, unfinished = 2700 * ms, unfinished_later = 5 * sec;
// A connection without a request may be closed after 2 s. Some clients ask once and keep theirs for
// good: kept for long, these left no room for the others' (43 requests of a churn day found no
// connection, at 10 s).
constexpr Time idle_least = 2 * sec, idle_most = 2500 * ms;
// Usual clients send as soon as they are connected; a turn of a throttled loop is well under this.
constexpr Time speaks_within = 200 * ms;
// What is kept of what comes behind an open request: one request of the largest size. Past that
// nothing more of the connection is served, but it is read on, so that its client's leaving shows.
constexpr std::size_t most_behind = 72 << 10;
// How long an ended connection waits for its client's end, and how much is read and thrown away
// meanwhile: a close over unread bytes resets the connection and takes the answer along. A client
// answers an end in a round trip; who sends 60 MB regardless is owed no more than a close.
constexpr Time linger = 500 * ms;
// Before that, how long its last answer may take to leave: past any wait that its client told, 3 s
// at most.
constexpr Time leaves_within = 5 * sec;
constexpr std::size_t most_thrown = 1 << 20;
// A request's id is fresh. So many are remembered: some ten seconds of a busy scheduler.
constexpr std::size_t most_traces = 4096;
// No client waits for an hour: a longer time is a mistake.
constexpr double longest_wait = 3600;

const char *reason(unsigned status) {
    switch (status) {
    case 200:
        return "OK";
    case 400:
        return "Bad Request";
    case 404:
        return "Not Found";
    case 405:
        return "Method Not Allowed";
    case 408:
        return "Request Timeout";
    case 409:
        return "Conflict";
    case 413:
        return "Payload Too Large";
    case 431:
        return "Request Header Fields Too Large";
    case 501:
        return "Not Implemented";
    case 502:
        return "Bad Gateway";
    case 503:
        return "Service Unavailable";
    case 505:
        return "HTTP Version Not Supported";
    default:
        return "Error";
    }
}
bool plain_id(std::string_view s, std::size_t most) {
    return !s.empty() && s.size() <= most && std::all_of(s.begin(), s.end(), [](char c) {
        return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
               c == '-' || c == '_' || c == '.' || c == ':' || c == '+' || c == '/' || c == '=';
    });
}
// Splits at `at`, blanks around the parts left out; the rest is what remains.
std::string_view part(std::string_view &rest, char at) {
    auto end = std::min(rest.find(at), rest.size());
    auto p = rest.substr(0, end);
    rest.remove_prefix(std::min(end + 1, rest.size()));
    while (!p.empty() && p.front() == ' ')
        p.remove_prefix(1);
    while (!p.empty() && p.back() == ' ')
        p.remove_suffix(1);
    return p;
}

} // namespace

ClientConnections::ClientConnections(Transport &transport, ClientRequestEvents &told,
                                     ConnectionIds &connection_ids,
                                     std::vector<std::string> workloads,
                                     std::vector<std::string> plans, std::size_t most)
    : transport_(transport), told_(told), connection_ids_(connection_ids),
      most_(std::max<std::size_t>(most, 1)) {
    for (std::uint32_t i = 0; i < workloads.size(); ++i)
        workloads_[workloads[i]] = WorkloadId{i};
    for (std::uint32_t i = 0; i < plans.size(); ++i)
        plans_[plans[i]] = PlanId{i};
}

std::optional<ConnectionId> ClientConnections::connected(Time now) {
    if (clients_.size() >= most_)
        shed(now);
    // All have a request open: one more would take a descriptor from the nodes and from discovery.
    if (clients_.size() >= most_)
        return std::nullopt;
    ConnectionId conn = connection_ids_.next();
    auto &c = clients_.try_emplace(conn).first->second;
    c.since = now;
    due_at(conn, c, now + silent);
    return conn;
}
// Out goes who is ended already; then who has said nothing for a while, the longest there; else who
// may be closed for being idle; else who is not done with a head; else any idle one. Who is just
// here comes last: its request may wait unread. Guards against crowds that ask once and stay, by
// which usual clients were turned away at the door.
void ClientConnections::shed(Time now) {
    auto rank = [&](const Client &c) {
        if (c.ended)
            return -1;
        if (c.open)
            return 5;
        if (!c.heard)
            return now - c.since >= speaks_within ? 0 : 4;
        return c.in.state() != http::State::empty ? 2 : now - c.since >= idle_least ? 1 : 3;
    };
    auto least = clients_.end();
    for (auto it = clients_.begin(); it != clients_.end(); ++it)
        if (rank(it->second) < 5 &&
            (least == clients_.end() || std::pair(rank(it->second), it->second.since) <
                                            std::pair(rank(least->second), least->second.since)))
            least = it;
    if (least != clients_.end())
        drop(least->first);
}
void ClientConnections::due_at(ConnectionId conn, Client &c, Time at) {
    due_.erase({c.due, conn});
    c.due = at;
    if (at != never)
        due_.insert({at, conn});
}
void ClientConnections::drop(ConnectionId conn) {
    auto it = clients_.find(conn);
    due_.erase({it->second.due, conn});
    ended_ -= it->second.ended;
    clients_.erase(it);
    transport_.close(conn);
}
// What is owed leaves, then our side ends; the rest is thrown away until the client's end, or for a
// short while.
void ClientConnections::finish(Time now, ConnectionId conn, Client &c) {
    c.ended = true, c.open = false, ++ended_;
    c.behind.clear(), c.kept = 0;
    due_at(conn, c, now + (c.unsent > 0 ? leaves_within : linger));
    transport_.finish_sending(conn);
}
void ClientConnections::finish_resting(Time now) {
    for (auto &[conn, c] : clients_)
        if (!c.open && !c.ended && c.behind.empty())
            finish(now, conn, c);
}

void ClientConnections::received(Time now, ConnectionId conn, std::string_view in) {
    auto it = clients_.find(conn);
    if (it == clients_.end())
        return;
    Client &c = it->second;
    c.heard = true;
    if (c.ended) {
        // A request that comes now crossed our end: it is not taken, and its client sends it
        // elsewhere.
        if ((c.thrown += in.size()) > most_thrown)
            drop(conn);
        return;
    }
    if (c.deaf)
        return;
    if (!c.open && c.behind.empty())
        return read(now, now, conn, in);
    if (c.kept + in.size() > most_behind)
        c.deaf = true;
    else
        c.behind.emplace_back(now, in), c.kept += in.size();
}
void ClientConnections::read(Time now, Time came, ConnectionId conn, std::string_view in) {
    while (!in.empty()) {
        Client &c = clients_.at(conn);
        if (c.in.state() == http::State::empty)
            due_at(conn, c, c.served ? now + unfinished_later : c.since + unfinished);
        in.remove_prefix(c.in.take(in));
        if (c.in.state() == http::State::broken)
            return reject(now, conn, c.in.fault_status(), c.in.fault());
        if (c.in.state() != http::State::whole) {
            // The rest of it was thrown away: what comes next must not be read as its end.
            if (c.deaf && c.behind.empty())
                reject(now, conn, 413, "too much at once");
            return;
        }
        auto [status, why] = request(now, came, conn, c);
        if (status != 0)
            return reject(now, conn, status, why);
        auto it = clients_.find(conn);
        if (it == clients_.end())
            return;
        if (it->second.ended)
            return;
        if (it->second.open) {
            it->second.deaf |= in.size() > most_behind;
            in = in.substr(0, most_behind);
            if (!in.empty())
                it->second.behind.emplace_front(came, in), it->second.kept += in.size();
            return;
        }
    }
}
std::pair<unsigned, const char *> ClientConnections::request(Time now, Time came, ConnectionId conn,
                                                             Client &c) {
    const std::string &target = c.in.target();
    bool reads = c.in.method() == "GET", writes = c.in.method() == "PUT";
    c.last = !c.in.keeps_open();
    if (target == "/healthz" && reads) {
        send(now, conn, told_.serves() ? 200 : 503, "", "");
        return {0, ""};
    }
    if (!reads && !writes)
        return {405, "neither GET nor PUT"};
    if (reads && !c.in.body().empty())
        return {400, "a GET with a body"};
    if (target.empty() || target[0] != '/')
        return {400, "the target is not a path"};
    auto first = std::string_view(target).substr(1);
    auto workload = workloads_.find(first.substr(0, first.find_first_of("/?#")));
    if (workload == workloads_.end())
        return {404, "the path names no class"};
    auto trace = c.in.header("X-Trace-Id");
    if (!trace || !plain_id(*trace, 64))
        return {400, "X-Trace-Id: expected one id"};
    auto plan = plans_.find(c.in.header("X-Storage-Class").value_or(""));
    if (plan == plans_.end())
        return {400, "X-Storage-Class: names no plan"};
    auto wait = http::number(c.in.header("X-Expires-In").value_or(""));
    if (!wait || *wait <= 0 || *wait > longest_wait)
        return {400, "X-Expires-In: expected seconds"};
    std::string_view mark = c.in.header("Idempotency-Key").value_or("");
    if (c.in.count("Idempotency-Key") > 1 || (!mark.empty() && !plain_id(mark, 256)))
        return {400, "Idempotency-Key: expected one key"};
    KeyId key = no_key;
    if (c.in.count("Cookie") > 0) {
        std::string_view rest = c.in.header("Cookie").value_or("");
        std::optional<std::uint64_t> object;
        while (!rest.empty() && !object)
            if (auto p = part(rest, ';'); part(p, '=') == "object")
                object = http::hex16(p);
        if (!object)
            return {400, "Cookie: expected object as 16 hex digits"};
        key = KeyId{*object};
    }
    std::optional<std::uint64_t> volume;
    std::optional<double> units, shard, hosts;
    for (std::string_view rest = c.in.header("X-Extent").value_or(""); !rest.empty();) {
        auto p = part(rest, ',');
        auto name = part(p, '=');
        if (name == "volume")
            volume = http::hex16(p);
        if (name == "units")
            units = http::number(p);
        if (name == "shard")
            shard = http::number(p);
        if (name == "hosts")
            hosts = http::number(p);
    }
    auto whole = [](double v) { return v == static_cast<double>(static_cast<std::int64_t>(v)); };
    if (!volume || !units || !shard || !hosts || *units <= 0 || *units > 1e6 || *hosts < 1 ||
        *hosts > 1e6 || !whole(*hosts) || *shard < -1 || *shard > 1e6 || !whole(*shard))
        return {400, "X-Extent: expected volume, units, shard and hosts"};
    auto hashed = static_cast<std::uint64_t>(std::hash<std::string_view>{}(*trace));
    if (traces_.contains(hashed))
        return {409, "X-Trace-Id: was used before"};
    remember(hashed);
    bool repeated = c.in.header("X-Second-Try") == "1";
    auto work = std::make_shared<const OutboundRequest>(
        OutboundRequest{std::string(c.in.method()), target, std::string(*trace), std::string(mark),
                        c.in.take_body()});
    c.open = true;
    due_at(conn, c, never);
    told_.request_received(now, conn, workload->second, VolumeId{*volume}, plan->second,
                           ShardId{static_cast<std::int32_t>(*shard)}, key, *units, *hosts, writes,
                           repeated, came + static_cast<Time>(*wait * 1e9), std::move(work));
    return {0, ""};
}
void ClientConnections::remember(std::uint64_t trace) {
    traces_.insert(trace), last_traces_.push_back(trace);
    if (last_traces_.size() <= most_traces)
        return;
    traces_.erase(last_traces_.front()), last_traces_.pop_front();
}
void ClientConnections::disconnected(Time now, ConnectionId conn) {
    auto it = clients_.find(conn);
    if (it == clients_.end())
        return;
    bool open = it->second.open;
    due_.erase({it->second.due, conn});
    ended_ -= it->second.ended;
    clients_.erase(it);
    if (open)
        told_.request_canceled(now, conn);
}

void ClientConnections::send(Time now, ConnectionId conn, unsigned status,
                             const std::string &headers, std::string body) {
    auto it = clients_.find(conn);
    if (it == clients_.end() || it->second.ended)
        return;
    Client &c = it->second;
    bool last = c.last || (c.behind.empty() && (stopping_ || c.deaf));
    std::string head = "HTTP/1.1 " + std::to_string(status) + " " + reason(status) + "\r\n" +
                       headers + "Content-Length: " + std::to_string(body.size()) + "\r\n" +
                       (last ? "Connection: close\r\n\r\n" : "\r\n");
    c.unsent += head.size() + body.size();
    transport_.send(conn, head + std::move(body));
    if (last)
        return finish(now, conn, c);
    c.open = false, c.served = true, c.since = now;
    c.in.next();
    due_at(conn, c, now + idle_most);
    if (!c.behind.empty())
        resume_.insert(conn);
}
void ClientConnections::sent(Time now, ConnectionId conn, std::size_t bytes) {
    auto it = clients_.find(conn);
    if (it == clients_.end())
        return;
    Client &c = it->second;
    c.unsent -= std::min(bytes, c.unsent);
    if (c.ended && c.unsent == 0)
        due_at(conn, c, now + linger);
}
void ClientConnections::resume(Time now) {
    for (auto conn : std::exchange(resume_, {}))
        for (auto it = clients_.find(conn);
             it != clients_.end() && !it->second.open && !it->second.behind.empty();
             it = clients_.find(conn)) {
            auto [came, in] = std::move(it->second.behind.front());
            it->second.behind.pop_front(), it->second.kept -= in.size();
            read(now, came, conn, in);
        }
}
void ClientConnections::reject(Time now, ConnectionId conn, unsigned status, const char *why) {
    clients_.at(conn).last = true;
    if (transport_.tracing())
        transport_.trace("refused status=" + std::to_string(status) + " why=" + why);
    send(now, conn, status, "Content-Type: text/plain\r\n", std::string(why) + "\n");
}
void ClientConnections::answer(Time now, ConnectionId conn, std::string body) {
    send(now, conn, 200, "", std::move(body));
}
void ClientConnections::refuse(Time now, ConnectionId conn, Time retry_after) {
    char wait[64] = "";
    if (retry_after > 0)
        std::snprintf(wait, sizeof wait, "Retry-After: %.3f\r\n", seconds(retry_after));
    send(now, conn, 503, wait, "");
}
void ClientConnections::error(Time now, ConnectionId conn) {
    send(now, conn, 502, "", "");
}

void ClientConnections::tick(Time now) {
    while (!due_.empty() && due_.begin()->first <= now) {
        auto conn = due_.begin()->second;
        Client &c = clients_.at(conn);
        if (c.ended)
            drop(conn);
        else if (c.in.state() == http::State::empty && c.heard && keep_idle_)
            due_at(conn, c, now + idle_most);
        else if (c.in.state() == http::State::empty)
            finish(now, conn, c);
        else
            reject(now, conn, 408, "the request does not come to an end");
    }
}

} // namespace knotvane::http_gateway
