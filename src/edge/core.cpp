#include "edge/core.hpp"

#include <algorithm>
#include <limits>
#include <utility>

#include "nbd/wire.hpp"

namespace knotvane::edge {
namespace {

constexpr Time never = std::numeric_limits<Time>::max();

} // namespace

// The decisions' actions, kept until the call in which they came is over: an answer may free a
// client's next request, which must not reach the decisions in the middle of a decision.
struct Core::Deeds final : SchedulerActions {
    enum class Kind { start_attempt, cancel_attempt, reject, error };
    struct Deed {
        Kind kind;
        RequestId task;
        AttemptId shot;
        NodeId node;
        Time time;
    };
    Core &core;
    std::deque<Deed> waiting;

    explicit Deeds(Core &c) : core(c) {}
    void start_attempt(RequestId id, NodeId n, Time timeout) override {
        // Counted from here on: should the task end before the shot goes, its outcome is still
        // owed.
        auto &t = core.tasks_.at(id);
        AttemptId shot{static_cast<std::uint32_t>(t.shots.size())};
        t.shots.push_back(n), t.sent.push_back(core.now_), ++t.out;
        waiting.push_back({Kind::start_attempt, id, shot, n, timeout});
    }
    void cancel_attempt(RequestId t, AttemptId s) override {
        waiting.push_back({Kind::cancel_attempt, t, s, {}, 0});
    }
    void reject(RequestId t, Time come_back) override {
        waiting.push_back({Kind::reject, t, {}, {}, come_back});
    }
    void fail(RequestId t) override { waiting.push_back({Kind::error, t, {}, {}, 0}); }
    void set_timer(TimerId a, Time wait) override { core.alarms_[a] = core.now_ + wait; }
    // The list is pushed to the edge; there is nobody to ask. Told as settings, so that none of
    // these comes.
    void watch_endpoints() override {}
};

struct Core::Client final : nbd::Asked {
    Core &core;
    ClientId id;
    nbd::Session session;
    Volume *volume = nullptr; // once it has chosen one
    std::set<ClientRequestId> requests;
    std::uint64_t seen_losses = 0;
    std::size_t out = 0; // handed to the shell and not yet written
    bool held = false, gone = false;

    Client(Core &c, ClientId i) : core(c), id(i), session(*this, c.flying_, c.request_) {}

    std::vector<std::string> exports() override {
        std::vector<std::string> out_names;
        for (auto &[name, _] : core.table_->names)
            out_names.push_back(name);
        return out_names;
    }
    std::optional<VolumeId> find(std::string_view name) const {
        auto &names = core.table_->names;
        auto it = names.find(name);
        // The first by name; never a snapshot or a clone, which come and go.
        if (name.empty())
            it = std::find_if(names.begin(), names.end(), [&](auto &n) {
                return !core.table_->volumes.at(n.second).is_snapshot();
            });
        if (it == names.end())
            return std::nullopt;
        return it->second;
    }
    bool describe(std::string_view name, std::uint64_t &size, std::uint16_t &flags,
                  std::uint32_t &least, std::uint32_t &preferred, std::uint32_t &most) override {
        auto found = find(name);
        if (!found)
            return false;
        auto &v = core.table_->volumes.at(*found);
        size = v.size, least = v.least, preferred = 4096, most = core.request_;
        flags = nbd::send_flush | nbd::send_fua | nbd::send_trim | nbd::send_write_zeroes |
                nbd::send_df | nbd::send_cache;
        // A flush here reaches what this edge wrote, on any connection; what another edge wrote it
        // can't know.
        auto part = core.table_->quota_shares.find(*found);
        if (part != core.table_->quota_shares.end() && part->second.sharers == 1)
            flags |= nbd::can_multi_conn;
        if (v.frozen)
            flags = nbd::read_only | nbd::send_flush | nbd::send_df | nbd::send_cache |
                    nbd::can_multi_conn;
        return true;
    }
    void opened(std::string_view name) override {
        volume = &core.open_volume(*find(name));
        seen_losses = volume->unflushed.losses();
    }
    void read(nbd::Cookie r, std::uint64_t offset, std::uint32_t length, bool) override {
        core.read(*this, r, offset, length);
    }
    void write(nbd::Cookie r, std::uint64_t offset, std::string_view data, bool fua) override {
        core.change(*this, r, offset, static_cast<std::uint32_t>(data.size()), data, false, fua);
    }
    void zero(nbd::Cookie r, std::uint64_t offset, std::uint32_t length, bool fua, bool no_hole,
              bool) override {
        // Without holes the zeroes are written out, so that the space is there.
        if (no_hole && length <= core.request_)
            core.change(*this, r, offset, length, std::string(length, '\0'), false, fua);
        else
            core.change(*this, r, offset, length, {}, true, fua);
    }
    void trim(nbd::Cookie r, std::uint64_t offset, std::uint32_t length, bool fua) override {
        core.change(*this, r, offset, length, {}, true, fua);
    }
    void flush(nbd::Cookie r) override { core.flush(*this, r); }
    void cache(nbd::Cookie r, std::uint64_t, std::uint32_t) override {
        session.done(r);
    } // only advice
    void status(nbd::Cookie r, std::uint64_t offset, std::uint32_t length, bool) override {
        core.status(*this, r, offset, length);
    }
    void left(std::string_view fault) override {
        if (!fault.empty())
            core.shell_.say("client " + std::to_string(id.value) + ": " + std::string(fault));
        gone = true;
    }
};

Core::Core(Shell &shell, const MakeScheduler &make, std::uint64_t id, std::uint64_t incarnation,
           std::uint64_t extent, std::uint64_t span, std::uint64_t unit,
           std::vector<ShardId> shards)
    : shell_(shell), deeds_(std::make_unique<Deeds>(*this)), scheduler_(make(*deeds_)),
      layout_(extent, span, std::move(shards)), id_(id),
      // Marks are told apart by this: with the start alone, two edges started at once would share
      // their marks, and a node would drop one's writes as repeats of the other's.
      incarnation_(mix(id, incarnation)), unit_(unit),
      cuts_([this](VolumeId as, control::SnapshotStep step) {
          shell_.cut_told(as, step, control::EdgeIncarnation{incarnation_});
      }) {
    set_links(1, sec, sec, 60 * sec, 1 << 20);
}
Core::~Core() = default;

void Core::set_links(std::size_t each, Time connect, Time stall, Time idle, std::size_t most_out) {
    links_ = std::make_unique<Links>(shell_, static_cast<Told &>(*this), id_, incarnation_, each,
                                     connect, stall, idle, most_out);
}
void Core::set_door(std::uint32_t flying, std::uint32_t request, std::size_t tasks,
                    std::size_t bytes) {
    flying_ = flying, request_ = request, most_tasks_ = tasks, most_bytes_ = bytes;
}
void Core::add_volume(VolumeId id, const std::string &name, std::uint64_t size, std::uint32_t least,
                      PlanId plan, std::uint32_t hosts) {
    control::Volume v;
    v.name = name, v.size = size, v.least = least, v.plan = plan;
    own_.put(id, std::move(v));
    own_.put(id, control::QuotaShare{control::whole_limit / hosts, hosts});
}
Core::Volume &Core::open_volume(VolumeId id) {
    auto &v = opened_[id];
    v.id = id;
    follow_facts(v);
    if (++v.clients == 1) {
        use(id, true);
        if (v.charge != id)
            use(v.charge, true);
    }
    return v;
}
// What is charged to a volume needs its part of the limit, too.
void Core::use(VolumeId id, bool on) {
    auto &n = used_[id];
    if (on ? n++ == 0 : --n == 0)
        shell_.volume_used(id, on);
    if (n == 0)
        used_.erase(id);
}
void Core::follow_facts(Volume &v) {
    // One that is gone from the table stays as it was for the clients that have it, but for a
    // snapshot or a clone, whose bytes are gone, too.
    if (v.charge == VolumeId{})
        v.charge = v.place = v.id;
    if (auto it = table_->volumes.find(v.id); it != table_->volumes.end()) {
        auto &f = it->second;
        v.plan = f.plan, v.place = f.lies_as(v.id), v.charge = f.charged_to(v.id);
        v.is_snapshot = f.is_snapshot(), v.frozen = f.frozen, v.gone = false;
        // One whose source pays goes by the source's plan as it is now: one volume is of one plan.
        if (auto pays = table_->volumes.find(v.charge); pays != table_->volumes.end())
            v.plan = pays->second.plan;
        cuts_.learn(v.id, f.epoch);
    } else {
        v.gone = v.is_snapshot;
    }
    if (auto it = table_->quota_shares.find(v.charge); it != table_->quota_shares.end())
        v.hosts = std::max(1u, it->second.sharers);
}
void Core::facts_changed(Time now) {
    now_ = now;
    for (auto &[id, v] : opened_)
        follow_facts(v);
    stirred_ = true;
}
void Core::plan_told(PlanId id, double weight, double usual, double reserve, double price,
                     double rate, double burst) {
    scheduler_->set_plan(id, {weight, usual, reserve, price, rate, burst});
    stirred_ = true;
}
void Core::quota_share_changed(Time now, VolumeId volume, double hosts) {
    now_ = now;
    scheduler_->quota_share_changed(now, volume, hosts);
    stirred_ = true;
}
void Core::add_workload(WorkloadId id, Command command, std::uint32_t up_to,
                        const std::string &volume, Time client_timeout, Time window) {
    workloads_.push_back({id, command, up_to, volume, client_timeout, window});
}
void Core::ready(Time now) {
    now_ = now;
    scheduler_->start(now);
    stirred_ = true;
}

// ---- The list of nodes.
bool Core::endpoint_list_begin(Time now, std::uint64_t version) {
    if (version <= version_)
        return false;
    now_ = now, version_ = version;
    addresses_.clear();
    scheduler_->endpoint_list_begin(now, EndpointListKind::full);
    return true;
}
void Core::endpoint_listed(NodeId node, const std::string &address, ShardId shard, ZoneId zone,
                           NodeState state, Time started) {
    if (state != NodeState::removed)
        addresses_[node] = address;
    scheduler_->endpoint_listed({node, shard, zone, state, started});
}
void Core::endpoint_list_end() {
    scheduler_->endpoint_list_end();
    links_->nodes(std::move(addresses_));
    stirred_ = true;
}

// ---- Clients.
void Core::client_came(Time now, ClientId id) {
    now_ = now;
    clients_[id] = std::make_unique<Client>(*this, id);
    touched_.insert(id);
    if (held_)
        clients_[id]->session.hold(true), clients_[id]->held = true, shell_.hold_client(id, true);
}
void Core::client_bytes(Time now, ClientId id, std::string_view in) {
    now_ = now;
    auto it = clients_.find(id);
    if (it == clients_.end())
        return;
    it->second->session.bytes(in);
    touched_.insert(id);
    if (it->second->gone)
        drop_client(id);
    door();
}
void Core::client_written(Time now, ClientId id, std::size_t bytes) {
    now_ = now;
    auto it = clients_.find(id);
    if (it == clients_.end())
        return;
    it->second->out -= std::min(bytes, it->second->out);
    bytes_ -= std::min(bytes, bytes_);
    touched_.insert(id);
    door();
}
void Core::client_gone(Time now, ClientId id) {
    now_ = now;
    auto it = clients_.find(id);
    if (it == clients_.end())
        return;
    it->second->gone = true;
    drop_client(id);
    door();
}
// Its requests are withdrawn; what it was still to be sent is sent where it said good-bye itself.
void Core::drop_client(ClientId id) {
    auto it = clients_.find(id);
    // One client leaves once, however much it had at work: what it asked first tells how long it
    // waited. Told of each of its tasks, the decisions would take one program that ends for a crowd
    // that runs out of patience.
    bool told = false;
    for (auto no : std::set<ClientRequestId>(it->second->requests)) {
        for (auto task : std::set<RequestId>(requests_.at(no).tasks)) {
            auto &t = tasks_.at(task);
            scheduler_->request_canceled(now_, task,
                                         std::exchange(told, true)
                                             ? CancelReason::abandoned
                                             : CancelReason::client_disconnected);
            stirred_ = true;
            end_task(task, t);
        }
        close_request(no);
    }
    if (auto rest = it->second->session.take_out(); !rest.empty())
        shell_.send_client(id, std::move(rest));
    bytes_ -= std::min(it->second->out, bytes_);
    auto *volume = it->second->volume;
    touched_.erase(id);
    clients_.erase(it);
    shell_.close_client(id);
    if (volume && --volume->clients == 0) {
        use(volume->id, false);
        if (volume->charge != volume->id)
            use(volume->charge, false);
    }
}

// Past the bounds no client is read from, until enough has gone that reading does not stop and
// start all the time.
void Core::door() {
    bool over = tasks_.size() >= most_tasks_ || bytes_ >= most_bytes_;
    bool under = tasks_.size() <= most_tasks_ / 4 * 3 && bytes_ <= most_bytes_ / 4 * 3;
    if (held_ ? under : over) {
        held_ = !held_;
        for (auto &[id, c] : clients_)
            c->session.hold(held_), touched_.insert(id);
    }
}

// ---- Requests become tasks.
ClientRequestId Core::open(Client &c, nbd::Cookie id, Command command, std::size_t bytes) {
    ClientRequestId no{++next_request_};
    requests_[no] = {c.id, id, command, bytes, false, {}};
    c.requests.insert(no);
    bytes_ += bytes;
    return no;
}

void Core::take(ClientRequestId no, Client &c, Command command, std::shared_ptr<Work> work,
                KeyId key, Time came) {
    auto is_for = [&](const std::string &volume) {
        auto it = table_->names.find(volume);
        return volume.empty() || (it != table_->names.end() && it->second == c.volume->id);
    };
    auto w = std::find_if(workloads_.begin(), workloads_.end(), [&](auto &x) {
        return x.command == command && work->length <= x.up_to && is_for(x.volume);
    });
    if (w == workloads_.end()) { // settings are checked for this
        fail_request(no, nbd::e_io, "errored: no workload is for this request", work->offset);
        return;
    }
    RequestId id{++next_task_};
    bool writes = command == Command::write || command == Command::zero;
    work->number = id.value;
    work->deduplicated = writes && w->window > 0;
    Time until = came + w->client_timeout;
    work->cut = c.volume->is_snapshot;
    requests_.at(no).tasks.insert(id);
    auto shard = work->shard;
    auto units = work->units;
    tasks_[id] = {no, false, std::move(work), until, w->window, {}, {}, 0};
    RequestInfo request;
    request.id = id;
    request.workload = w->id;
    request.volume = c.volume->charge;
    request.plan = c.volume->plan;
    request.shard = shard;
    request.key = key;
    request.units = units;
    request.sharers = c.volume->hosts;
    request.writes = writes;
    request.client_timeout = until;
    scheduler_->request_received(now_, request);
    stirred_ = true;
}

bool Core::is_gone(Client &c, nbd::Cookie id) {
    if (c.volume->gone)
        c.session.fail(id, nbd::e_shutdown, "denied: the snapshot or clone was dropped");
    return c.volume->gone;
}

void Core::read(Client &c, nbd::Cookie id, std::uint64_t offset, std::uint32_t length) {
    if (is_gone(c, id))
        return;
    auto no = open(c, id, Command::read, length);
    while (length > 0 && requests_.contains(no)) {
        auto n = layout_.cut(offset, length, false);
        take(no, c, Command::read,
             std::make_shared<Work>(Work{node_protocol::Kind::read,
                                         c.volume->id,
                                         layout_.shard_of(c.volume->place, offset),
                                         offset,
                                         n,
                                         1 + static_cast<double>(n) / static_cast<double>(unit_),
                                         false,
                                         0,
                                         false,
                                         0,
                                         {}}),
             layout_.key_of(c.volume->id, offset), now_);
        offset += n, length -= n;
    }
}

void Core::change(Client &c, nbd::Cookie id, std::uint64_t offset, std::uint32_t length,
                  std::string_view data, bool zeroes, bool fua) {
    if (is_gone(c, id))
        return;
    auto no = open(c, id, zeroes ? Command::zero : Command::write, data.size());
    if (cuts_.holding(c.volume->id))
        kept_[c.volume->id].push_back({no, offset, length, std::string(data), zeroes, fua, now_});
    else
        begin_change(no, c, offset, length, data, zeroes, fua, now_);
}
void Core::begin_change(ClientRequestId no, Client &c, std::uint64_t offset, std::uint32_t length,
                        std::string_view data, bool zeroes, bool fua, Time came) {
    auto command = zeroes ? Command::zero : Command::write;
    auto &v = *c.volume;
    auto epoch = cuts_.begins(v.id);
    {
        auto &r = requests_.at(no);
        r.begun = true, r.epoch = epoch, r.volume = v.id;
    }
    if (v.own_epoch != epoch)
        v.own.clear(), v.own_epoch = epoch;
    while (length > 0 && requests_.contains(no)) {
        auto n = layout_.cut(offset, length, true);
        // Zeroes cost a node little, whatever their length.
        double units = zeroes ? 1 : 1 + static_cast<double>(n) / static_cast<double>(unit_);
        if (copy_ > 0 && (epoch > 0 || v.is_snapshot)) {
            auto span = layout_.span_of(offset);
            if (v.own.size() <= span)
                v.own.resize(span + 1);
            if (!v.own[span])
                v.own[span] = true, units += copy_;
        }
        auto work = std::make_shared<Work>(
            Work{zeroes ? node_protocol::Kind::zero : node_protocol::Kind::write, v.id,
                 layout_.shard_of(v.place, offset), offset, n, units, fua, 0, false, 0,
                 std::string(data.substr(0, zeroes ? 0 : n))});
        work->epoch = epoch;
        take(no, c, command, std::move(work), layout_.key_of(v.id, offset), came);
        if (!zeroes)
            data.remove_prefix(n);
        offset += n, length -= n;
    }
}

void Core::flush(Client &c, nbd::Cookie id) {
    if (is_gone(c, id))
        return;
    auto no = open(c, id, Command::flush, 0);
    auto &r = requests_.at(no);
    r.mark = c.volume->unflushed.mark();
    auto shards = c.volume->unflushed.to_reach();
    if (shards.empty())
        return finish_flush(no, r);
    for (auto shard : shards)
        if (requests_.contains(no))
            take(no, c, Command::flush,
                 std::make_shared<Work>(Work{node_protocol::Kind::flush,
                                             c.volume->id,
                                             shard,
                                             0,
                                             0,
                                             1,
                                             false,
                                             0,
                                             false,
                                             0,
                                             {}}),
                 no_key, now_);
}

void Core::status(Client &c, nbd::Cookie id, std::uint64_t offset, std::uint32_t length) {
    if (is_gone(c, id))
        return;
    // An answer may be shorter than what was asked: the first extent's part is told.
    auto n = layout_.cut(offset, length, false);
    auto no = open(c, id, Command::status, 0);
    take(no, c, Command::status,
         std::make_shared<Work>(Work{node_protocol::Kind::status,
                                     c.volume->id,
                                     layout_.shard_of(c.volume->place, offset),
                                     offset,
                                     n,
                                     1,
                                     false,
                                     0,
                                     false,
                                     0,
                                     {}}),
         no_key, now_);
}

// ---- Cuts.
void Core::cut_hold(Time now, VolumeId of, VolumeId as, std::uint32_t epoch, Time longest) {
    now_ = now;
    cuts_.hold(now, of, as, epoch, longest);
    let_go(); // of an earlier one
}
void Core::cut_go(Time now, VolumeId of, VolumeId as, std::uint32_t epoch) {
    now_ = now;
    cuts_.go(now, of, as, epoch);
    let_go();
}
void Core::cut_release(Time now, VolumeId of, VolumeId as) {
    now_ = now;
    cuts_.release(of, as);
    let_go();
}
void Core::planner_lost(Time now) {
    now_ = now;
    cuts_.alone();
    let_go();
}
// Changes that were kept back begin, in the order in which they came.
void Core::let_go() {
    for (auto volume : cuts_.take_released()) {
        if (cuts_.holding(volume))
            continue;
        auto it = kept_.find(volume);
        if (it == kept_.end())
            continue;
        auto kept = std::move(it->second);
        kept_.erase(it);
        for (auto &k : kept) {
            auto r = requests_.find(k.no);
            if (r == requests_.end())
                continue; // its client left
            begin_change(k.no, *clients_.at(r->second.client), k.offset, k.length, k.data, k.zeroes,
                         k.fua, k.came);
        }
    }
}
// A store has cut without a change that began here before. True where the change goes on, in the
// epoch in force: a change of one part is in or out as a whole whatever becomes of it, and so is
// one of which no other part was sent.
bool Core::outdated(Task &t, const ShotOver &over) {
    auto volume = t.work->volume;
    cuts_.learn(volume, over.epoch);
    let_go();
    auto it = requests_.find(t.request);
    if (it == requests_.end())
        return false;
    Request &r = it->second;
    for (auto other : r.tasks)
        if (other != over.task && !tasks_.at(other).shots.empty())
            return false;
    if (r.some_done)
        return false;
    auto epoch = cuts_.epoch(volume);
    if (epoch <= r.epoch)
        return true; // said twice
    auto old = std::exchange(r.epoch, epoch);
    cuts_.begins(volume);
    cuts_.over(volume, old);
    for (auto task : r.tasks)
        tasks_.at(task).work->epoch = epoch;
    return true;
}

// ---- Outcomes and ends.
void Core::shot_over(Time, RequestId task, AttemptId shot, NodeId node, AttemptOutcome how,
                     node_protocol::Status status, std::uint64_t incarnation,
                     std::string_view payload, std::uint32_t epoch) {
    overs_.push_back({task, shot, node, how, status, incarnation, std::string(payload), epoch});
}
void Core::say(std::string text) {
    shell_.say(std::move(text));
}

void Core::do_shot(RequestId id, AttemptId shot, Time timeout) {
    auto &t = tasks_.at(id);
    auto node = t.shots[shot.value];
    if (t.ended) { // by another part of its request, in the same moment
        overs_.push_back({id, shot, node, AttemptOutcome::not_sent, {}, 0, {}, 0});
        return;
    }
    Time until = timeout > 0 ? std::min(now_ + timeout, t.client_timeout) : t.client_timeout;
    if (shot == AttemptId{0} && node_protocol::changes(t.work->kind))
        // One moment for all its shots: past it no copy is done, and until it the node remembers
        // the mark. So there is no time at which a late copy meets neither.
        t.work->not_after = t.window > 0 ? now_ + t.window : t.client_timeout;
    links_->start_attempt(now_, id, shot, node, t.work, until);
}

void Core::end_task(RequestId id, Task &t) {
    if (t.ended)
        return;
    t.ended = true;
    if (auto r = requests_.find(t.request); r != requests_.end())
        r->second.tasks.erase(id);
    forget_if_done(id);
}
void Core::forget_if_done(RequestId id) {
    auto it = tasks_.find(id);
    if (it != tasks_.end() && it->second.ended && it->second.out == 0)
        tasks_.erase(it);
}
void Core::close_request(ClientRequestId no) {
    auto it = requests_.find(no);
    bytes_ -= std::min(it->second.bytes, bytes_);
    if (it->second.begun)
        cuts_.over(it->second.volume, it->second.epoch);
    if (auto c = clients_.find(it->second.client); c != clients_.end()) {
        c->second->requests.erase(no);
        touched_.insert(c->first);
    }
    requests_.erase(it);
}

// The request ends now, once; its other tasks are withdrawn.
void Core::fail_request(ClientRequestId no, std::uint32_t error, const std::string &why,
                        std::optional<std::uint64_t> where) {
    auto it = requests_.find(no);
    if (it == requests_.end())
        return;
    for (auto task : std::set<RequestId>(it->second.tasks)) {
        // Not by its client: taken for impatience, a few large requests that fail would make all
        // tasks look late.
        scheduler_->request_canceled(now_, task, CancelReason::abandoned);
        stirred_ = true;
        end_task(task, tasks_.at(task));
    }
    auto client = it->second.client;
    auto id = it->second.id;
    close_request(no);
    if (auto c = clients_.find(client); c != clients_.end())
        c->second->session.fail(id, error, why, where);
}

void Core::finish_flush(ClientRequestId no, Request &r) {
    auto &c = *clients_.at(r.client);
    auto id = r.id;
    close_request(no);
    auto losses = c.volume->unflushed.losses();
    if (c.seen_losses == losses)
        return c.session.done(id);
    c.seen_losses = losses;
    c.session.fail(id, nbd::e_io, "errored: a node lost writes that were answered and not flushed");
}

void Core::delivered(Task &t, const ShotOver &over) {
    auto it = requests_.find(t.request);
    if (it == requests_.end())
        return;
    Request &r = it->second;
    Client &c = *clients_.at(r.client);
    r.some_done = true;
    const Work &w = *t.work;
    switch (r.command) {
    case Command::read:
        c.session.data(r.id, w.offset, over.payload);
        break;
    case Command::write:
    case Command::zero:
        c.volume->unflushed.written(w.shard, over.incarnation);
        break;
    case Command::flush:
        c.volume->unflushed.flushed(w.shard, over.incarnation, r.mark);
        break;
    case Command::status: {
        std::vector<std::pair<std::uint32_t, std::uint32_t>> runs;
        auto u32 = [&](std::size_t at) {
            std::uint32_t v = 0;
            for (std::size_t i = 4; i-- > 0;)
                v = v << 8 | static_cast<unsigned char>(over.payload[at + i]);
            return v;
        };
        for (std::size_t at = 0; at + 8 <= over.payload.size(); at += 8)
            runs.emplace_back(u32(at), u32(at + 4));
        auto id = r.id;
        close_request(t.request);
        if (runs.empty())
            return c.session.fail(id, nbd::e_io, "errored: the node told nothing of the range");
        return c.session.extents(id, runs);
    }
    }
    touched_.insert(r.client);
}

void Core::work_off() {
    auto &deeds = deeds_->waiting;
    while (!deeds.empty() || !overs_.empty()) {
        while (!deeds.empty()) {
            auto d = deeds.front();
            deeds.pop_front();
            auto it = tasks_.find(d.task);
            switch (d.kind) {
            case Deeds::Kind::start_attempt:
                do_shot(d.task, d.shot, d.time);
                break;
            case Deeds::Kind::cancel_attempt:
                links_->cancel_attempt(now_, d.task, d.shot);
                break;
            case Deeds::Kind::reject:
            case Deeds::Kind::error: {
                if (it == tasks_.end() || it->second.ended)
                    break; // withdrawn in the same moment
                Task &t = it->second;
                auto no = t.request;
                Request &r = requests_.at(no);
                bool changes = r.command == Command::write || r.command == Command::zero;
                // A denial says that trying again is harmless, of the whole request: not where
                // another part of it was done or may have been.
                bool reject = d.kind == Deeds::Kind::reject && !(changes && r.some_done);
                for (auto other : r.tasks)
                    reject =
                        reject && (!changes || other == d.task || tasks_.at(other).shots.empty());
                ++(reject ? denied_ : errored_);
                std::uint64_t where = t.work->offset;
                end_task(d.task, t);
                auto ms_after = (d.time + ms - 1) / ms;
                fail_request(no, reject ? nbd::e_nomem : nbd::e_io,
                             reject ? "denied: nothing was done; try again after " +
                                          std::to_string(ms_after) + " ms"
                                    : "errored: it may have been done or not",
                             where);
                break;
            }
            }
        }
        if (overs_.empty())
            break;
        auto over = std::move(overs_.front());
        overs_.pop_front();
        auto it = tasks_.find(over.task);
        if (it == tasks_.end())
            continue;
        Task &t = it->second;
        --t.out;
        bool well = over.how == AttemptOutcome::answered;
        Time took = now_ - t.sent[over.shot.value];
        shell_.attempt_completed(over.task, over.node, over.how, took);
        bool was_ended = t.ended;
        // Final words of a node on a change that was not done, and of which another shot would hear
        // the same.
        const char *refused = nullptr;
        std::uint32_t error = nbd::e_io;
        if (!was_ended && over.status == node_protocol::Status::stale && !outdated(t, over))
            refused =
                "errored: a snapshot was taken in the middle of it; a part may have been done";
        if (!was_ended && over.status == node_protocol::Status::no_space)
            refused = "errored: no space is left at its storage node", error = nbd::e_nospc;
        // The decisions hear of the outcome before the answer leaves: what leaves may bring the
        // next request.
        scheduler_->attempt_completed(
            now_, {over.task, over.shot, over.node, over.how, took, was_ended || well || refused});
        stirred_ = true;
        if (refused) {
            ++errored_;
            auto no = t.request;
            std::uint64_t where = t.work->offset;
            end_task(over.task, t);
            fail_request(no, error, refused, where);
        } else if (well && !was_ended) {
            ++delivered_;
            delivered(t, over);
            auto no = t.request;
            end_task(over.task, t);
            if (auto r = requests_.find(no); r != requests_.end() && r->second.tasks.empty()) {
                if (r->second.command == Command::flush) {
                    finish_flush(no, r->second);
                } else {
                    auto client = r->second.client;
                    auto id = r->second.id;
                    close_request(no);
                    clients_.at(client)->session.done(id);
                }
            }
        } else if (well && node_protocol::changes(t.work->kind)) {
            // Written though its client was told otherwise: a flush later must still cover it.
            opened_.at(t.work->volume).unflushed.written(t.work->shard, over.incarnation);
        }
        forget_if_done(over.task);
    }
}

Time Core::next_due() const {
    Time due = std::min(links_->next_due(), cuts_.next_due());
    for (auto &[id, at] : alarms_)
        due = std::min(due, at);
    if (stirred_ || !overs_.empty() || !deeds_->waiting.empty())
        due = std::min(due, now_);
    return due;
}

void Core::settle(Time now) {
    now_ = now;
    cuts_.tick(now);
    let_go();
    links_->tick(now);
    for (auto it = alarms_.begin(); it != alarms_.end();)
        if (it->second <= now) {
            auto id = it->first;
            it = alarms_.erase(it);
            scheduler_->timer_expired(now, id);
            stirred_ = true;
        } else {
            ++it;
        }
    work_off();
    // An answer may free a request that was kept back, and that is told to the decisions in the
    // same moment. A few rounds catch nearly all; what is left is due at once, after other events
    // had their turn.
    for (int rounds = 0; stirred_ && rounds < 4; ++rounds) {
        stirred_ = false;
        scheduler_->settle(now);
        work_off();
    }
    door();
    for (auto id : std::exchange(touched_, {})) {
        auto it = clients_.find(id);
        if (it == clients_.end())
            continue;
        Client &c = *it->second;
        if (c.gone) {
            drop_client(id);
            continue;
        }
        if (c.session.out_waiting() > 0) {
            auto out = c.session.take_out();
            c.out += out.size(), bytes_ += out.size();
            shell_.send_client(id, std::move(out));
        }
        // A client that does not take its answers is not read from.
        constexpr std::size_t most_out = 1 << 20; // a megabyte keeps any socket busy
        bool hold = c.session.choked() || c.out > most_out;
        if (hold != c.held)
            c.held = hold, shell_.hold_client(id, hold);
    }
}

} // namespace knotvane::edge
