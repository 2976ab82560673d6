// The edge without I/O: clients' and nodes' bytes and time in, bytes out. Requests are cut into
// tasks, the decisions say what becomes of each task, links carry the shots. It decides nothing on
// tasks itself.
//
// Call order: make it; set-up calls on scheduler(), add_volume, add_workload; ready; then events as
// they happen, and settle at the end of each moment.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "control/cluster_state.hpp"
#include "edge/ids.hpp"
#include "edge/layout.hpp"
#include "edge/node_connections.hpp"
#include "edge/snapshot_participant.hpp"
#include "edge/unflushed.hpp"
#include "nbd/session.hpp"
#include "scheduling/scheduler.hpp"

namespace knotvane::edge {

// What the edge asks of its shell; closing is final, nothing more is told of what was closed.
class Shell : public Transport {
public:
    virtual void send_client(ClientId client, std::string bytes) = 0;
    virtual void close_client(ClientId client) = 0;
    // Whether to read from a client's socket.
    virtual void pause_client(ClientId client, bool hold) = 0;
    // For the log: what happened to the fleet or to a connection.
    virtual void log_event(std::string text) = 0;
    // A shot has ended, for the log and for who asks whether nodes are reached.
    virtual void attempt_completed(RequestId task, NodeId node, AttemptOutcome how, Time took) = 0;
    // A volume has its first client here, or lost its last.
    virtual void volume_used(VolumeId, bool) {}
    // A step of a cut, for the planner.
    virtual void snapshot_step_done(VolumeId /*as*/, control::SnapshotStep,
                                    control::EdgeIncarnation) {}
};

/// The scheduler's view of a plan of the control plane.
PlanConfig plan_config(const control::Plan &plan);

// The kinds of command that a workload can be for.
enum class Command { read, write, zero, flush, status };

/// What an edge is made with.
struct CoreConfig {
    /// This edge's number among all edges.
    std::uint64_t edge_id = 0;
    /// Differs with each start of the process.
    std::uint64_t incarnation = 0;
    /// Size in bytes of the extents that a volume is laid out in; a multiple of span_bytes.
    std::uint64_t extent_bytes = 0;
    /// Size in bytes of the ranges in which writes are ordered and cut.
    std::uint64_t span_bytes = 0;
    /// Bytes that count as one unit, beyond the unit that each request counts.
    std::uint64_t bytes_per_unit = 1;
    /// All shards; must not be empty.
    std::vector<ShardId> shards;
};

/// Bounds on what clients may have in flight. Past the last two no client is read from.
struct AdmissionLimits {
    std::uint32_t max_requests_per_client = 128;
    /// Bytes of one read or write.
    std::uint32_t max_request_bytes = 4u << 20;
    /// Scheduled requests of all clients.
    std::size_t max_scheduled_requests = 1 << 16;
    /// Bytes held for all clients: requests at work and answers that are not sent yet.
    std::size_t max_buffered_bytes = 1 << 30;
};

/// A volume of an edge that has no planner.
struct VolumeConfig {
    std::string name;
    std::uint64_t size_bytes = 0;
    /// Offsets and lengths of requests are multiples of it.
    std::uint32_t alignment_bytes = 512;
    PlanId plan;
    /// Edges that share the volume's limit.
    std::uint32_t sharers = 1;
};

/// Which scheduled requests belong to a workload.
struct WorkloadRule {
    WorkloadId workload;
    Command command = Command::read;
    /// Longer requests are not of the workload.
    std::uint32_t max_bytes = 0;
    /// Name of the volume; empty for all volumes.
    std::string volume;
    /// From a request's receipt until its client stops waiting.
    Time client_timeout = 0;
    /// How long nodes drop a repeat; 0 if the workload isn't deduplicated.
    Time deduplication_window = 0;
};

class Core final : NodeConnectionEvents {
public:
    using MakeScheduler = std::function<std::unique_ptr<Scheduler>(SchedulerActions &)>;
    Core(Shell &shell, const MakeScheduler &make, const CoreConfig &config);
    ~Core() override;

    Scheduler &scheduler() { return *scheduler_; }
    // Connections to nodes: see Links. Call before ready.
    void set_node_connections(const NodeConnectionConfig &config);
    void set_admission_limits(const AdmissionLimits &limits) { limits_ = limits; }
    // Units more for the first write to a span after a snapshot, which the node does to a copy.
    void set_copy_on_write_units(double units) { copy_ = units; }
    void add_volume(VolumeId id, const VolumeConfig &volume);
    // The first rule that a request fits counts.
    void add_workload(WorkloadRule rule) { workloads_.push_back(std::move(rule)); }
    void start(Time now);

    // Volumes come from this table from now on, which the caller changes as it likes and says so
    // after it: then what is open here follows. Time by the volumes open, not by those there are.
    void follow_cluster_state(const control::ClusterState &table) { table_ = &table; }
    void cluster_state_changed(Time now);
    // A plan as it is from now on; a rate of 0 is no limit.
    void set_plan(PlanId id, const PlanConfig &plan);
    // This edge's part of a volume's limit is one over `hosts`; endless for none.
    void quota_share_changed(Time now, VolumeId volume, double hosts);

    // The planner's word on a cut: see Cuts.
    void hold_snapshot(Time now, VolumeId of, VolumeId as, std::uint32_t epoch, Time longest);
    void resume_snapshot(Time now, VolumeId of, VolumeId as, std::uint32_t epoch);
    void release_snapshot(Time now, VolumeId of, VolumeId as);
    void planner_lost(Time now);

    // The list of nodes, as a whole: begin, a call for each node, end. A version that is not above
    // the last one is not taken (false).
    bool endpoint_list_begin(Time now, std::uint64_t version);
    void endpoint_listed(const Endpoint &endpoint, const std::string &address);
    void endpoint_list_end();

    void client_connected(Time now, ClientId client);
    void client_received(Time now, ClientId client, std::string_view in);
    // So many of the bytes sent have left for good.
    void client_sent(Time now, ClientId client, std::size_t bytes);
    void client_disconnected(Time now, ClientId client);

    void node_connected(Time now, NodeConnectionId link) { links_->up(now, link); }
    void node_connect_failed(Time now, NodeConnectionId link) { links_->failed(now, link); }
    void node_received(Time now, NodeConnectionId link, std::string_view in) {
        links_->bytes(now, link, in);
    }
    void node_disconnected(Time now, NodeConnectionId link) { links_->gone(now, link); }
    void node_sent(Time now, NodeConnectionId link, std::size_t bytes) {
        links_->written(now, link, bytes);
    }

    // When something is due next.
    Time next_due() const;
    // The end of a moment: what is due is done, waiting work goes, answers leave.
    void settle(Time now);

    // Figures, for logs and tests.
    std::size_t scheduled_requests() const { return tasks_.size(); }
    std::size_t buffered_bytes() const { return bytes_; }
    std::uint64_t incarnation() const { return incarnation_; } // as nodes know it

private:
    struct Client;
    struct Deeds;
    // One that has or had a client.
    struct Volume {
        VolumeId id;
        PlanId plan;
        std::uint32_t hosts = 1;
        std::size_t clients = 0;
        UnflushedWrites unflushed;
        VolumeId place, charge; // where its bytes lie, whose share its tasks are of
        bool is_snapshot = false, frozen = false, gone = false;
        // Spans written in this epoch: their blocks are its own.
        std::vector<bool> own{};
        std::uint32_t own_epoch = 0;
    };
    struct Request {
        ClientId client;
        nbd::Cookie id;
        Command command;
        std::size_t bytes;
        bool some_done = false;
        std::set<RequestId> tasks; // not ended yet
        std::uint64_t mark = 0;    // of a flush
        // Of a change that has begun: its epoch.
        bool begun = false;
        std::uint32_t epoch = 0;
        VolumeId volume{};
    };
    // A change that came while none may begin.
    struct Kept {
        ClientRequestId no;
        std::uint64_t offset;
        std::uint32_t length;
        std::string data;
        bool zeroes, fua;
        Time came;
    };
    struct Task {
        ClientRequestId request;
        bool ended = false;
        std::shared_ptr<NodeRequest> work;
        Time client_timeout, window;
        std::vector<NodeId> shots;
        std::vector<Time> sent;
        std::size_t out = 0;
    };
    struct ShotOver {
        RequestId task;
        AttemptId shot;
        NodeId node;
        AttemptOutcome how;
        node_protocol::Status status;
        std::uint64_t incarnation;
        std::string payload;
        std::uint32_t epoch;
    };

    // From sessions.
    void read(Client &c, nbd::Cookie id, std::uint64_t offset, std::uint32_t length);
    void change(Client &c, nbd::Cookie id, std::uint64_t offset, std::uint32_t length,
                std::string_view data, bool zeroes, bool fua);
    void begin_change(ClientRequestId no, Client &c, std::uint64_t offset, std::uint32_t length,
                      std::string_view data, bool zeroes, bool fua, Time came);
    void let_go();
    bool is_gone(Client &c, nbd::Cookie id);
    void flush(Client &c, nbd::Cookie id);
    void status(Client &c, nbd::Cookie id, std::uint64_t offset, std::uint32_t length);
    ClientRequestId open(Client &c, nbd::Cookie id, Command command, std::size_t bytes);
    void take(ClientRequestId no, Client &c, Command command, std::shared_ptr<NodeRequest> work,
              KeyId key, Time came);
    bool outdated(Task &t, const ShotOver &over);
    void use(VolumeId id, bool on);
    // From links.
    void shot_over(Time now, RequestId task, AttemptId shot, NodeId node, AttemptOutcome how,
                   node_protocol::Status status, std::uint64_t incarnation,
                   std::string_view payload, std::uint32_t epoch) override;
    void log_event(std::string text) override;

    void do_shot(RequestId task, AttemptId shot, Time timeout);
    void end_task(RequestId id, Task &t);
    void delivered(Task &t, const ShotOver &over);
    void fail_request(ClientRequestId no, nbd::ErrorCode error, const std::string &why,
                      std::optional<std::uint64_t> where);
    void close_request(ClientRequestId no);
    void finish_flush(ClientRequestId no, Request &r);
    void forget_if_done(RequestId id);
    void drop_client(ClientId id);
    Volume &open_volume(VolumeId id);
    void follow_facts(Volume &v);
    void door();
    void work_off();

    Shell &shell_;
    std::unique_ptr<Deeds> deeds_;
    std::unique_ptr<Scheduler> scheduler_;
    std::unique_ptr<NodeConnections> links_;
    Layout layout_;
    std::uint64_t id_, incarnation_, unit_;
    AdmissionLimits limits_;
    std::size_t bytes_ = 0;
    bool held_ = false;
    Time now_ = 0;
    std::uint64_t version_ = 0, next_request_ = 0, next_task_ = 0;
    control::ClusterState own_; // of settings; unused where a planner tells
    const control::ClusterState *table_ = &own_;
    std::map<VolumeId, Volume> opened_;
    std::map<VolumeId, std::size_t>
        used_; // by clients, of the volume itself or of what its share pays for
    SnapshotParticipant cuts_;
    std::map<VolumeId, std::deque<Kept>> kept_;
    double copy_ = 0;
    std::vector<WorkloadRule> workloads_;
    std::map<ClientId, std::unique_ptr<Client>> clients_;
    std::map<ClientRequestId, Request> requests_;
    std::map<RequestId, Task> tasks_;
    std::map<TimerId, Time> alarms_;
    std::map<NodeId, std::string> addresses_; // of the list being told
    std::deque<ShotOver> overs_;
    std::set<ClientId> touched_; // with something to send
    bool stirred_ = false;       // the decisions were told something since they last settled
};

} // namespace knotvane::edge
