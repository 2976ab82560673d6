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
#include "nbd/server.hpp"
#include "scheduling/scheduler.hpp"

namespace knotvane::edge {

// What the edge asks of its shell; closing is final, nothing more is told of what was closed.
class Shell : public Transport {
public:
    virtual void send_client(ClientId client, std::string bytes) = 0;
    virtual void close_client(ClientId client) = 0;
    // Whether to read from a client's socket.
    virtual void hold_client(ClientId client, bool hold) = 0;
    // For the log: what happened to the fleet or to a connection.
    virtual void say(std::string text) = 0;
    // A shot has ended, for the log and for who asks whether nodes are reached.
    virtual void attempt_completed(RequestId task, NodeId node, AttemptOutcome how, Time took) = 0;
    // A volume has its first client here, or lost its last.
    virtual void volume_used(VolumeId, bool) {}
    // A step of a cut, for the planner.
    virtual void cut_told(VolumeId /*as*/, control::SnapshotStep, control::EdgeIncarnation) {}
};

// The kinds of command that a workload can be for.
enum class Command { read, write, zero, flush, status };

class Core final : Told {
public:
    using MakeScheduler = std::function<std::unique_ptr<Scheduler>(SchedulerActions &)>;
    // `id`, `life`: of this edge, the life another one each time it starts. `extent`, `span`:
    // layout, bytes. `unit`: bytes that count as one unit, beyond the one that each task counts.
    Core(Shell &shell, const MakeScheduler &make, std::uint64_t id, std::uint64_t incarnation,
         std::uint64_t extent, std::uint64_t span, std::uint64_t unit, std::vector<ShardId> shards);
    ~Core() override;

    Scheduler &scheduler() { return *scheduler_; }
    // Connections to nodes: see Links. Call before ready.
    void set_links(std::size_t each, Time connect, Time stall, Time idle, std::size_t most_out);
    // `flying`: requests at work a client; `request`: bytes of one; `tasks`, `bytes`: of all
    // clients together, past which no client is read from.
    void set_door(std::uint32_t flying, std::uint32_t request, std::size_t tasks,
                  std::size_t bytes);
    // Units more for the first write to a span after a snapshot, which the node does to a copy.
    void set_copy(double units) { copy_ = units; }
    // `least`: bytes that requests are aligned to. `hosts`: edges that serve it.
    void add_volume(VolumeId id, const std::string &name, std::uint64_t size, std::uint32_t least,
                    PlanId plan, std::uint32_t hosts);
    // Tasks of this command of at most `up_to` bytes, on the volume of this name (empty: on all),
    // are of the workload; the first that fits counts. `window`: how long nodes drop a repeat, 0 if
    // not numbered.
    void add_workload(WorkloadId id, Command command, std::uint32_t up_to,
                      const std::string &volume, Time client_timeout, Time window);
    void ready(Time now);

    // Volumes come from this table from now on, which the caller changes as it likes and says so
    // after it: then what is open here follows. Time by the volumes open, not by those there are.
    void follow(const control::ClusterState &table) { table_ = &table; }
    void facts_changed(Time now);
    // A plan as it is from now on; a rate of 0 is no limit.
    void plan_told(PlanId id, double weight, double usual, double reserve, double price,
                   double rate, double burst);
    // This edge's part of a volume's limit is one over `hosts`; endless for none.
    void quota_share_changed(Time now, VolumeId volume, double hosts);

    // The planner's word on a cut: see Cuts.
    void cut_hold(Time now, VolumeId of, VolumeId as, std::uint32_t epoch, Time longest);
    void cut_go(Time now, VolumeId of, VolumeId as, std::uint32_t epoch);
    void cut_release(Time now, VolumeId of, VolumeId as);
    void planner_lost(Time now);

    // The list of nodes, as a whole: begin, a call for each node, end. A version that is not above
    // the last one is not taken (false).
    bool endpoint_list_begin(Time now, std::uint64_t version);
    void endpoint_listed(NodeId node, const std::string &address, ShardId shard, ZoneId zone,
                         NodeState state, Time started);
    void endpoint_list_end();

    void client_came(Time now, ClientId client);
    void client_bytes(Time now, ClientId client, std::string_view in);
    // So many of the bytes sent have left for good.
    void client_written(Time now, ClientId client, std::size_t bytes);
    void client_gone(Time now, ClientId client);

    void link_up(Time now, LinkId link) { links_->up(now, link); }
    void link_failed(Time now, LinkId link) { links_->failed(now, link); }
    void link_bytes(Time now, LinkId link, std::string_view in) { links_->bytes(now, link, in); }
    void link_gone(Time now, LinkId link) { links_->gone(now, link); }
    void link_written(Time now, LinkId link, std::size_t bytes) {
        links_->written(now, link, bytes);
    }

    // When something is due next.
    Time next_due() const;
    // The end of a moment: what is due is done, waiting work goes, answers leave.
    void settle(Time now);

    // Figures, for logs and tests.
    std::size_t tasks() const { return tasks_.size(); }
    std::size_t waiting_bytes() const { return bytes_; }
    std::uint64_t delivered() const { return delivered_; }
    std::uint64_t denied() const { return denied_; }
    std::uint64_t errored() const { return errored_; }
    std::uint64_t version() const { return version_; }
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
        Unflushed unflushed;
        VolumeId place, charge; // where its bytes lie, whose share its tasks are of
        bool is_snapshot = false, frozen = false, gone = false;
        // Spans written in this epoch: their blocks are its own.
        std::vector<bool> own{};
        std::uint32_t own_epoch = 0;
    };
    struct WorkloadFor {
        WorkloadId id;
        Command command;
        std::uint32_t up_to;
        std::string volume; // empty: any
        Time client_timeout, window;
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
        std::shared_ptr<Work> work;
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
    void take(ClientRequestId no, Client &c, Command command, std::shared_ptr<Work> work, KeyId key,
              Time came);
    bool outdated(Task &t, const ShotOver &over);
    void use(VolumeId id, bool on);
    // From links.
    void shot_over(Time now, RequestId task, AttemptId shot, NodeId node, AttemptOutcome how,
                   node_protocol::Status status, std::uint64_t incarnation,
                   std::string_view payload, std::uint32_t epoch) override;
    void say(std::string text) override;

    void do_shot(RequestId task, AttemptId shot, Time timeout);
    void end_task(RequestId id, Task &t);
    void delivered(Task &t, const ShotOver &over);
    void fail_request(ClientRequestId no, std::uint32_t error, const std::string &why,
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
    std::unique_ptr<Links> links_;
    Layout layout_;
    std::uint64_t id_, incarnation_, unit_;
    std::uint32_t flying_ = 128, request_ = 4u << 20;
    std::size_t most_tasks_ = 1 << 16, most_bytes_ = 1 << 30, bytes_ = 0;
    bool held_ = false;
    Time now_ = 0;
    std::uint64_t version_ = 0, next_request_ = 0, next_task_ = 0;
    std::uint64_t delivered_ = 0, denied_ = 0, errored_ = 0;
    control::ClusterState own_; // of settings; unused where a planner tells
    const control::ClusterState *table_ = &own_;
    std::map<VolumeId, Volume> opened_;
    std::map<VolumeId, std::size_t>
        used_; // by clients, of the volume itself or of what its share pays for
    Cuts cuts_;
    std::map<VolumeId, std::deque<Kept>> kept_;
    double copy_ = 0;
    std::vector<WorkloadFor> workloads_;
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
