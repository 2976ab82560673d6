#include "day/day.hpp"

#include <algorithm>
#include <atomic>
#include <chrono>
#include <mutex>
#include <sstream>
#include <stdexcept>
#include <thread>

#include "edge/settings.hpp"
#include "log/log.hpp"
#include "nbd/wire.hpp"
#include "planner/admin_client.hpp"
#include "record/recording.hpp"
#include "relay/relay.hpp"
#include "rules/figures.hpp"
#include "settings/ini.hpp"

namespace knotvane::day {
namespace {

constexpr const char *script_fault_kinds[] = {
    "restart",   "drain",        "hold",          "split",   "swallow", "sever",
    "late_list", "planner_kill", "planner_pause", "undrain", "snapshot"};

} // namespace

Script read_script(const std::string &name, const std::string &text,
                   std::vector<std::string> &faults) {
    Script s;
    s.scheduling =
        fleet::sections(text, {"plan", "volume", "workload", "shots", "units", "nodes", "door"});
    s.service = fleet::sections(text, {"speed", "cold", "pauses"});
    if (s.scheduling.empty())
        s.scheduling = fleet::default_scheduling();
    if (s.service.empty())
        s.service = fleet::default_service();
    settings::File file(name, fleet::sections(text, {"day", "load", "trouble"}));
    // Checks the sections for edges and nodes in the same way as the servers do.
    settings::File edge(name + " (edge settings)",
                        fleet::edge_settings(0, 1, "127.0.0.1:0", "x", 1, s.scheduling));
    settings::File node(name + " (node settings)",
                        fleet::node_settings(1, 0, "127.0.0.1:0", "x", s.service));
    edge::check(edge);
    node::check(node);
    for (auto *f : {&edge, &node})
        for (auto &what : f->faults())
            faults.push_back(what);
    auto &day = file.one("day", true);
    s.length = day.time("length"), s.seed = day.count("seed", 0, ~0u, 1);
    s.planner = day.flag("planner", false);
    s.nodes = day.count("nodes", 1, 64, 3), s.edges = day.count("edges", 1, 64, 1);
    std::uint64_t n = 0;
    for (auto *l : file.all("load")) {
        Load x;
        x.name = l->name(), x.edge = l->count("edge", 0, s.edges - 1, 0);
        x.shape.volume = l->text("volume");
        x.shape.connections = static_cast<std::uint32_t>(l->count("connections", 1, 4096, 1));
        x.shape.flying = static_cast<std::uint32_t>(l->count("flying", 1, 4096, 8));
        x.shape.rate = l->number("rate", 0, 1e7, 0), x.shape.reads = l->number("reads", 0, 1, 1);
        x.shape.flushes = l->number("flushes", 0, 1, 0);
        x.shape.least = static_cast<std::uint32_t>(l->bytes("least", 4096));
        x.shape.most = static_cast<std::uint32_t>(l->bytes("most", x.shape.least));
        x.shape.from = l->bytes("from", 0), x.shape.region = l->bytes("region", 16 << 20);
        x.shape.begin = l->time("at", 0), x.shape.length = l->time("length", s.length);
        x.shape.leave_every = l->time("leave_every", 0),
        x.shape.again_at_once = l->number("again_at_once", 0, 1, 0);
        x.shape.structured = l->flag("structured", true);
        x.shape.seed = s.seed * 1000 + ++n;
        x.due = l->time("due", 300 * ms), x.write_due = l->time("write_due", 500 * ms);
        x.value = l->number("value", 0, 1e9, 2),
        x.write_value = l->number("write_value", 0, 1e9, 3);
        if (x.shape.least < 512 || x.shape.most < x.shape.least || x.shape.region < x.shape.most)
            l->fault("least", "expected 512 or more, at most 'most', which is at most 'region'");
        s.loads.push_back(std::move(x));
    }
    for (auto *t : file.all("trouble")) {
        Trouble x;
        x.at = t->time("at"), x.length = t->time("length", sec);
        x.kind = t->text("kind");
        x.node = t->count("node", 0, s.nodes - 1, 0);
        x.edge = t->has("edge") ? t->count("edge", 0, s.edges - 1) : ~std::size_t{0};
        x.count = t->count("count", 0, 1000000, 0), x.size = t->number("size", 0, 1e6, 0);
        x.lose = t->flag("lose", false);
        bool known = node::fault_kind_from_name(x.kind).has_value() ||
                     std::find(std::begin(script_fault_kinds), std::end(script_fault_kinds),
                               x.kind) != std::end(script_fault_kinds);
        if (!known) {
            std::string all;
            for (auto k : node::fault_kind_names)
                all += std::string(k) + ", ";
            for (auto *k : script_fault_kinds)
                all += std::string(k) + (k == std::end(script_fault_kinds)[-1] ? "" : ", ");
            t->fault("kind", "expected one of " + all);
        }
        if (x.kind == "snapshot")
            x.volume = t->text("volume");
        if (!s.planner &&
            (x.kind.starts_with("planner") || x.kind == "undrain" || x.kind == "snapshot"))
            t->fault("kind", "requires planner = yes in [day]");
        s.troubles.push_back(std::move(x));
    }
    std::stable_sort(s.troubles.begin(), s.troubles.end(),
                     [](auto &a, auto &b) { return a.at < b.at; });
    for (auto &f : file.faults())
        faults.push_back(f);
    return s;
}

namespace {

struct DayRunner {
    const Script &script;
    record::Writer writer;
    fleet::Worker relay_worker;
    std::unique_ptr<relay::Relay> relay;
    fleet::Fleet fleet;
    std::vector<std::pair<Time, std::function<void()>>> scheduled_calls;

    DayRunner(const Script &s, const std::string &dir, const std::string &recording,
              const fleet::MakeScheduler &make)
        : script(s), writer(recording),
          fleet(dir, s.nodes, s.edges, 0, s.scheduling, s.service, make, s.planner) {
        run_on_relay([&] {
            relay = std::make_unique<relay::Relay>(relay_worker.loop(), writer);
            // Extent and span sizes of fleet::edge_settings().
            relay->put_record(
                record::Kind::rule_settings, 0, 0, 0,
                rules::rule_settings_json(s.scheduling, s.service, 256 << 10, 64 << 10));
        });
        fleet.on_endpoint_list = [this](std::size_t edge, const edge::EndpointList &list) {
            relay_worker.loop().post(
                [this, edge, nodes = list.entries] { record_endpoint_list(edge, nodes); });
        };
        fleet.address_for = [this](std::size_t edge, NodeId node, const std::string &address) {
            std::string front;
            // Serialized on the relay's thread: with a planner, several edges call this at once.
            run_on_relay([&] {
                auto &known = fronts_[{edge, node}];
                if (known.empty())
                    known = relay->listen_for_node(edge, node, address);
                front = known;
            });
            return front;
        };
    }
    ~DayRunner() {
        for (auto &t : operator_threads)
            t.join();
        // Stops the edges first: until then they post endpoint lists to the relay.
        for (std::size_t e = 0; e < fleet.edges(); ++e)
            fleet.stop_edge(e);
        run_on_relay([&] {
            relay.reset();
            writer.put(loop::now(), record::Kind::end, 0, 0, 0, {});
            writer.flush();
        });
    }
    void record_endpoint_list(std::size_t edge, const std::vector<edge::EndpointEntry> &nodes) {
        for (const auto &[endpoint, address] : nodes)
            relay->put_record(record::Kind::node_state_learned, edge, endpoint.node.value,
                              static_cast<std::uint64_t>(endpoint.state));
    }
    // Retries every 50 ms until the planner accepts, because it may be down.
    void drain(NodeId node, bool on) {
        if (!fleet.drain(node, on))
            schedule(loop::now() + 50 * ms, [this, node, on] { drain(node, on); });
    }
    // Takes a snapshot, keeps it for `length` and drops it, on its own thread. Timeouts are long
    // and drops are retried, because the planner may be down.
    void take_and_drop_snapshot(const std::string &volume, Time length) {
        auto name = std::to_string(operator_threads.size());
        operator_threads.emplace_back([this, volume, name, length] {
            constexpr Time take_timeout = 20 * sec;
            using Operation = control::SnapshotOperation;
            auto ask = [&](Operation operation, const std::string &a, const std::string &b,
                           Time wait) {
                control::OperationResult result;
                try {
                    const planner::AdminClient client(fleet.planner_address(), wait);
                    result = client.snapshot({operation, a, b, ""});
                } catch (const std::exception &e) {
                    result.text = e.what();
                }
                log::write(log::info,
                           result.done ? "operator" : "operator: request not carried out",
                           {{"answer", result.text}});
                return result.done;
            };
            auto began = loop::now();
            bool taken = ask(Operation::take, volume, name, take_timeout);
            auto took = loop::now() - began;
            {
                std::lock_guard lock(snapshot_tally_mutex);
                ++snapshot_tally.asked, ++(taken ? snapshot_tally.good : snapshot_tally.denied);
                if (taken)
                    snapshot_tally.took.push_back(took);
            }
            if (!taken)
                return;
            std::this_thread::sleep_for(std::chrono::nanoseconds(length));
            for (int tries = 0;
                 tries < 10 && !ask(Operation::drop, volume + "@" + name, "", 2 * sec); ++tries)
                std::this_thread::sleep_for(std::chrono::milliseconds(200));
        });
    }
    std::vector<std::thread> operator_threads;
    std::mutex snapshot_tally_mutex;
    Tally snapshot_tally;
    void run_on_relay(const std::function<void()> &call) { relay_worker.run(call); }
    void schedule(Time when, std::function<void()> call) {
        auto it = std::find_if(scheduled_calls.begin(), scheduled_calls.end(),
                               [&](auto &l) { return l.first > when; });
        scheduled_calls.insert(it, {when, std::move(call)});
    }
    // Writes the endpoint list of one edge or all (~0) and records what each edge was given;
    // deferred while a late_list fault applies. With a planner, the planner informs the edges
    // itself.
    void announce_nodes(std::size_t edge) {
        if (edge == ~std::size_t{0}) {
            for (std::size_t e = 0; e < fleet.edges(); ++e)
                announce_nodes(e);
            return;
        }
        if (list_delayed_until_[edge] > loop::now()) {
            if (!announcement_pending_[edge]) {
                announcement_pending_[edge] = true;
                schedule(list_delayed_until_[edge], [this, edge] {
                    announcement_pending_[edge] = false, announce_nodes(edge);
                });
            }
            return;
        }
        if (script.planner)
            return; // the planner informs the edges
        fleet.write_endpoint_list(edge);
        run_on_relay([&] { record_endpoint_list(edge, fleet.list().entries); });
    }
    void start_trouble(const Trouble &t);

    std::map<std::pair<std::size_t, NodeId>, std::string> fronts_;
    std::map<std::size_t, Time> list_delayed_until_;
    std::map<std::size_t, bool> announcement_pending_;
};

void DayRunner::start_trouble(const Trouble &t) {
    Time now = loop::now(), until = now + t.length;
    auto id = fleet.node_id(t.node);
    log::write(log::info, "trouble", {{"kind", t.kind}, {"node", std::to_string(id.value)}});
    run_on_relay([&] { relay->put_record(record::Kind::note, id.value, 0, 0, t.kind); });
    if (auto fault = node::fault_kind_from_name(t.kind)) {
        fleet.with_node(t.node, [&](node::Server &n) {
            n.storage_node().inject_fault({*fault, now, until, t.count, t.size});
        });
    } else if (t.kind == "restart") {
        // Closes the node's connections first, so that no reply from before the restart can follow
        // the record of the data loss.
        run_on_relay([&] { relay->block(id); });
        fleet.with_node(t.node, [&](node::Server &n) {
            n.listen(false);
            n.storage_node().restart(loop::now(), t.lose);
            n.listen(false);
        });
        run_on_relay([&] {
            if (t.lose)
                relay->put_record(record::Kind::unflushed_data_lost, id.value, 0, 0);
        });
        schedule(until, [this, node = t.node, id] {
            Time started = 0;
            fleet.with_node(node, [&](node::Server &n) {
                n.storage_node().restart(loop::now(), false);
                n.listen(true);
                started = n.storage_node().started_at();
            });
            run_on_relay([&] {
                relay->put_record(record::Kind::node_started, id.value, 0, 0);
                relay->unblock(id);
            });
            fleet.set_listed_state(id, NodeState::ready, started);
            announce_nodes(~std::size_t{0});
        });
    } else if (t.kind == "planner_kill") {
        fleet.kill_planner();
        schedule(until, [this] { fleet.start_planner(); });
    } else if (t.kind == "planner_pause") {
        fleet.pause_planner(true);
        schedule(until, [this] { fleet.pause_planner(false); });
    } else if (t.kind == "snapshot") {
        take_and_drop_snapshot(t.volume, t.length);
    } else if (t.kind == "undrain") {
        drain(id, false);
    } else if (t.kind == "drain" && script.planner) {
        drain(id, true);
        if (t.count == 0)
            return; // ended by an undrain in the script
        schedule(until, [this, node = t.node, id] {
            run_on_relay([&] { relay->block(id); });
            fleet.replace_node(node);
            run_on_relay([&] {
                relay->put_record(record::Kind::node_started, fleet.node_id(node).value, 0, 0);
            });
            schedule(loop::now() + 2 * sec, [this, id] {
                fleet.change_settings([&](planner::DesiredState &w) { w.nodes.erase(id); });
            });
        });
    } else if (t.kind == "drain") {
        fleet.set_listed_state(id, NodeState::draining, 0);
        announce_nodes(~std::size_t{0});
        schedule(until, [this, node = t.node, id] {
            run_on_relay([&] { relay->block(id); });
            fleet.set_listed_state(id, NodeState::removed, 0);
            fleet.replace_node(node);
            run_on_relay([&] {
                relay->put_record(record::Kind::node_started, fleet.node_id(node).value, 0, 0);
            });
            announce_nodes(~std::size_t{0});
        });
    } else if (t.kind == "late_list") {
        for (std::size_t e = 0; e < fleet.edges(); ++e) {
            if (t.edge != ~std::size_t{0} && t.edge != e)
                continue;
            list_delayed_until_[e] = until;
            if (!script.planner)
                continue;
            fleet.with_edge(e, [](edge::Server &s) { s.pause_planner(true); });
            schedule(until, [this, e] {
                fleet.with_edge(e, [](edge::Server &s) { s.pause_planner(false); });
            });
        }
    } else {
        run_on_relay([&] {
            std::uint64_t edge = t.edge;
            if (t.kind == "hold")
                relay->hold(edge, id, until);
            if (t.kind == "split")
                relay->split(edge, id, until);
            if (t.kind == "swallow")
                relay->swallow(edge, id, until);
            if (t.kind == "sever")
                relay->cut(edge, id);
        });
    }
}

} // namespace

std::map<std::string, Tally> play(const Script &script, const std::string &dir,
                                  const std::string &recording, const fleet::MakeScheduler &make) {
    DayRunner runner(script, dir, recording, make);
    runner.fleet.start();
    if (!script.planner)
        runner.announce_nodes(~std::size_t{0});
    fleet::Worker driver;
    std::vector<std::unique_ptr<load::Stream>> streams;
    std::vector<std::string> fronts(script.edges);
    runner.run_on_relay([&] {
        for (std::size_t e = 0; e < script.edges; ++e)
            fronts[e] = runner.relay->listen_for_clients(e, runner.fleet.edge_address(e));
    });
    driver.run([&] {
        for (auto &l : script.loads) {
            auto shape = l.shape;
            shape.address = fronts[l.edge];
            streams.push_back(std::make_unique<load::Stream>(driver.loop(), shape));
        }
    });
    Time began = loop::now();
    for (auto &t : script.troubles)
        runner.schedule(began + t.at, [&runner, t] { runner.start_trouble(t); });
    for (;;) {
        bool over = loop::now() >= began + script.length && runner.scheduled_calls.empty();
        driver.run([&] {
            for (auto &s : streams)
                over = over && s->over();
        });
        if (over)
            break;
        while (!runner.scheduled_calls.empty() &&
               runner.scheduled_calls.front().first <= loop::now()) {
            auto call = std::move(runner.scheduled_calls.front().second);
            runner.scheduled_calls.erase(runner.scheduled_calls.begin());
            call();
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(2));
    }
    std::map<std::string, Tally> out;
    for (auto &t : std::exchange(runner.operator_threads, {}))
        t.join();
    if (runner.snapshot_tally.asked > 0)
        out[snapshots] = runner.snapshot_tally;
    driver.run([&] {
        for (std::size_t i = 0; i < streams.size(); ++i) {
            auto &l = script.loads[i];
            auto &t = out[l.name];
            t.missed = streams[i]->missed();
            for (auto &s : streams[i]->samples()) {
                bool write = s.command == nbd::cmd_write;
                double value = write ? l.write_value : l.value;
                ++t.asked, t.value_due += value;
                auto second =
                    static_cast<std::size_t>(std::max<Time>(0, l.shape.begin + s.at) / sec);
                t.samples.emplace_back(l.shape.begin + s.at,
                                       s.error == 0 && s.took <= (write ? l.write_due : l.due));
                if (t.course.size() <= second)
                    t.course.resize(second + 1);
                t.course[second].second += value;
                if (s.error == ~0u)
                    ++t.lost;
                else if (s.error == nbd::e_nomem)
                    ++t.denied;
                else if (s.error != 0)
                    ++t.errored;
                else if (++t.good; s.took <= (write ? l.write_due : l.due))
                    ++t.in_time, t.value += value, t.course[second].first += value;
                if (s.error == 0)
                    t.took.push_back(s.took);
            }
            t.value_due += static_cast<double>(t.missed) * l.value;
        }
        streams.clear();
    });
    return out;
}

} // namespace knotvane::day
