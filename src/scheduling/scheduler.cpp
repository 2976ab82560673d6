// All decisions of a knotvane scheduler. Its interface is policy.hpp: the adapter, later the real
// program, calls the set-up functions once, then one function for each event, then settle at the
// end of each moment.
//
// A task passes: intake (answers, client timeouts) -> turn by key -> limit -> placement -> the
// node's volumes (tags, budgets, rate, window) -> gates (drain, cold) -> shots. Outcomes go back
// the other way.
//
// The design is BFQ+'s (docs/design.md). Beside it stand these mechanisms, six at most:
//   1. silence: a node with shots out that is not heard from gets single trial shots, in turns
//   2. giving up: a waiting task that can't be in time, or is a repeat in the way of others, ends
//   at once
//   3. two picks: a new object goes to the better of two nodes drawn at random
//   4. cold part: a node that is new, or back from silence, gets our part of what it bears
//   5. further shots: only where no effect can double, within the budget, with more time left than
//   one takes
//   6. doomed work: what was abandoned at a node stays in the window, and a full node is held for a
//   moment
#include "scheduling/scheduler.hpp"

#include <cmath>
#include <deque>
#include <limits>
#include <map>
#include <optional>
#include <random>
#include <set>

#include "scheduling/node_record.hpp"
#include "scheduling/samples.hpp"

namespace knotvane {

constexpr Time never = std::numeric_limits<Time>::max();

// ---- Turn by key: tasks with one key run one at a time, in the order in which they were taken.
class Turns {
public:
    void join(KeyId key, RequestId task) { lines_[key].tasks.push_back(task); }
    bool may_go(KeyId key, RequestId task, Time now) const {
        auto it = lines_.find(key);
        return it == lines_.end() ||
               (it->second.tasks.front() == task && now >= it->second.rest_until);
    }
    // A key rests after an outcome that leaves a shot maybe running, so that no successor overtakes
    // it.
    void rest(KeyId key, Time until) {
        lines_[key].rest_until = std::max(lines_[key].rest_until, until);
    }
    void leave(KeyId key, RequestId task) { std::erase(lines_[key].tasks, task); }
    void prune(Time now) {
        std::erase_if(
            lines_, [&](auto &l) { return l.second.tasks.empty() && now >= l.second.rest_until; });
    }

private:
    struct Line {
        std::deque<RequestId> tasks;
        Time rest_until = 0;
    };
    std::map<KeyId, Line> lines_;
};

// ---- Limit: this scheduler's part of one volume's store. What has passed but was not yet sent
// stays set aside, so that the store never refills past what all schedulers' parts add up to.
class LimitPart {
public:
    // Starts empty at the scheduler's own start: a life before this one may have just drawn a full
    // burst.
    LimitPart(double rate, double burst, Time since) : rate_(rate), burst_(burst), at_(since) {}
    // Takes units if the part holds them. The most hosts ever told counts: another may still go by
    // that.
    bool take(Time now, double units, double hosts) {
        refill(now, handed_over_ ? hosts_ : std::max(hosts_, hosts));
        if (units > level_)
            return false;
        level_ -= units, set_aside_ += units;
        return true;
    }
    void sent(double units) { set_aside_ -= units; }
    void give_back(double units) { set_aside_ -= units, level_ += units; }
    // From now on the part is handed over: no two hold the same, so it may grow again. None is
    // endless hosts.
    void hand(Time now, double hosts) {
        refill(now, std::max(hosts_, hosts)); // what came in until now came at the smaller part
        refill(now, hosts), handed_over_ = true;
    }
    void limit(Time now, double rate, double burst) {
        if (rate != rate_ || burst != burst_)
            refill(now, hosts_), rate_ = rate, burst_ = burst;
    }
    // A part that is still to come is waited for.
    bool never_fits(double units) const { return !std::isinf(hosts_) && units > burst_ / hosts_; }

private:
    void refill(Time now, double hosts) {
        hosts_ = hosts;
        level_ =
            std::min(level_ + rate_ / hosts_ * seconds(now - at_), burst_ / hosts_ - set_aside_);
        at_ = now;
    }
    double rate_, burst_, hosts_ = 1, level_ = 0, set_aside_ = 0;
    Time at_;
    bool handed_over_ = false;
};

// ---- Further shots: how many may go beyond each task's first, in any window of the span.
struct FurtherShots {
    double each = 0, free = 0;
    Time span = 0;
    Recent taken, shots;
    // The edges are counted against us: a shot just a span ago counts, a task just a span ago does
    // not.
    bool allowed(Time now) {
        return span == 0 ||
               shots.since(now - span) + 1 <= free + each * taken.since(now - span + 1);
    }
};

// ---- Cold gate: whether a cold node still bears these units within this scheduler's part. Guards
// against all together pushing it over. A part below the largest task would leave it idle: there
// tasks go by lot, with the chance at which, by what was asked of us over a longer time, the part
// is met in the mean.
bool cold_allows(double sent, double units, double part, double largest, double asked_in_span,
                 double lot) {
    return part >= largest ? sent + units <= part : sent == 0 && lot * asked_in_span <= part;
}

// ---- The window: how many shots this scheduler has out at one node.
class Window {
public:
    static constexpr double floor = 4, ceiling = 32; // the design's
    // Answers that make one reading: fewer swing with the tasks' own costs. Old ones tell of
    // another load.
    static constexpr std::size_t lately = 8;
    static constexpr Time fresh = 2 * sec;
    // The floor is the node's: schedulers share it, as they share limits. Each with the whole of
    // it, eight of them would keep 32 shots at a node of four slots, late whatever the order.
    explicit Window(std::uint32_t schedulers)
        : floor_(floor / schedulers), size_(std::max(1.0, floor_)) {}
    // Below one it paces: a shot, then a rest, the shorter the more the volume weighs against the
    // mean of the plans: schedulers that meet at a node keep the weights among each other so, too.
    bool open(std::size_t out, Time since_last, Time expected, double weighs) const {
        return size_ >= 1 ? static_cast<double>(out) < std::floor(size_)
                          : out == 0 && seconds(since_last) * std::max(floor_, size_ * weighs) >=
                                            seconds(expected);
    }
    double size() const { return size_; }
    bool paces() const { return size_ < 1; }
    // Per-unit latency of an answer. Grows by one a window while the reading is under twice its
    // recent best; doubles at most. Before there are eight answers, one that took half its due time
    // or more halves it.
    void answered(Time now, double units, Time took, bool slow) {
        took_.add({now, units, seconds(took)});
        double u = 0, t = 0, fresh_u = 0, fresh_t = 0;
        for (auto &[at, au, s] : took_) {
            u += au, t += s;
            if (at > now - fresh)
                fresh_u += au, fresh_t += s;
        }
        if (took_.size() == lately)
            best_.add(t / u);
        if (best_.empty() || size_ <= 1 ? slow : fresh_t / fresh_u >= 2 * best_.least())
            halve(now, took);
        else if (!best_.empty() || size_ < 1)
            size_ = std::min(ceiling, size_ + std::min(size_, 1 / size_));
    }
    void halve(Time now, Time round_trip) {
        if (now < halved_ + round_trip)
            return;
        halved_ = now;
        size_ = std::max(floor_, size_ / 2);
    }

private:
    double floor_, size_;
    Time halved_ = 0;
    Samples<std::tuple<Time, double, double>, lately> took_;
    Samples<double, 256> best_; // recent: a few seconds of answers on a busy node
};

// ---- A node's volumes: B-WF2Q+ over budgets.
enum class Stop { emptied, exhausted, timed_out };

class Volumes {
public:
    static constexpr Time slice = 125 * ms; // the paper's
    static constexpr Time shortest_measure =
        20 * ms;                               // the paper's: shorter turns say nothing of the rate
    static constexpr double write_charge = 10; // the paper's
    using Rank =
        std::tuple<double, Time, RequestId>; // most value a unit, earliest due time, then as taken
    struct Line {
        double weight = 1, start = 0, finish = 0, budget = 0;
        std::size_t out = 0;
        std::set<Rank> tasks;
    };

    explicit Volumes(double largest) : largest_(largest) {}

    void add(VolumeId v, double weight, Rank task) {
        auto [it, is_new] = lines_.try_emplace(v);
        Line &line = it->second;
        if (is_new)
            line.budget = std::max(largest_, max_budget() / 2);
        if (line.tasks.empty() || line.weight != weight)
            weights_ = 0;
        line.weight = weight;
        if (line.tasks.empty() && serving_ != v) {
            line.start = std::max(virtual_time_, line.finish);
            line.finish = line.start + line.budget / line.weight;
        }
        line.tasks.insert(task);
    }
    void remove(VolumeId v, Rank task) {
        lines_[v].tasks.erase(task);
        if (lines_[v].tasks.empty())
            weights_ = 0;
    }
    // The volume whose task goes next, none if nothing waits; ends turns that are over.
    std::optional<VolumeId> choose(Time now) {
        if (serving_ && lines_[*serving_].tasks.empty())
            stop(now, Stop::emptied);
        if (serving_ && now - began_ >= slice)
            stop(now, Stop::timed_out);
        if (!serving_)
            select(now);
        return serving_;
    }
    static double charge_of(double units, bool writes) {
        return writes ? write_charge * units : units;
    }
    // Whether the turn's budget holds this charge; a turn's first task always goes, whatever it is
    // charged.
    bool fits(double charge) const {
        return charged_ == 0 || charged_ + charge <= lines_.at(*serving_).budget;
    }
    void exhaust(Time now) { stop(now, Stop::exhausted); }
    void sent(Rank task, double units, double charge) {
        if (weights_ == 0) // of the volumes that wait; worked out when one begins or ends to
            for (auto &[v, line] : lines_)
                weights_ += line.tasks.empty() ? 0 : line.weight;
        virtual_time_ += charge / weights_;
        Line &line = lines_[*serving_];
        line.tasks.erase(task);
        if (line.tasks.empty())
            weights_ = 0;
        ++line.out;
        charged_ += charge, units_ += units;
    }
    void returned(VolumeId v) { --lines_[v].out; }
    // The smoothed rate, units a second: the paper's filter over the kept turns.
    double rate() const {
        double r = 0;
        for (auto &[measured, exhausted] : turns_)
            if (r == 0)
                r = measured;
            else if (r < measured || !exhausted)
                r = r * 7 / 8 + measured / 8;
        return r;
    }
    double max_budget() const { return std::max(largest_, seconds(slice) * rate()); }
    const std::map<VolumeId, Line> &lines() const { return lines_; }
    double virtual_time() const { return virtual_time_; }

private:
    void select(Time now) {
        Line *least = nullptr;
        double least_start = std::numeric_limits<double>::infinity();
        for (auto &[v, line] : lines_)
            if (!line.tasks.empty())
                least_start = std::min(least_start, line.start);
        if (least_start == std::numeric_limits<double>::infinity())
            return;
        virtual_time_ = std::max(virtual_time_, least_start);
        for (auto &[v, line] : lines_)
            if (!line.tasks.empty() && line.start <= virtual_time_ &&
                (!least || line.finish < least->finish))
                least = &line, serving_ = v;
        began_ = now;
        charged_ = units_ = 0;
    }
    void stop(Time now, Stop why) {
        Line &line = lines_[*serving_];
        if (now - began_ >= shortest_measure)
            turns_.add({units_ / seconds(now - began_), why == Stop::exhausted});
        double most = max_budget();
        // After a timeout the finish tag stands at the whole budget; else it tells what was really
        // charged.
        double charged = why == Stop::timed_out ? std::max(charged_, line.budget) : charged_;
        line.finish = line.start + charged / line.weight;
        double next = why == Stop::exhausted                   ? line.budget * 4
                      : why == Stop::timed_out || line.out > 0 ? line.budget * 2
                                                               : line.budget - most / 8;
        line.budget = std::clamp(next, largest_, most);
        if (!line.tasks.empty()) {
            line.start = std::max(virtual_time_, line.finish);
            line.finish = line.start + line.budget / line.weight;
        }
        serving_.reset();
    }

    double largest_, virtual_time_ = 0, charged_ = 0, units_ = 0, weights_ = 0;
    std::map<VolumeId, Line> lines_;
    std::optional<VolumeId> serving_;
    Time began_ = 0;
    Samples<std::pair<double, bool>, 32> turns_; // past 32 the filter's weight is under a fiftieth
};

// ---- What waits at a node, so that who is too late is found without a look at everybody: with
// thousands that wait the look itself would make all of them late.
class Waiting {
public:
    using Place =
        std::pair<VolumeId, Volumes::Rank>; // in the order in which volumes and their tasks stand
    void add(double units, Time due, bool repeated, const Place &p) {
        by_units_[units].insert({due, p});
        if (repeated)
            repeats_.insert(p);
        ++all_;
    }
    void remove(double units, Time due, const Place &p) {
        auto it = by_units_.find(units);
        it->second.erase({due, p});
        if (it->second.empty())
            by_units_.erase(it);
        repeats_.erase(p);
        --all_;
    }
    // Who would be answered past the due time, by what a task of so many units is expected to take.
    template <class Expected>
    std::set<Place> late(Time now, Expected expected) const {
        std::set<Place> out;
        for (auto &[units, tasks] : by_units_)
            for (auto it = tasks.begin(); it != tasks.end() && now + expected(units) > it->first;
                 ++it)
                out.insert(it->second);
        return out;
    }
    const std::set<Place> &repeats() const { return repeats_; }
    std::size_t firsts() const { return all_ - repeats_.size(); }

private:
    std::map<double, std::set<std::pair<Time, Place>>> by_units_;
    std::set<Place> repeats_;
    std::size_t all_ = 0;
};

// ---- A node, as this scheduler sees it.
struct Node : NodeSeen {
    Node(NodeId i, std::uint32_t n, double largest) : window(n), volumes(largest) { id = i; }
    Window window;
    Volumes volumes;
    Waiting waiting;
    // What a task is expected to take there once sent: its units at the quick quarter of times per
    // unit, here or before there are enough answers elsewhere, and the wait, the middle of what
    // answers took beyond that. An answer tells of the wait for about as long as it took: after
    // that the next task finds out. Guards against shunning a node for good by what it was, where
    // answers are rare. Worked out again when an answer came, one grew old, or elsewhere changed.
    void reckon(Time now, double elsewhere) {
        if (now < reckoned_until && elsewhere == reckoned_with)
            return;
        reckoned_until = never, reckoned_with = elsewhere;
        auto until = [&](Time t) {
            reckoned_until = std::min(reckoned_until, t > now ? t : never);
        };
        Samples<double, 32> each, recent, waits;
        for (auto &[at, units, secs] : answers) {
            each.add(secs / units);
            if (at > now - 4 * sec)
                recent.add(secs / units);
            until(at + 4 * sec), until(at + static_cast<Time>((0.25 + secs) * 1e9) - us);
        }
        unit = each.size() < Window::lately ? elsewhere : each.quantile(0.25);
        for (auto &[at, units, secs] : answers)
            if (seconds(now - at) < 0.25 + secs) // a quarter second more, for a few answers to meet
                waits.add(std::max(0.0, secs - units * unit));
        wait = waits.quantile(0.5);
        if (recent.size() >= 8)
            wait = 0, unit = recent.quantile(0.5);
    }
    Time expected(double units) const { return static_cast<Time>((wait + unit * units) * 1e9); }
    Time reckoned_until = 0;
    double reckoned_with = 0;
    // How long it may be silent with shots out: well past its slowest recent answer and the pauses
    // of disks.
    Time patience() const { return std::max(500 * ms, 3 * took.most()); }
};

// Whether telling the client that trying again is harmless is true. Guards against effects that
// happen twice.
bool may_deny(const Task &task, Idempotency repeat, DeduplicationScope group) {
    return repeat == Idempotency::idempotent || !task.may_have_run() ||
           (repeat == Idempotency::deduplicated && group == DeduplicationScope::all);
}

// Whether one more shot after the first so many can do no harm at that node. Guards against effects
// that happen twice.
bool harmless(const Task &task, std::size_t made, const WorkloadConfig &w, const Node &node,
              Time now, Time margin) {
    if (w.idempotency == Idempotency::idempotent)
        return true;
    for (std::size_t i = 0; i < made; ++i) {
        const Shot &s = task.shots[i];
        if (s.proved_not_run)
            continue;
        if (w.idempotency == Idempotency::at_most_once ||
            now + margin >= s.sent + w.deduplication_window)
            return false;
        if ((w.deduplication_scope == DeduplicationScope::shard && s.shard != node.shard) ||
            (w.deduplication_scope == DeduplicationScope::zone && s.zone != node.zone))
            return false;
    }
    return true;
}

bool may_shoot(const Task &task, const WorkloadConfig &w, const Node &node, std::uint32_t most,
               bool parallel, Time now, Time margin) {
    if (task.shots.size() >= most || (!parallel && task.any_out()))
        return false;
    return harmless(task, task.shots.size(), w, node, now, margin);
}

class Knotvane final : public Scheduler {
public:
    Knotvane(SchedulerActions &actions, std::uint64_t seed)
        : do_(actions), chance_(static_cast<std::uint32_t>(seed ^ (seed >> 32))) {}

    void configure(const SchedulerConfig &config) override {
        self_ = config.self;
        schedulers_ = config.scheduler_count;
        step_ = std::max(config.time_step, ms);
        mean_ = config.units.mean > 0 ? config.units.mean : 1;
        largest_ = std::max(1.0, config.units.largest);
        share_worth_ = config.units.share_value > 0 ? config.units.share_value : 1;
        spare_worth_ = config.units.spare_value;
        most_shots_ = config.attempts.max_attempts;
        parallel_ = config.attempts.allow_parallel;
        may_call_off_ = config.attempts.cancel_abandoned;
        further_.each = config.retry_budget.retries_per_request;
        further_.free = config.retry_budget.free_retries;
        further_.span = config.retry_budget.window;
        longest_wait_ = config.max_retry_after;
        marked_ = config.clients_mark_repeats;
        on_request_ = config.endpoint_list.on_request;
        ask_within_ = config.endpoint_list.max_age;
        cold_units_ = config.slow_start.units;
        cold_span_ = config.slow_start.window;
        warm_after_ = config.slow_start.duration;
        start_part_ =
            config.slow_start.initial_capacity > 0 ? config.slow_start.initial_capacity : 1;
    }
    void set_workload(WorkloadId id, const WorkloadConfig &workload) override {
        workloads_[id] = workload;
    }
    void set_plan(PlanId id, const PlanConfig &config) override {
        plans_[id] = config;
        plans_[id].weight = std::max(config.weight, 1e-6);
        shares_ = usual_ = 0;
        for (auto &[_, plan] : plans_)
            shares_ += plan.weight, usual_ += plan.usual_rate;
    }
    void start(Time now) override {
        born_ = now;
        if (on_request_)
            follow(now);
    }

    void endpoint_list_begin(Time now, EndpointListKind kind) override {
        now_ = heard_list_ = now, ask_at_ = never;
        whole_ = kind == EndpointListKind::full;
        for (auto &[id, node] : nodes_)
            node.listed = false;
    }
    void endpoint_listed(const Endpoint &endpoint) override {
        Node &node =
            nodes_.try_emplace(endpoint.node, endpoint.node, schedulers_, largest_).first->second;
        node.listed = true;
        node.shard = endpoint.shard;
        node.zone = endpoint.zone;
        node.state = endpoint.state;
        Time started = endpoint.started_at;
        if (started > node.started) { // a restart: what was silent before says nothing of it now
            node.started = started, node.heard = now_, node.silent = false;
            node.cold_until = std::max(node.cold_until, started + warm_after_);
        }
    }
    void endpoint_list_end() override {
        ready_.clear(), holds_.clear();
        for (auto &[id, node] : nodes_) {
            if (whole_ && !node.listed) // a whole list that leaves a node out has removed it
                node.state = NodeState::removed;
            if (node.state != NodeState::ready) {
                empty_queue(node);
                continue;
            }
            ready_.push_back(&node);
            Node *&holder = holds_[node.shard]; // a node that replaces another holds its shard too
            if (!holder || holder->started <= node.started)
                holder = &node;
        }
    }
    void endpoint_list_failed(Time now) override {
        // A second apart and not in step with others, so that failing calls do not keep the list
        // busy.
        ask_at_ = now + 500 * ms + static_cast<Time>(chance_() % 1000) * ms;
    }

    void quota_share_changed(Time now, VolumeId volume, double hosts) override {
        now_ = now;
        limits_.try_emplace(volume, 0, 0, now).first->second.hand(now, hosts);
    }

    void request_received(Time now, const RequestInfo &request) override {
        now_ = now;
        further_.taken.add(now, 1), further_.taken.since(now - further_.span);
        RequestId id = request.id;
        Task &t = tasks_[id];
        t.id = id;
        t.workload = request.workload;
        t.volume = request.volume;
        t.plan = request.plan;
        t.shard = request.shard;
        t.key = request.key;
        t.units = std::max(request.units, 0.0);
        t.hosts = std::max(request.sharers, 1.0);
        t.writes = request.writes;
        t.taken = now;
        t.repeated = request.repeated;
        t.lot = static_cast<double>(chance_()) / chance_.max();
        // Two steps early, so that the batch in which the answer leaves comes before the client is
        // gone.
        t.last_call = request.client_timeout - 2 * step_;
        t.due = t.first_due = std::min(now + workloads_[t.workload].latency_objective, t.last_call);
        // Asked before, and ended without an answer: the due time is still the first try's, where
        // clients don't mark their repeats, too. Harm: tasks alike in volume, data, workload and
        // size count as one.
        auto before = unanswered_.extract(alike(t));
        if (before && t.key != no_key && t.repeated == marked_) {
            t.first_due = std::min(before.mapped(), t.due);
            t.repeated = t.first_due <= now;
            t.due = t.repeated ? t.due : t.first_due;
        }
        calls_.insert({t.last_call, id});
        if (in_turn(t))
            turns_.join(t.key, id);
        moving_.insert(id);
    }
    void attempt_completed(Time now, const AttemptResult &result) override {
        now_ = now;
        RequestId id = result.request;
        AttemptId shot = result.attempt;
        AttemptOutcome how = result.outcome;
        Time took = result.duration;
        bool ended = result.client_answered;
        auto it = tasks_.find(id);
        if (it == tasks_.end() || shot.value >= it->second.shots.size() ||
            !it->second.shots[shot.value].out)
            return;
        Task &t = it->second;
        Shot &s = t.shots[shot.value];
        s.out = false;
        s.proved_not_run = how == AttemptOutcome::overloaded ||
                           how == AttemptOutcome::unreachable || how == AttemptOutcome::not_sent;
        hear(nodes_.at(s.node), t, shot, how, took);
        if (in_turn(t) && (how == AttemptOutcome::timed_out || how == AttemptOutcome::reset ||
                           how == AttemptOutcome::canceled))
            turns_.rest(t.key, now + workloads_[t.workload].key_rest);
        if (ended && !t.ended)
            stayed_.add({t.volume, now - t.taken}), end(t);
        else if (!t.ended && !t.any_out())
            again(t);
        forget_if_done(it);
    }
    void request_canceled(Time now, RequestId id, CancelReason reason) override {
        now_ = now;
        auto it = tasks_.find(id);
        if (it == tasks_.end() || it->second.ended)
            return;
        if (reason == CancelReason::client_disconnected)
            left_.add({now, it->second.volume, now - it->second.taken});
        unanswered_[alike(it->second)] = it->second.first_due;
        end(it->second);
        forget_if_done(it);
    }
    // Its connection may have come up late: the client left, the node drains, the window for
    // repeats is over.
    bool may_send_attempt(Time now, RequestId id, AttemptId shot) const override {
        auto it = tasks_.find(id);
        if (it == tasks_.end() || it->second.ended)
            return false;
        const Task &t = it->second;
        const Node &node = nodes_.at(t.shots[shot.value].node);
        return node.state == NodeState::ready &&
               harmless(t, shot.value, workloads_.at(t.workload), node, now, 2 * step_);
    }
    void timer_expired(Time now, TimerId) override {
        if (now >= next_alarm_)
            next_alarm_ = never;
    }

    void settle(Time now) override {
        now_ = now;
        if (on_request_ && (now >= ask_at_ || now - heard_list_ > ask_within_))
            follow(now);
        while (!calls_.empty() && calls_.begin()->first <= now) {
            auto it = tasks_.find(calls_.begin()->second);
            give_up(it->second, 0), forget_if_done(it);
        }
        advance();
        for (auto it = busy_.begin(); it != busy_.end();) {
            Node &node = nodes_.at(*it);
            serve(node);
            it = node.out.empty() && node.units_waiting < 1e-9 ? busy_.erase(it) : std::next(it);
        }
        turns_.prune(now);
        constexpr Time come_again =
            4 * sec;                   // past the longest wait that clients keep to, and their own
        if (unanswered_.size() > 4096) // no need to look at each moment
            std::erase_if(unanswered_, [&](auto &u) { return u.second < now - come_again; });
        wake();
    }

private:
    using Alike = std::tuple<VolumeId, KeyId, WorkloadId, double>;
    static Alike alike(const Task &t) { return {t.volume, t.key, t.workload, t.units}; }
    // ---- Intake: one final answer for each task, never late.
    void give_up(Task &t, Time retry_after) {
        const WorkloadConfig &w = workloads_[t.workload];
        if (may_deny(t, w.idempotency, w.deduplication_scope))
            do_.reject(t.id, std::min(retry_after, longest_wait_));
        else
            do_.fail(t.id);
        unanswered_[alike(t)] = t.first_due;
        end(t);
    }
    void end(Task &t) {
        leave_stage(t);
        if (t.passed_limit && t.shots.empty())
            limits_.at(t.volume).give_back(t.units);
        calls_.erase({t.last_call, t.id}), t.ended = true;
        if (may_call_off_)
            for (std::uint32_t i = 0; i < t.shots.size(); ++i)
                if (t.shots[i].out)
                    do_.cancel_attempt(t.id, AttemptId{i});
    }
    void leave_stage(Task &t) {
        moving_.erase(t.id);
        if (t.stage == Stage::queue) {
            Node &node = nodes_.at(t.node);
            node.volumes.remove(t.volume, rank(t));
            node.waiting.remove(t.units, t.due, {t.volume, rank(t)});
            node.units_waiting -= t.units;
        }
    }
    // A task is done with when it has its answer and no shot out; only then does its key's next one
    // go.
    void forget_if_done(std::map<RequestId, Task>::iterator it) {
        Task &t = it->second;
        if (!t.ended || t.any_out())
            return;
        if (in_turn(t))
            turns_.leave(t.key, t.id);
        tasks_.erase(it);
    }
    // Value first; a client's repeat is past its due time, or nearly, and earns what a late answer
    // does.
    Volumes::Rank rank(const Task &t) {
        const WorkloadConfig &w = workloads_[t.workload];
        return {-w.value * (t.repeated ? w.late_value_fraction : 1), t.due, t.id};
    }
    bool in_turn(const Task &t) { return workloads_[t.workload].ordered_by_key && t.key != no_key; }

    // ---- Turn, limit and placement: each passes the task on or keeps it.
    void advance() {
        std::vector<RequestId> all(moving_.begin(), moving_.end());
        for (auto id : all) {
            auto it = tasks_.find(id);
            Task &t = it->second;
            if (t.stage == Stage::turn && (!in_turn(t) || turns_.may_go(t.key, t.id, now_)))
                t.stage = Stage::limit;
            if (t.stage == Stage::limit && pass_limit(t))
                t.stage = Stage::placement;
            Node *node = t.stage == Stage::placement ? place(t) : nullptr;
            if (node)
                enter(*node, t);
            else if (now_ >= t.due || refuse_)
                give_up(t, longest_wait_);
            refuse_ = false;
            forget_if_done(it);
        }
    }
    bool pass_limit(Task &t) {
        const PlanConfig &plan = plans_[t.plan];
        if (plan.limit_rate <= 0 || t.passed_limit)
            return true;
        auto &part =
            limits_.try_emplace(t.volume, plan.limit_rate, plan.limit_burst, born_).first->second;
        part.limit(now_, plan.limit_rate, plan.limit_burst);
        t.passed_limit = part.take(now_, t.units, t.hosts);
        refuse_ = !t.passed_limit && part.never_fits(t.units);
        return t.passed_limit;
    }
    // The node that holds the task's shard; for a new object the better of two drawn by what we
    // have there.
    Node *place(const Task &t) {
        if (t.shard != no_shard) {
            auto it = holds_.find(t.shard);
            return it == holds_.end() ? nullptr : it->second;
        }
        if (ready_.empty())
            return nullptr;
        Node *a = ready_[chance_() % ready_.size()], *b = ready_[chance_() % ready_.size()];
        return cost(*b) < cost(*a) ? b : a;
    }
    // Our own counts: the time that what we have waiting and out takes; silent and cold nodes come
    // last.
    double cost(const Node &n) const {
        return n.wait + (1 + n.units_waiting + n.units_out) * n.unit + (n.silent ? 1e9 : 0) +
               (is_cold(n) ? 1e6 : 0);
    }
    // Share, and reserve at what a unit inside it earns over one inside the share. By the share
    // alone a large reserve is served no better than none.
    double weight(const PlanConfig &plan) const {
        return plan.weight + plan.reserved_rate / share_worth_ * shares_ / std::max(usual_, 1e-9);
    }
    // What a unit is worth in the mean where a volume asks that much in all: the reserve in full,
    // up to the size that it was planned for as share, the rest as spare.
    double worth(const PlanConfig &p, double asked) const {
        double reserve = std::min(asked, p.reserved_rate),
               share = std::min(asked, std::max(p.usual_rate, p.reserved_rate)) - reserve;
        return p.price *
               (reserve + share_worth_ * share + spare_worth_ * (asked - reserve - share)) / asked;
    }
    // The worth of all volumes that wait at a node against the mean of the plans: a surge weighs
    // little.
    double weighs(const Node &node) {
        double all = 0, sum = 0;
        for (auto &[id, plan] : plans_)
            sum += worth(plan, std::max(plan.usual_rate, 1e-6));
        for (auto &[v, line] : node.volumes.lines())
            if (!line.tasks.empty()) {
                const Task &t = tasks_.at(std::get<RequestId>(*line.tasks.begin()));
                double asked = asked_[v].since(now_ - surge) / seconds(surge);
                all += worth(plans_[t.plan], std::max(asked * t.hosts, 1e-6));
            }
        return all * static_cast<double>(plans_.size()) / sum;
    }
    static constexpr Time surge =
        5 * sec; // surges last longer; a task each ten seconds shows in it at times
    void enter(Node &node, Task &t) {
        moving_.erase(t.id), t.stage = Stage::queue, t.node = node.id;
        node.units_waiting += t.units, busy_.insert(node.id);
        if (t.shots.empty()) {
            node.asked.add(now_, t.units), node.asked.since(now_ - long_run);
            asked_[t.volume].add(now_, t.units), asked_[t.volume].since(now_ - surge);
        }
        node.volumes.add(t.volume, weight(plans_[t.plan]), rank(t));
        node.waiting.add(t.units, t.due, t.repeated, {t.volume, rank(t)});
    }
    // Tasks queued at a node that drains or is gone go back to placement: moved, held or answered
    // there.
    void empty_queue(Node &node) {
        for (auto &[id, t] : tasks_)
            if (t.stage == Stage::queue && t.node == node.id && !t.ended)
                leave_stage(t), t.stage = Stage::placement, moving_.insert(id);
    }

    // ---- The node's volumes, and the gates.
    void serve(Node &node) {
        if (node.state != NodeState::ready)
            return;
        watch(node);
        if (node.units_waiting < 1e-9)
            return;
        node.reckon(now_, elsewhere_);
        drop_late(node);
        while (auto v = node.volumes.choose(now_)) {
            Task &t = tasks_.at(std::get<RequestId>(*node.volumes.lines().at(*v).tasks.begin()));
            if (!t.shots.empty() && !may_go_again(t, node)) {
                auto it = tasks_.find(t.id);
                give_up(t, longest_wait_);
                forget_if_done(it);
                continue;
            }
            double charge = Volumes::charge_of(t.units, t.writes);
            if (!node.volumes.fits(charge)) {
                node.volumes.exhaust(now_);
                continue;
            }
            // Abandoned work stays in the window until a later shot is answered: nodes must not
            // fill with it. One shot may always go, or nothing would tell of its end; where some
            // got lost lately, two.
            bool spare = now_ < node.lost + 2 * sec;
            std::size_t held = node.out.size() - node.overdue + node.ghosts.size();
            if (!node.window.open(node.out.empty() || held == 0 ? 0 : held - spare,
                                  now_ - node.last_shot, node.expected(t.units),
                                  node.window.paces() ? weighs(node) : 1) ||
                !gates_open(node, t))
                return;
            node.volumes.sent(rank(t), t.units, charge);
            node.waiting.remove(t.units, t.due, {t.volume, rank(t)});
            start_attempt(node, t);
        }
    }
    // How long a volume's clients wait now, where many leave early (eight in two seconds): the
    // quick quarter of them. Guards against serving only who is about to go. Those of one volume
    // tell of it alone, those of four or more of everybody: one client that hangs up again and
    // again must not shorten the wait of all.
    Time clients_wait(VolumeId volume) const {
        Samples<Time, 32> lately, own;
        std::set<VolumeId> volumes;
        for (auto &[at, v, waited] : left_)
            if (at > now_ - 2 * sec) {
                lately.add(waited), volumes.insert(v);
                if (v == volume)
                    own.add(waited);
            }
        bool all = volumes.size() >= 4;
        auto &tell = all ? lately : own;
        if (tell.size() < 8)
            return never / 2;
        // As many were answered after longer: clients do wait. Guards against those that leave
        // right after they asked, whatever is done for them.
        Time wait = tell.quantile(0.25);
        std::size_t stayed = 0;
        for (auto &[v, waited] : stayed_)
            stayed += (all || v == volume) && waited > wait;
        return stayed >= tell.size() ? never / 2 : wait;
    }
    // Ends waiting tasks that can't be in time any more, to be asked again past the jam if at all.
    void drop_late(Node &node) {
        auto expected = [&](double units) { return node.expected(units); };
        auto late = node.waiting.late(now_, expected);
        if (left_.size() >= 8 && std::get<0>(*(left_.end() - 8)) > now_ - 2 * sec)
            for (auto &[v, line] : node.volumes.lines()) {
                Time wait = line.tasks.empty() ? never / 2 : clients_wait(v);
                for (auto &rank : line.tasks)
                    if (const Task &t = tasks_.at(std::get<RequestId>(rank));
                        now_ + node.expected(t.units) > t.taken + wait)
                        late.insert({v, rank});
            }
        std::vector<RequestId> ends;
        std::size_t late_firsts = 0;
        for (auto &[v, rank] : late) {
            ends.push_back(std::get<RequestId>(rank));
            late_firsts += !node.waiting.repeats().contains({v, rank});
        }
        // A repeat earns a late answer's part at most: where first tries wait, it makes room for
        // them. Guards against a retry storm in which everybody is served late.
        if (!node.window.open(node.out.size() - node.overdue, 0, 1, 1) &&
            node.waiting.firsts() > late_firsts)
            for (auto &place : node.waiting.repeats())
                if (!late.contains(place))
                    ends.push_back(std::get<RequestId>(place.second));
        for (auto id : ends) {
            auto it = tasks_.find(id);
            give_up(it->second, longest_wait_), forget_if_done(it);
        }
    }
    static constexpr Time long_run =
        20 * sec; // one task in ten seconds shows in it; surges come and go
    // Our part of what the node bears: at its start the stated units, then more, as its capacity
    // grows from the stated part of the whole evenly or faster. A silent node may start at any
    // moment. The parts of all add up: N tasks of mean work, and it falls past N + 2 root N + 2. A
    // part that holds a task is kept exactly, so half of that margin is dealt out with it and the
    // other half left to what tasks cost beyond their units. By lot only the mean is kept, and
    // chance takes the margin: by_lot of N leaves three and a half deviations of the sum, from N of
    // 30 to 150, where units are twice as uneven as calls alone.
    double cold_part(const Node &node) const {
        double age = node.silent
                         ? 0
                         : seconds(now_ - (node.cold_until - warm_after_)) / seconds(warm_after_);
        double grown = std::clamp(1 + age * (1 - start_part_) / start_part_, 1.0, 1 / start_part_);
        double all = cold_units_ * grown;
        double exact = (all + mean_ * (std::sqrt(all / mean_) + 1)) / schedulers_;
        return exact >= largest_ ? exact : by_lot * all / schedulers_;
    }
    static constexpr double by_lot = 0.7;
    bool is_cold(const Node &node) const { return now_ < node.cold_until; }
    bool gates_open(Node &node, const Task &t) {
        if (now_ < node.hold_until)
            return false;
        if (node.silent) {
            // Trial shots, one at a time, the schedulers taking turns by their numbers: long enough
            // for a trial to be answered before the next one's turn, but all within what a client
            // waits.
            constexpr Time trial = 250 * ms, round = 2 * sec;
            auto turn =
                static_cast<std::uint64_t>(now_ / std::min<Time>(trial, round / schedulers_));
            if (turn % schedulers_ != self_.value || now_ - node.last_shot < trial)
                return false;
        }
        if (!node.silent && !is_cold(node))
            return true;
        // Just started, we have forgotten what we sent. Below: what leaves may arrive a step later.
        if (now_ < born_ + cold_span_)
            return false;
        Time span = cold_span_ + step_, over = std::min(long_run, now_ - born_);
        double asked = node.asked.since(now_ - over) * seconds(span) / seconds(over);
        return cold_units_ <= 0 || cold_allows(node.sent.since(now_ - span), t.units,
                                               cold_part(node), largest_, asked, t.lot);
    }

    // ---- Shots.
    void start_attempt(Node &node, Task &t) {
        if (!t.shots.empty())
            further_.shots.add(now_, 1);
        else if (t.passed_limit)
            limits_.at(t.volume).sent(t.units);
        node.last_shot = now_;
        node.sent.add(now_, t.units), node.sent.since(now_ - cold_span_ - step_);
        node.units_waiting -= t.units, node.units_out += t.units;
        if (node.out.empty())
            node.heard = now_;
        node.out.insert({now_, {t.id, AttemptId{static_cast<std::uint32_t>(t.shots.size())}}});
        t.shots.push_back({node.id, node.shard, node.zone, now_, true, false});
        t.stage = Stage::shooting;
        do_.start_attempt(t.id, node.id, 0);
    }
    void hear(Node &node, Task &t, AttemptId shot, AttemptOutcome how, Time took) {
        node.out.erase({t.shots[shot.value].sent, {t.id, shot}});
        node.units_out -= t.units;
        node.volumes.returned(t.volume);
        if (how == AttemptOutcome::timed_out || how == AttemptOutcome::canceled) {
            if (t.shots[shot.value].sent >= node.overtaken)
                node.ghosts.insert(t.shots[shot.value].sent);
            // It took this long at least: without it the window hears of the quick answers only,
            // and grows.
            node.window.answered(now_, std::max(t.units, 1.0), took, 2 * took > t.due - t.taken);
            if (took > node.expected(std::max(t.units, 1.0)) &&
                t.shots[shot.value].sent >= node.overtaken)
                node.answers.add({now_, std::max(t.units, 1.0), seconds(took)}),
                    node.reckoned_until = 0;
            if (took > node.patience() && t.shots[shot.value].sent < node.overtaken)
                node.lost = now_;
        }
        if (how == AttemptOutcome::answered || how == AttemptOutcome::error) {
            // It may have restarted before the list says so: cold if it refused a connection or was
            // silent for longer than nodes pause. A reset alone is no sign: its cause may lie on
            // the way.
            constexpr Time restart = 2 * sec; // no process was seen back sooner
            if (node.refused || (node.silent && now_ - node.heard > restart))
                node.cold_until = std::max(node.cold_until, now_ + warm_after_);
            node.silent = node.refused = false;
            node.heard = now_, node.refusals = 0;
        }
        if (how == AttemptOutcome::answered) {
            node.overtaken = std::max(node.overtaken, t.shots[shot.value].sent);
            node.ghosts.erase(node.ghosts.begin(), node.ghosts.lower_bound(node.overtaken));
            node.took.add(took), node.fulls = 1;
            node.answers.add({now_, std::max(t.units, 1.0), seconds(took)}),
                node.reckoned_until = 0;
            unit_time_.add(seconds(took) / std::max(t.units, 1.0)),
                elsewhere_ = unit_time_.quantile(0.25);
            node.window.answered(now_, std::max(t.units, 1.0), took, 2 * took > t.due - t.taken);
        } else if (how == AttemptOutcome::overloaded) {
            node.window.halve(now_, node.took.quantile(0.5));
            // A place is free when something was done. Each further time twice as long, until all
            // schedulers together send one in the time that one takes: else it stays full of doomed
            // work.
            node.hold_until = now_ + node.expected(t.units) * node.fulls;
            node.fulls = std::min(node.fulls * 2, schedulers_);
        } else if (how == AttemptOutcome::unreachable) {
            // One lost connection is no sign: where the network drops some, most nodes would pass
            // for cold. Nor is one that never came up while the node answered others: it was lost
            // on the way.
            if (node.heard <= t.shots[shot.value].sent && ++node.refusals >= 2)
                node.silent = node.refused = true;
        }
    }
    // A shot is overdue past the node's patience, or overtaken by a later one's answer: it may be
    // lost while the node lives, and leaves the window. With two overdue or abandoned and nothing
    // heard the node is silent and must not fill with doomed shots. Harm: costly tasks are
    // overtaken too, and a long pause costs.
    void watch(Node &node) {
        Time since = now_ - node.patience(), slow = 0;
        if (!node.out.empty() && node.out.begin()->first < node.overtaken)
            slow = now_ - 3 * node.took.quantile(0.5);
        node.overdue = 0;
        for (auto it = node.out.begin(); it != node.out.end(); ++it)
            node.overdue += it->first < since || (it->first < node.overtaken && it->first < slow);
        node.ghosts.erase(node.ghosts.begin(),
                          node.ghosts.lower_bound(since - 3 * node.patience()));
        auto stale = std::distance(node.ghosts.begin(), node.ghosts.lower_bound(since));
        if (node.overdue + static_cast<std::size_t>(stale) >= 2 && node.heard < since)
            node.silent = true;
    }
    // A shot came back without an answer: another one, if harmless and possibly in time; else the
    // end.
    void again(Task &t) {
        leave_stage(t);
        t.stage = Stage::placement;
        if (Node *node = place(t); node && may_go_again(t, *node))
            enter(*node, t);
        else
            give_up(t, longest_wait_);
    }
    bool may_go_again(const Task &t, const Node &node) {
        return may_shoot(t, workloads_[t.workload], node, most_shots_, parallel_, now_,
                         2 * step_) &&
               further_.allowed(now_) && now_ + node.expected(t.units) < t.due;
    }

    // ---- The list and the alarm.
    void follow(Time now) {
        heard_list_ = now, ask_at_ = never;
        do_.watch_endpoints();
    }
    void wake() {
        // Waiting tasks are looked at each few milliseconds: the finest any gate here tells apart.
        constexpr Time look = 5 * ms, watch_out = 50 * ms;
        Time at = std::min(ask_at_, on_request_ ? heard_list_ + ask_within_ + ms : never);
        at = std::min({at, calls_.empty() ? never : calls_.begin()->first,
                       moving_.empty() ? never : now_ + look});
        for (auto id : busy_)
            at = std::min(at, now_ + (nodes_.at(id).units_waiting > 1e-9 ? look : watch_out));
        if (at < next_alarm_)
            do_.set_timer(TimerId{1}, std::max<Time>(at - now_, 0)), next_alarm_ = at;
    }

    SchedulerActions &do_;
    std::ranlux24_base chance_;
    PeerId self_;
    std::uint32_t schedulers_ = 1, most_shots_ = 1;
    Time now_ = 0, born_ = 0, step_ = ms, longest_wait_ = 0, ask_within_ = 0, cold_span_ = 0,
         warm_after_ = 0;
    Time heard_list_ = 0, ask_at_ = never, next_alarm_ = never;
    double mean_ = 1, largest_ = 1, cold_units_ = 0, shares_ = 0, usual_ = 0, share_worth_ = 1;
    double spare_worth_ = 0, start_part_ = 1, elsewhere_ = 0;
    bool parallel_ = false, marked_ = false, may_call_off_ = false, on_request_ = false,
         whole_ = false, refuse_ = false;
    std::map<WorkloadId, WorkloadConfig> workloads_;
    std::map<PlanId, PlanConfig> plans_;
    std::map<RequestId, Task> tasks_;
    std::map<NodeId, Node> nodes_;
    std::vector<Node *> ready_;
    std::map<ShardId, Node *> holds_; // the youngest ready node of each shard
    std::set<NodeId> busy_;           // with something waiting or out
    std::set<RequestId> moving_;      // in turn, limit or placement
    std::set<std::pair<Time, RequestId>>
        calls_; // every task that is owed an answer, by its last call
    std::map<VolumeId, LimitPart> limits_;
    Samples<std::tuple<Time, VolumeId, Time>, 32>
        left_;                                      // clients who left: when, whose, after how long
    Samples<std::pair<VolumeId, Time>, 64> stayed_; // who was answered: whose, after how long
    std::map<Alike, Time>
        unanswered_; // tasks ended without an answer, and when their first try was due
    Samples<double, 64> unit_time_;    // of the last answers of all nodes
    std::map<VolumeId, Recent> asked_; // units, by volume
    Turns turns_;
    FurtherShots further_;
};

std::unique_ptr<Scheduler> make_scheduler(SchedulerActions &actions, std::uint64_t seed) {
    return std::make_unique<Knotvane>(actions, seed);
}

} // namespace knotvane
