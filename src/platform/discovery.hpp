// The list of nodes, as discovery's agent tells it: a watch that is opened again and again, without I/O.
#pragma once

#include <cstdint>
#include <limits>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/node.hpp"
#include "core/redial.hpp"
#include "http/decoder.hpp"
#include "platform/wires.hpp"
#include "policy.hpp"

namespace knotvane::platform {

// Told list by list, each whole: begins, its lines, ends.
class ListTold {
  public:
    virtual ~ListTold() = default;
    virtual void list_begins(Time now, ListKind kind) = 0;
    virtual void node_listed(NodeId node, const std::string &address, ShardId shard, ZoneId zone, NodeState state,
                             Time started) = 0;
    virtual void list_ends() = 0;
};

class Discovery {
  public:
    // `zones`: names in the order of their ids.
    Discovery(Wires &wires, ListTold &told, Conns &conns, std::vector<std::string> zones, std::uint64_t seed);

    // A list in discovery's form, whatever its source; empty, or why it was refused and changed nothing.
    std::string list(Time now, std::string_view json);
    // Watches there from now on. A watch that stands elsewhere is let go once this one speaks.
    void watch(Time now, const std::string &address);

    bool owns(ConnId conn) const { return (now_ && now_->conn == conn) || (then_ && then_->conn == conn); }
    void up(Time now, ConnId conn);
    void failed(Time now, ConnId conn);
    void bytes(Time now, ConnId conn, std::string_view in);
    void gone(Time now, ConnId conn);
    Time next_due() const;
    void tick(Time now);
    bool listed() const { return listed_; }

  private:
    struct Watch {
        std::string address;
        ConnId conn{};
        bool connected = false;
        Time heard = 0;
        http::Decoder in;
        std::string line;
        Redial redial;
    };
    Watch make(const std::string &address);
    void dial(Time now, Watch &w);
    void lost(Time now, Watch &w, bool close, const char *why);
    Watch *of(ConnId conn);

    Wires &wires_;
    ListTold &told_;
    Conns &conns_;
    std::map<std::string, ZoneId> zones_;
    std::uint64_t seed_, watches_ = 0;
    std::optional<Watch> now_, then_; // the one that tells, and the one that is to take over
    std::map<std::string, NodeId> ids_;
    std::uint64_t last_id_ = 0, generation_ = 0;
    bool listed_ = false;
};

} // namespace knotvane::platform
