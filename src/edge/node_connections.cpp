#include "edge/node_connections.hpp"

#include <algorithm>
#include <limits>
#include <utility>

namespace knotvane::edge {
namespace {

constexpr Time never = std::numeric_limits<Time>::max();

} // namespace

struct NodeConnections::Link final : node_protocol::Sink {
    NodeConnections &links;
    NodeConnectionId id;
    NodeId node;
    Stage stage = Stage::connecting;
    bool leaving = false; // no new shots; closed after its last
    bool broken = false;
    Time since, heard = 0, now = 0, watched = 0;
    Time clock_ahead = 0; // the node's clock less ours, as far back as it can be
    std::size_t out_bytes = 0, shots = 0;
    std::deque<std::uint64_t> pending;
    std::set<std::uint64_t> tags;
    node_protocol::Reader reader;
    std::string fault;

    Link(NodeConnections &l, NodeConnectionId i, NodeId n, Time t)
        : links(l), id(i), node(n), since(t), heard(t) {}
    bool frame(node_protocol::Kind kind, std::uint8_t, node_protocol::Status status,
               std::uint64_t tag, VolumeId, std::uint64_t, std::uint32_t, std::uint32_t,
               std::uint64_t store_incarnation, std::uint64_t, Time clock, ShardId,
               std::string_view payload, std::uint32_t epoch) override {
        if (kind == node_protocol::Kind::welcome && stage == Stage::greeting) {
            if (NodeId{tag} != node) {
                fault = "node " + std::to_string(tag) + " answers where node " +
                        std::to_string(node.value) + " is listed";
                return false;
            }
            stage = Stage::up;
            // It took some time to come here: its clock is at least this far ahead. A not-after
            // time by this is never later for the node than for us.
            clock_ahead = clock - now;
            return true;
        }
        if (kind != node_protocol::Kind::answer || stage != Stage::up) {
            fault = "an unexpected frame of kind " + std::to_string(static_cast<int>(kind));
            return false;
        }
        if (!tags.contains(tag))
            return true; // its shot timed out or was called off
        AttemptOutcome how =
            status == node_protocol::Status::ok           ? AttemptOutcome::answered
            : status == node_protocol::Status::full       ? AttemptOutcome::overloaded
            : status == node_protocol::Status::called_off ? AttemptOutcome::canceled
            : status == node_protocol::Status::too_late || status == node_protocol::Status::stale ||
                    status == node_protocol::Status::misdirected
                ? AttemptOutcome::not_sent // the node proves that it did not run and never will
                : AttemptOutcome::error;
        links.end(now, tag, how, status, store_incarnation, payload, epoch);
        return true;
    }
};

NodeConnections::NodeConnections(Transport &transport, NodeConnectionEvents &told,
                                 std::uint64_t edge, std::uint64_t incarnation,
                                 const NodeConnectionConfig &config)
    : transport_(transport), told_(told), edge_(edge), incarnation_(incarnation), config_(config) {
    config_.max_per_node = std::max<std::size_t>(1, config_.max_per_node);
}

void NodeConnections::nodes(std::map<NodeId, std::string> addresses) {
    for (auto &[id, peer] : peers_) {
        auto it = addresses.find(id);
        bool stays = it != addresses.end() && it->second == peer.address;
        for (auto l : peer.links)
            if (!stays) {
                links_.at(l)->leaving = true;
                watch_.insert({0, l});
                links_.at(l)->watched = 0;
            }
    }
    std::erase_if(peers_,
                  [&](auto &p) { return p.second.links.empty() && !addresses.contains(p.first); });
    for (auto &[id, address] : addresses)
        peers_[id].address = address;
    for (auto &[id, peer] : peers_)
        if (!addresses.contains(id))
            peer.address.clear();
}

NodeConnections::~NodeConnections() = default;

// The link with the least out; a further one while all have some and there may be more.
NodeConnections::Link *NodeConnections::choose(Time now, NodeId node) {
    auto it = peers_.find(node);
    if (it == peers_.end() || it->second.address.empty())
        return nullptr;
    Link *best = nullptr;
    std::size_t usable = 0;
    for (auto id : it->second.links) {
        Link &l = *links_.at(id);
        if (l.leaving || l.broken)
            continue;
        ++usable;
        if (!best || l.shots < best->shots)
            best = &l;
    }
    // What one connection carries before a second is worth its handshake: a stall of one then holds
    // few.
    constexpr std::size_t enough = 8;
    if (best && (usable >= config_.max_per_node || best->shots < enough))
        return best;
    NodeConnectionId id{++next_link_};
    auto &link = links_[id] = std::make_unique<Link>(*this, id, node, now);
    it->second.links.push_back(id);
    link->watched = now + config_.connect_timeout;
    watch_.insert({link->watched, id});
    transport_.connect(id, it->second.address);
    return links_.contains(id) ? links_.at(id).get() : nullptr;
}

void NodeConnections::start_attempt(Time now, RequestId task, AttemptId shot, NodeId node,
                                    std::shared_ptr<const NodeRequest> work, Time until) {
    auto tag = ++next_tag_;
    tags_[{task, shot}] = tag;
    until_.insert({until, tag});
    Link *link = choose(now, node);
    shots_[tag] = {task, shot, node, link ? link->id : NodeConnectionId{}, std::move(work), until};
    if (!link) {
        nowhere_.push_back(tag);
        return;
    }
    ++link->shots;
    link->tags.insert(tag);
    link->pending.push_back(tag);
    pump(now, *link);
}

void NodeConnections::pump(Time now, Link &link) {
    while (link.stage == Stage::up && !link.pending.empty() &&
           link.out_bytes < config_.max_unsent_bytes) {
        auto tag = link.pending.front();
        link.pending.pop_front();
        Shot &s = shots_.at(tag);
        const NodeRequest &w = *s.work;
        auto flags = (w.durable ? node_protocol::flag_durable : 0) |
                     (w.deduplicated ? node_protocol::flag_numbered : 0) |
                     (w.cut ? node_protocol::flag_cut : 0);
        auto bytes = node_protocol::make(
            w.kind, static_cast<std::uint8_t>(flags), {}, tag, w.volume, w.offset, w.length,
            static_cast<std::uint32_t>(w.units * 1000), incarnation_, w.number,
            w.not_after > 0 ? w.not_after + link.clock_ahead : 0, w.shard, w.payload, w.epoch);
        link.out_bytes += bytes.size();
        s.out = true, s.sent = now;
        transport_.send(link.id, std::move(bytes));
    }
}

void NodeConnections::end(Time now, std::uint64_t tag, AttemptOutcome how,
                          node_protocol::Status status, std::uint64_t incarnation,
                          std::string_view payload, std::uint32_t epoch) {
    auto it = shots_.find(tag);
    if (it == shots_.end())
        return;
    Shot s = std::move(it->second);
    shots_.erase(it);
    tags_.erase({s.task, s.shot});
    until_.erase({s.until, tag});
    if (auto l = links_.find(s.link); l != links_.end()) {
        --l->second->shots;
        l->second->tags.erase(tag);
        if (!s.out)
            std::erase(l->second->pending, tag);
        if (l->second->leaving && l->second->shots == 0) {
            l->second->watched = 0;
            watch_.insert({0, s.link});
        }
    }
    told_.shot_over(now, s.task, s.shot, s.node, how, status, incarnation, payload, epoch);
}

void NodeConnections::close(Time now, NodeConnectionId id, AttemptOutcome sent,
                            AttemptOutcome unsent, bool tell_transport) {
    auto it = links_.find(id);
    if (it == links_.end())
        return;
    auto link = std::move(it->second);
    links_.erase(it);
    if (auto p = peers_.find(link->node); p != peers_.end()) {
        std::erase(p->second.links, id);
        if (p->second.links.empty() && p->second.address.empty())
            peers_.erase(p);
    }
    if (tell_transport)
        transport_.close(id);
    for (auto tag : link->tags)
        end(now, tag, shots_.at(tag).out ? sent : unsent, {}, 0, {});
}

void NodeConnections::cancel_attempt(Time now, RequestId task, AttemptId shot) {
    auto it = tags_.find({task, shot});
    if (it == tags_.end())
        return;
    auto tag = it->second;
    Shot &s = shots_.at(tag);
    if (!s.out)
        return end(now, tag, AttemptOutcome::not_sent, {}, 0,
                   {}); // nothing went out: that is proof
    if (auto l = links_.find(s.link); l != links_.end()) {
        auto bytes = node_protocol::make(node_protocol::Kind::cancel_attempt, 0, {}, tag,
                                         s.work->volume, 0, 0, 0, 0, 0, 0, s.work->shard, {});
        l->second->out_bytes += bytes.size();
        transport_.send(s.link, std::move(bytes));
    }
    end(now, tag, AttemptOutcome::canceled, {}, 0, {});
}

void NodeConnections::up(Time now, NodeConnectionId id) {
    auto it = links_.find(id);
    if (it == links_.end())
        return;
    it->second->stage = Stage::greeting;
    it->second->heard = now;
    auto hello = node_protocol::make(node_protocol::Kind::hello, 0, {}, 0, VolumeId{edge_}, 0, 0, 0,
                                     incarnation_, 0, 0, no_shard, {});
    it->second->out_bytes += hello.size();
    transport_.send(id, std::move(hello));
}

void NodeConnections::failed(Time now, NodeConnectionId id) {
    close(now, id, AttemptOutcome::unreachable, AttemptOutcome::unreachable, false);
}

void NodeConnections::bytes(Time now, NodeConnectionId id, std::string_view in) {
    auto it = links_.find(id);
    if (it == links_.end())
        return;
    Link &link = *it->second;
    link.now = link.heard = now;
    std::string fault = link.reader.feed(in, link);
    if (fault.empty())
        fault = link.fault;
    if (!fault.empty()) {
        told_.log_event("node " + std::to_string(link.node.value) + ": " + fault +
                        "; the connection is closed");
        return close(now, id, AttemptOutcome::reset, AttemptOutcome::not_sent, true);
    }
    // In the middle of a frame it is looked at sooner.
    if (link.reader.held() > 0 && link.watched > now + config_.frame_stall_timeout) {
        link.watched = now + config_.frame_stall_timeout;
        watch_.insert({link.watched, id});
    }
    pump(now, link);
}

void NodeConnections::gone(Time now, NodeConnectionId id) {
    // Before the node's welcome nothing of a shot has gone out: `reset` would claim that it may
    // have run.
    close(now, id, AttemptOutcome::reset, AttemptOutcome::not_sent, false);
}

void NodeConnections::written(Time now, NodeConnectionId id, std::size_t bytes) {
    auto it = links_.find(id);
    if (it == links_.end())
        return;
    it->second->out_bytes -= std::min(bytes, it->second->out_bytes);
    pump(now, *it->second);
}

Time NodeConnections::next_due() const {
    Time due = nowhere_.empty() ? never : 0;
    if (!until_.empty())
        due = std::min(due, until_.begin()->first);
    if (!watch_.empty())
        due = std::min(due, watch_.begin()->first);
    return due;
}

void NodeConnections::tick(Time now) {
    for (auto tag : std::exchange(nowhere_, {}))
        end(now, tag, AttemptOutcome::unreachable, {}, 0, {});
    while (!until_.empty() && until_.begin()->first <= now) {
        auto tag = until_.begin()->second;
        Shot &s = shots_.at(tag);
        // Nothing was heard on its connection since it went: no further shot goes there.
        if (auto l = links_.find(s.link);
            s.out && l != links_.end() && l->second->heard <= s.sent) {
            l->second->leaving = true;
            l->second->watched = 0;
            watch_.insert({0, s.link});
        }
        end(now, tag, s.out ? AttemptOutcome::timed_out : AttemptOutcome::not_sent, {}, 0, {});
    }
    while (!watch_.empty() && watch_.begin()->first <= now) {
        auto [at, id] = *watch_.begin();
        watch_.erase(watch_.begin());
        auto it = links_.find(id);
        if (it == links_.end() || it->second->watched != at)
            continue;
        Link &link = *it->second;
        if (link.stage != Stage::up && now >= link.since + config_.connect_timeout) {
            // Not one byte of a shot has gone out.
            auto how = link.stage == Stage::connecting ? AttemptOutcome::unreachable
                                                       : AttemptOutcome::not_sent;
            close(now, id, how, how, true);
        } else if (link.reader.held() > 0 && now >= link.heard + config_.frame_stall_timeout) {
            // Guards against a node that falls silent in the middle of an answer: all behind it on
            // this connection would wait for what never comes, and the node would look silent
            // though it is not.
            told_.log_event("node " + std::to_string(link.node.value) +
                            ": silent in the middle of a frame; the connection is closed");
            close(now, id, AttemptOutcome::reset, AttemptOutcome::not_sent, true);
        } else if (link.shots == 0 && (link.leaving || now >= link.heard + config_.idle_timeout)) {
            close(now, id, AttemptOutcome::reset, AttemptOutcome::not_sent, true);
        } else {
            link.watched = link.stage != Stage::up  ? link.since + config_.connect_timeout
                           : link.reader.held() > 0 ? link.heard + config_.frame_stall_timeout
                           : link.leaving           ? never
                                          : std::max(link.heard, now) + config_.idle_timeout;
            if (link.watched < never)
                watch_.insert({std::max(link.watched, now + 1), id});
            link.watched = std::max(link.watched, now + 1);
        }
    }
}

} // namespace knotvane::edge
