/// \file
/// The connections to the planner and who is at their far ends.
#pragma once

#include <map>
#include <optional>
#include <string>

#include "common/node_state.hpp"
#include "common/time.hpp"
#include "control/decode.hpp"
#include "control/ids.hpp"
#include "planner/transport.hpp"

namespace knotvane::planner {

using control::EdgeId;
using control::Term;
using control::Version;

/// One connection. What it says it is decides what it may say.
struct Session {
    enum class Role { unknown, edge, node, operator_client };

    /// What an edge goes by, and what it was sent.
    struct EdgeView {
        std::string listen_address;
        Term term;
        std::uint64_t lineage = 0;
        Version acknowledged;
        Version sent;
        Time sent_at = 0;
        bool in_flight = false; ///< an update was sent and is not acknowledged yet
        bool is_long = false;   ///< that update is a long one
    };

    explicit Session(SessionId session) : id(session) {}

    SessionId id;
    control::MessageDecoder decoder;
    Role role = Role::unknown;
    EdgeId edge;                         ///< where it is one
    NodeId node;                         ///< where it is one
    EdgeView edge_view;                  ///< where it is an edge
    std::optional<NodeState> state_sent; ///< where it is a node
    Time last_received = 0;
    std::string error; ///< why it has to be closed
    bool closed = false;
};

/// All sessions, and which one an edge or a node is connected by.
struct SessionTable {
    std::map<SessionId, Session> all;
    std::map<EdgeId, SessionId> edges;
    std::map<NodeId, SessionId> nodes;
};

} // namespace knotvane::planner
