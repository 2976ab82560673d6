// Checks the seven rules, and the data that reads return, from the bytes on the connections and the
// events of the fleet alone. It relies on nothing that an edge reports about itself.

#pragma once

#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

#include "common/ids.hpp"
#include "common/node_state.hpp"
#include "common/time.hpp"
#include "node_protocol/frame.hpp"
#include "scheduling/request.hpp"

namespace knotvane::rules {

using ConnectionId = Id<struct ConnectionKind, std::uint64_t>;
using EdgeId = Id<struct EdgeKind, std::uint64_t>;

// The rules by number, and the check of read data.

enum class Rule { answers = 1, effects, drains, cold, order, further, limits, data };

class RuleChecker {
public:
    // A rule whose settings are not set is not checked. `slack`: how far the times seen on the
    // connections may differ from the edge's own.
    explicit RuleChecker(Time slack);
    ~RuleChecker();
    // `command`: 0 read, 1 write, 2 zero, 3 flush, 4 status, as in the edge's
    // settings. With several workloads of a command the longest client timeout applies.

    void set_workload(int command, Time client_timeout, Idempotency repeat, Time window,
                      Time key_rest);
    // Edges split reads and writes at multiples of these sizes, in bytes.

    void set_split_sizes(std::uint64_t reads, std::uint64_t writes);
    void set_attempts(std::uint32_t most, bool parallel);
    void set_drain_grace(Time grace);
    // `capacity`: units per second of a warm node; the others are the settings of the cold rule.

    void set_cold(double capacity, double start_part, Time warm_after, Time span, double multiple);
    void set_retry_budget(double each, double free, Time span);
    // How long an attempt may wait for a new connection after it was decided.

    void set_connect_timeout(Time hold);
    // Maps an export name to its volume; an unknown name keeps the volume that the connection was
    // added with.

    void set_volume(const std::string &name, VolumeId volume);
    void set_limit(VolumeId volume, double rate, double burst, double slack);

    // An edge's connection to a client or, with a node, to that node. Clients' connections name the
    // volume.
    void client_connected(Time now, ConnectionId wire, EdgeId edge, VolumeId volume);
    void node_connected(Time now, ConnectionId wire, EdgeId edge, NodeId node);
    void bytes_seen(Time now, ConnectionId wire, bool from_edge, std::string_view in);
    void connection_closed(Time now, ConnectionId wire, bool by_edge);
    // An edge learned a node's state; a node's process started; a node lost its unflushed data.

    void node_state_learned(Time now, EdgeId edge, NodeId node, NodeState state);
    void node_started(Time now, NodeId node);
    void unflushed_data_lost(Time now, NodeId node);
    // An edge was killed: its open requests need no answer any more.

    void edge_killed(Time now, EdgeId edge);
    // Call after the last event: reports requests that are unanswered past their timeout.

    void finish(Time now);

    // One line for each breach, at most eight for each rule; then the number of breaches and of
    // checks
    // of a rule.

    const std::vector<std::string> &breach_lines() const { return breach_lines_; }
    std::uint64_t breaches(Rule rule) const { return breaches_[static_cast<std::size_t>(rule)]; }
    std::uint64_t checks(Rule rule) const { return checks_[static_cast<std::size_t>(rule)]; }
    std::uint64_t requests() const { return requests_; }
    std::uint64_t attempts() const { return attempt_count_; }
    std::uint64_t delivered() const { return delivered_; }

private:
    struct Request;
    struct Connection;
    struct Attempt {
        NodeId node;
        ShardId shard;
        std::uint64_t tag;
        ConnectionId wire;
        Time sent;
        bool out = true, proved = false;
    };
    struct WorkloadSettings {
        Time client_timeout = 0, window = 0, key_rest = 0;
        Idempotency repeat = Idempotency::idempotent;
    };
    using RequestPtr = std::shared_ptr<Request>;
    struct RequestAttempts {
        node_protocol::FrameKind kind;
        VolumeId volume;
        std::uint64_t offset;
        std::uint32_t length;
        RequestPtr request;
        std::vector<Attempt> attempts;
        Time rest_until = 0;
    };

    void breach(Rule rule, Time now, const std::string &what);
    void count_check(Rule rule) { ++checks_[static_cast<std::size_t>(rule)]; }
    void parse_requests(Time now, Connection &w);
    void parse_replies(Time now, Connection &w);
    void request_received(Time now, Connection &w, std::uint16_t flags, std::uint16_t command,
                          std::uint64_t cookie, std::uint64_t offset, std::uint32_t length,
                          std::string_view data);
    void read_data_received(Connection &w, std::uint64_t cookie, std::uint64_t offset,
                            std::string_view data);
    void request_answered(Time now, Connection &w, std::uint64_t cookie, std::uint32_t error);
    void check_read(Time now, Request &r);
    void attempt_sent(Time now, Connection &w, node_protocol::FrameKind kind, std::uint64_t tag,
                      VolumeId volume, std::uint64_t offset, std::uint32_t length, double units,
                      std::uint64_t number, ShardId shard, std::uint64_t first);
    void attempt_ended(Time now, RequestAttempts &t, Attempt &s, bool proved, bool known);
    void check_pending_order(Time now);
    void check_order(Time now, EdgeId edge, RequestAttempts &t);
    void prune(std::vector<std::pair<RequestPtr, std::uint64_t>> &history);

    Time slack_;
    std::array<WorkloadSettings, 5> workload_settings_;
    std::uint64_t read_split_size_ = 1 << 20, write_split_size_ = 1 << 20;
    std::uint32_t max_attempts_ = 0;
    bool parallel_ = true;
    Time drain_grace_ = -1, warm_after_ = 0, cold_span_ = 0, retry_span_ = 0, connect_timeout_ = 0;
    double node_capacity_ = 0, start_part_ = 1, cold_multiple_ = 0, retry_share_ = 0,
           retry_allowance_ = 0;
    struct Limit {
        double rate, burst, slack, level;
        Time at = 0;
    };
    std::map<VolumeId, Limit> limits_;
    std::map<std::string, VolumeId, std::less<>> volumes_;

    std::map<ConnectionId, std::unique_ptr<Connection>> connections_;
    std::map<EdgeId, std::vector<RequestPtr>> open_writes_; // writes, in order of arrival
    std::map<std::pair<EdgeId, std::uint64_t>, RequestAttempts> tasks_;
    std::deque<std::pair<Time, std::pair<EdgeId, std::uint64_t>>> tasks_by_age_;
    std::map<EdgeId, std::set<std::uint64_t>> writing_; // writes with an attempt that may still run
    std::map<std::pair<EdgeId, NodeId>, Time>
        leaving_; // since when the edge knows the node as draining or gone
    std::set<ShardId> shards_;
    std::map<NodeId, Time> started_, flush_asked_;
    std::map<NodeId, std::deque<std::pair<Time, double>>> sent_cold_;
    std::map<EdgeId, std::deque<Time>> accepted_,
        further_attempts_; // accepted_: once for each task
    std::map<std::pair<VolumeId, std::uint64_t>, std::vector<std::pair<RequestPtr, std::uint64_t>>>
        history_;
    std::vector<RequestPtr> undurable_;
    std::set<std::pair<Time, const Request *>> open_reads_;
    std::deque<std::tuple<Time, RequestPtr, std::string>>
        pending_order_checks_; // requests that must have ended soon after
    std::vector<std::string> breach_lines_;
    std::array<std::uint64_t, 9> breaches_{}, checks_{};
    std::uint64_t requests_ = 0, attempt_count_ = 0, delivered_ = 0;
};

} // namespace knotvane::rules
