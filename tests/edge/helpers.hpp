// Helpers of the edge's tests: a transport that records its calls, and a node's frames.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "edge/core.hpp"
#include "load/session.hpp"
#include "nbd/wire.hpp"

namespace knotvane::edge {

// Records the calls and events of NodeConnections.
struct Wired : Transport, NodeConnectionEvents {
    std::vector<NodeConnectionId> connected, closed;
    std::map<NodeConnectionId, std::string> sent;
    std::vector<std::string> told, said;
    void connect(NodeConnectionId connection, const std::string &) override {
        connected.push_back(connection);
    }
    void send(NodeConnectionId connection, std::string bytes) override {
        sent[connection] += bytes;
    }
    void close(NodeConnectionId connection) override { closed.push_back(connection); }
    void attempt_completed(AttemptCompletion completion) override {
        static constexpr const char *names[] = {"answered",    "error", "full",       "timed_out",
                                                "unreachable", "reset", "called_off", "unsent"};
        told.push_back(std::to_string(completion.request.value) + " " +
                       names[static_cast<int>(completion.outcome)] + " " +
                       completion.answer.payload);
    }
    void log_event(std::string text) override { said.push_back(std::move(text)); }
};

inline std::string welcome(std::uint64_t node, Time clock = 0) {
    return node_protocol::encode({.kind = node_protocol::FrameKind::welcome,
                                  .tag = node,
                                  .incarnation = 1,
                                  .not_after = clock});
}
inline std::string answer(std::uint64_t tag, node_protocol::Status status,
                          std::string_view payload = {}) {
    return node_protocol::encode({.kind = node_protocol::FrameKind::answer,
                                  .status = status,
                                  .tag = tag,
                                  .incarnation = 1,
                                  .payload = payload});
}

// Connections to node 1, of which one has completed its handshake.
struct Linked {
    Wired w;
    NodeConnections links;
    NodeConnectionId link{1};
    std::shared_ptr<NodeRequest> work =
        std::make_shared<NodeRequest>(NodeRequest{node_protocol::FrameKind::read,
                                                  VolumeId{5},
                                                  ShardId{0},
                                                  0,
                                                  512,
                                                  1,
                                                  false,
                                                  1,
                                                  false,
                                                  0,
                                                  {}});
    explicit Linked(bool up = true, std::size_t most_out = 1 << 20)
        : links(w, w, 0, 1, {1, 100 * ms, 200 * ms, 10 * sec, most_out}) {
        links.set_nodes({{NodeId{1}, "a"}});
        if (up) {
            links.start_attempt(0, {RequestId{99}, AttemptId{0}, NodeId{1}, work, sec});
            links.connected(0, link);
            links.received(0, link, welcome(1));
            links.received(0, link, answer(1, node_protocol::Status::ok));
            w.told.clear();
        }
    }
    void start_attempt(std::uint64_t task, Time now = 0, std::uint64_t node = 1) {
        links.start_attempt(now, {RequestId{task}, AttemptId{0}, NodeId{node}, work, now + sec});
    }
};

} // namespace knotvane::edge
