#include "http_gateway/connection_pool.hpp"

#include <algorithm>
#include <cstdio>
#include <utility>

namespace knotvane::http_gateway {
namespace {

// A node's heads are a few hundred bytes. Its bodies were seen up to 400 KB, past the protocol's 64
// KiB, and are good answers all the same; a few times that still keeps all that are read at once
// within the least memory.
constexpr std::size_t most_head = 8 << 10, most_body = 1 << 20;

// A second answer may come some milliseconds behind the first: on a connection that was handed the
// next request by then it would be read as that one's answer. Seen 0.8 to 3.9 ms behind; a few
// times that, in which a new connection is made where no other one rests.
constexpr Time quiet = 10 * ms;

std::string message_of(const OutboundRequest &w, Time left) {
    char expires[32];
    std::snprintf(expires, sizeof expires, "%.6f", seconds(std::max<Time>(left, 0)));
    std::string out = w.method + " " + w.target +
                      " HTTP/1.1\r\nHost: node\r\nX-Trace-Id: " + w.trace +
                      "\r\nX-Expires-In: " + expires + "\r\n";
    if (!w.mark.empty())
        out += "Idempotency-Key: " + w.mark + "\r\n";
    if (w.method != "GET")
        out += "Content-Length: " + std::to_string(w.body.size()) + "\r\n";
    return out += "\r\n" + w.body;
}

} // namespace

ConnectionPool::ConnectionPool(Transport &transport, UpstreamAttemptEvents &told,
                               ConnectionIds &connection_ids, Time connect, Time idle,
                               std::size_t most)
    : transport_(transport), told_(told), connection_ids_(connection_ids), connect_(connect),
      // A tenth and a quarter second before the node would: a request written as it closes is a
      // reset.
      idle_(std::max<Time>(idle - idle / 10 - 250 * ms, 0)), most_(std::max<std::size_t>(most, 1)) {
}

void ConnectionPool::node_at(Time now, NodeId node, const std::string &address) {
    Peer &peer = peers_[node];
    if (peer.address == address)
        return;
    node_gone(now, node);
    peers_[node].address = address;
}
void ConnectionPool::node_drains(Time now, NodeId node) {
    auto it = peers_.find(node);
    if (it == peers_.end())
        return;
    for (auto conn : std::vector<ConnectionId>(it->second.idle))
        drop(conn);
    std::vector<AttemptKey> unbegun;
    for (auto &[id, link] : links_)
        if (link.node == node) {
            link.leaving = true;
            if (link.busy && !link.handed)
                unbegun.push_back(link.attempt);
        }
    for (auto &key : unbegun)
        take_back(now, key);
}
void ConnectionPool::node_gone(Time now, NodeId node) {
    node_drains(now, node);
    auto it = peers_.find(node);
    if (it == peers_.end())
        return;
    it->second.address.clear();
    if (it->second.links == 0)
        peers_.erase(it);
}

// Closes the idle connection that is next to be closed anyway.
bool ConnectionPool::make_room() {
    if (links_.size() < most_)
        return true;
    for (auto &[at, conn] : due_)
        if (auto &link = links_.at(conn); link.up && !link.busy) {
            drop(conn);
            return true;
        }
    return false;
}

void ConnectionPool::begin(Time now, RequestId request, AttemptId attempt, NodeId node,
                           std::shared_ptr<const OutboundRequest> work, Time until) {
    AttemptKey key{request, attempt};
    auto peer = peers_.find(node);
    if (until <= now || peer == peers_.end() || peer->second.address.empty())
        return told_.attempt_completed(now, request, attempt, node, AttemptOutcome::not_sent, 0,
                                       {});
    Attempt &s = attempts_[key] = Attempt{node, {}, std::move(work), now, until};
    auto &idle = peer->second.idle;
    auto rested = std::find_if(idle.rbegin(), idle.rend(),
                               [&](ConnectionId c) { return links_.at(c).rests + quiet <= now; });
    if (rested != idle.rend()) {
        s.conn = *rested;
        idle.erase(std::next(rested).base());
        Link &link = links_.at(s.conn);
        link.busy = true, link.attempt = key;
        return give(now, s.conn, link);
    }
    if (!make_room())
        return over(now, key, AttemptOutcome::not_sent);
    s.conn = connection_ids_.next();
    Link &link =
        links_
            .emplace(s.conn,
                     Link{node, peer->second.address, false, false, true, key, 0, false, 0, 0,
                          http::Decoder(http::MessageKind::response, most_head, most_body)})
            .first->second;
    ++peer->second.links;
    due_at(s.conn, link, std::min(now + connect_, until));
    transport_.connect(s.conn, link.address);
}
// Hands the request of the attempt to its connection.
void ConnectionPool::give(Time now, ConnectionId conn, Link &link) {
    Attempt &s = attempts_.at(link.attempt);
    // Between the decision and this moment a connection came up: the client may have left, the node
    // may drain.
    if (link.leaving || now >= s.until ||
        !told_.may_send_attempt(now, link.attempt.first, link.attempt.second, link.node))
        return take_back(now, AttemptKey(link.attempt));
    auto bytes = message_of(*s.work, s.until - now);
    link.to_write = bytes.size(), link.handed = true;
    link.in.next();
    due_at(conn, link, s.until);
    transport_.send(conn, std::move(bytes));
}
void ConnectionPool::cancel_attempt(Time now, RequestId request, AttemptId attempt) {
    auto it = attempts_.find({request, attempt});
    if (it == attempts_.end())
        return;
    if (!left(it->second))
        return take_back(now, {request, attempt});
    drop(it->second.conn);
    over(now, {request, attempt}, AttemptOutcome::canceled);
}
bool ConnectionPool::left(const Attempt &attempt) const {
    const Link &link = links_.at(attempt.conn);
    return link.handed && link.to_write == 0;
}
// Ends an attempt whose last byte has not left, and so never will: it did not run.
void ConnectionPool::take_back(Time now, const AttemptKey &key) {
    drop(attempts_.at(key).conn);
    over(now, key, AttemptOutcome::not_sent);
}
void ConnectionPool::withdraw(Time now, RequestId request) {
    std::vector<AttemptKey> unwritten;
    for (auto it = attempts_.lower_bound({request, AttemptId{}});
         it != attempts_.end() && it->first.first == request; ++it)
        if (!left(it->second))
            unwritten.push_back(it->first);
    for (auto &key : unwritten)
        take_back(now, key);
}
void ConnectionPool::over(Time now, const AttemptKey &key, AttemptOutcome how, std::string body) {
    auto it = attempts_.find(key);
    Attempt s = std::move(it->second);
    attempts_.erase(it);
    if (transport_.tracing()) {
        auto after = [&](Time t) {
            return t == 0 ? std::string("-") : std::to_string((t - s.began) / us);
        };
        transport_.trace(
            "attempt request=" + std::to_string(key.first.value) +
            " attempt=" + std::to_string(key.second.value) +
            " node=" + std::to_string(s.node.value) + " conn=" + std::to_string(s.conn.value) +
            " how=" + std::to_string(static_cast<int>(how)) +
            " at=" + std::to_string(s.began / us) + " connected=" + after(s.connected) +
            " written=" + after(s.written) + " first=" + after(s.first) + " over=" + after(now));
    }
    told_.attempt_completed(now, key.first, key.second, s.node, how, now - s.began,
                            std::move(body));
}
void ConnectionPool::drop(ConnectionId conn, bool close) {
    auto it = links_.find(conn);
    Link &link = it->second;
    due_.erase({link.due, conn});
    if (auto p = peers_.find(link.node); p != peers_.end()) {
        std::erase(p->second.idle, conn);
        if (--p->second.links == 0 && p->second.address.empty())
            peers_.erase(p);
    }
    links_.erase(it);
    if (close)
        transport_.close(conn);
}
void ConnectionPool::due_at(ConnectionId conn, Link &link, Time at) {
    due_.erase({link.due, conn});
    link.due = at;
    due_.insert({at, conn});
}
void ConnectionPool::rest(Time now, ConnectionId conn, Link &link) {
    link.busy = link.handed = false;
    link.in.next();
    link.rests = now;
    due_at(conn, link, now + idle_);
    peers_.at(link.node).idle.push_back(conn);
}

std::map<NodeId, std::size_t> ConnectionPool::busy() const {
    std::map<NodeId, std::size_t> out;
    for (auto &[id, link] : links_)
        out[link.node] += link.busy;
    return out;
}

void ConnectionPool::connected(Time now, ConnectionId conn) {
    auto it = links_.find(conn);
    if (it == links_.end())
        return;
    it->second.up = true;
    attempts_.at(it->second.attempt).connected = now;
    give(now, conn, it->second);
}
void ConnectionPool::connect_failed(Time now, ConnectionId conn, bool tried) {
    auto it = links_.find(conn);
    if (it == links_.end())
        return;
    auto key = it->second.attempt;
    drop(conn, false);
    over(now, key, tried ? AttemptOutcome::unreachable : AttemptOutcome::not_sent);
}
void ConnectionPool::disconnected(Time now, ConnectionId conn, CloseReason how) {
    auto it = links_.find(conn);
    if (it == links_.end())
        return;
    bool busy = it->second.busy, whole = it->second.handed && it->second.to_write == 0;
    auto key = it->second.attempt;
    // An answer without a length ends with its stream; a connection that broke ends nothing.
    if (busy && whole && how == CloseReason::end_of_stream) {
        it->second.in.finish(), it->second.leaving = true;
        if (it->second.in.state() == http::State::whole)
            return answered(now, conn, {});
    }
    drop(conn, false);
    // Before its last byte has left, the node can't have begun it.
    if (busy)
        over(now, key, whole ? AttemptOutcome::reset : AttemptOutcome::unreachable);
}
void ConnectionPool::sent(Time now, ConnectionId conn, std::size_t bytes) {
    auto it = links_.find(conn);
    if (it == links_.end())
        return;
    it->second.to_write -= std::min(bytes, it->second.to_write);
    if (it->second.busy && it->second.to_write == 0)
        attempts_.at(it->second.attempt).written = now;
}

void ConnectionPool::received(Time now, ConnectionId conn, std::string_view in) {
    auto it = links_.find(conn);
    if (it == links_.end())
        return;
    Link &link = it->second;
    // Nothing was asked: whatever this is, it must not be taken for the next one's answer.
    if (!link.busy) {
        if (transport_.tracing())
            transport_.trace("stray conn=" + std::to_string(conn.value) +
                             " after=" + std::to_string((now - link.rests) / us));
        return drop(conn);
    }
    if (Attempt &s = attempts_.at(link.attempt); s.first == 0)
        s.first = now;
    in.remove_prefix(link.in.take(in));
    auto state = link.in.state();
    if (state != http::State::whole && state != http::State::broken)
        return due_at(conn, link, std::min(attempts_.at(link.attempt).until, now + connect_));
    answered(now, conn, in);
}
// The answer is whole or broken; `behind`: what came right behind it.
void ConnectionPool::answered(Time now, ConnectionId conn, std::string_view behind) {
    Link &link = links_.at(conn);
    auto state = link.in.state();
    auto key = link.attempt;
    AttemptOutcome how = AttemptOutcome::error;
    std::string body;
    bool keep = false;
    if (state == http::State::whole) {
        auto status = link.in.status();
        if (status == 200)
            how = AttemptOutcome::answered, body = link.in.take_body();
        else if ((status == 503 || status == 504) && link.in.header("X-Never-Ran") == "1")
            how = AttemptOutcome::overloaded;
        keep = behind.empty() && link.in.keeps_open() && !link.leaving && link.to_write == 0;
    }
    if (how == AttemptOutcome::error && transport_.tracing())
        transport_.trace("error conn=" + std::to_string(conn.value) +
                         " status=" + std::to_string(link.in.status()) +
                         " length=" + std::string(link.in.header("Content-Length").value_or("-")) +
                         " fault=" + (*link.in.fault() ? link.in.fault() : "-"));
    if (keep)
        rest(now, conn, link);
    else
        drop(conn);
    over(now, key, how, std::move(body));
}

void ConnectionPool::tick(Time now) {
    while (!due_.empty() && due_.begin()->first <= now) {
        auto conn = due_.begin()->second;
        Link &link = links_.at(conn);
        auto key = link.attempt;
        bool busy = link.busy, handed = link.handed;
        drop(conn);
        if (!busy)
            continue;
        auto &s = attempts_.at(key);
        // An answer that stopped short is spoilt: the node has done with it, and no more will come.
        AttemptOutcome how = s.until > now
                                 ? handed ? AttemptOutcome::error : AttemptOutcome::unreachable
                             : handed ? AttemptOutcome::timed_out
                                      : AttemptOutcome::not_sent;
        over(now, key, how);
    }
}

} // namespace knotvane::http_gateway
