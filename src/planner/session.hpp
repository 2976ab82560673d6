/// \file
/// The connections to the planner and the role of each peer.
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

/// One connection. Its role decides which messages are accepted from it.
struct Session {
    enum class Role { unknown, edge, node, operator_client };

    /// The state that an edge has acknowledged, and what it was sent.
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
    EdgeId edge;                         ///< if the role is edge
    NodeId node;                         ///< if the role is node
    EdgeView edge_view;                  ///< if the role is edge
    std::optional<NodeState> state_sent; ///< the state last sent, if the role is node
    Time last_received = 0;
    std::string error; ///< why the connection has to be closed; empty if it has not
    bool closed = false;
};

/// All sessions, and the current session of each edge and node.
struct SessionTable {
    std::map<SessionId, Session> all;
    std::map<EdgeId, SessionId> edges;
    std::map<NodeId, SessionId> nodes;
};

} // namespace knotvane::planner
