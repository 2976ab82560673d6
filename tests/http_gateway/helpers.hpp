/// \file
/// Shared by the gateway's tests: a transport that records the core's calls, requests and responses
/// as text, a gateway whose events the test makes by hand, and a gateway on loopback sockets
/// between scripted peers.
#pragma once

#include <unistd.h>

#include <atomic>
#include <cstdio>
#include <fstream>
#include <latch>
#include <map>
#include <memory>
#include <set>
#include <sstream>
#include <stdexcept>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include <nlohmann/json.hpp>

#include "http_gateway/core.hpp"
#include "http_gateway/server.hpp"

#include "../loop/peer.hpp"

namespace knotvane::http_gateway {

using loop::Peer;

inline bool contains(const std::string &text, const std::string &part) {
    return text.find(part) != std::string::npos;
}

/// A transport that records the core's calls and does nothing else.
struct RecordingTransport final : Transport {
    /// The calls of connect, in order: the connection and the address.
    std::vector<std::pair<ConnectionId, std::string>> connect_calls;
    /// All bytes sent on each connection.
    std::map<ConnectionId, std::string> sent;
    /// Sent bytes that were not yet reported to the core as written.
    std::map<ConnectionId, std::size_t> unwritten_bytes;
    /// Connections that the core has closed, fully or only for sending.
    std::set<ConnectionId> closed;
    /// Those of `closed` that are closed only for sending: the peer's bytes are still received.
    std::set<ConnectionId> half_closed;
    /// Connections that the core doesn't read for the moment.
    std::set<ConnectionId> paused_reading;
    /// Connections whose peer has closed them, which is not yet reported to the core.
    std::set<ConnectionId> closed_peers;
    std::vector<std::string> logged_events;
    bool traces = false;
    std::string traced_lines;
    /// The connection to a node on which the core sent something last.
    ConnectionId last_request_connection{};

    void connect(ConnectionId id, const std::string &address) override {
        connect_calls.emplace_back(id, address);
    }
    void send(ConnectionId id, std::string bytes) override {
        unwritten_bytes[id] += bytes.size();
        sent[id] += bytes;
        if (address_of(id).starts_with('n'))
            last_request_connection = id;
    }
    void close(ConnectionId id) override {
        closed.insert(id);
        half_closed.erase(id);
    }
    void finish_sending(ConnectionId id) override {
        closed.insert(id);
        half_closed.insert(id);
    }
    void set_reading_paused(ConnectionId id, bool paused) override {
        paused ? (void)paused_reading.insert(id) : (void)paused_reading.erase(id);
    }
    bool peer_closed(ConnectionId id) const override { return closed_peers.contains(id); }
    void log_event(const std::string &text) override { logged_events.push_back(text); }
    void trace(const std::string &line) override { traced_lines += line + "\n"; }
    bool tracing() const override { return traces; }

    /// Returns the address that a connection was made to; empty for a client's connection.
    std::string address_of(ConnectionId id) const {
        for (const auto &[connection, address] : connect_calls)
            if (connection == id)
                return address;
        return "";
    }
    /// Returns the latest connection to an address; id 0 if there is none.
    ConnectionId connection_to(const std::string &wanted_address) const {
        ConnectionId last{};
        for (const auto &[id, address] : connect_calls)
            if (address == wanted_address)
                last = id;
        return last;
    }
};

inline std::string http_response(int status, const std::string &body,
                                 const std::string &headers = "") {
    return "HTTP/1.1 " + std::to_string(status) + " X\r\n" + headers +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}
/// @param timeout the client's timeout in seconds.
inline std::string read_request(const std::string &trace_id, const std::string &headers = "",
                                const std::string &timeout = "1.000") {
    return "GET /read/x?y=1 HTTP/1.1\r\nHost: s\r\nX-Trace-Id: " + trace_id +
           "\r\nX-Storage-Class: gold\r\n" +
           "Cookie: object=7f3a9c21e0b4d655\r\nX-Expires-In: " + timeout +
           "\r\nX-Extent: volume=00000003b4d60021,units=2,shard=5,hosts=3\r\n" + headers + "\r\n";
}
inline std::string write_request(const std::string &trace_id, const std::string &body) {
    return "PUT /write HTTP/1.1\r\nHost: s\r\nX-Trace-Id: " + trace_id +
           "\r\nX-Storage-Class: gold\r\nX-Expires-In: 1.5\r\n" +
           "Idempotency-Key: k1\r\nX-Extent: "
           "volume=00000003b4d60021,units=2,shard=5,hosts=3\r\nContent-Length: " +
           std::to_string(body.size()) + "\r\n\r\n" + body;
}
inline std::string settings_text() {
    return "Balancers=2\nIndex=0\nStepS=0.002\nClasses.count=2\nClasses.0.TargetS=0.15\nClasses.0."
           "DeadlineS=1\n"
           "Classes.0.Points=2\nClasses.0.Effect=idempotent\nClasses.0.Group=all\nClasses.1."
           "TargetS=0.25\n"
           "Classes.1.DeadlineS=1.5\nClasses.1.Points=3\nClasses.1.Effect=deduplicated\nClasses.1."
           "Group=cell\n"
           "Classes.1.RepeatWindowS=2.5\nContracts.count=1\nContracts.0.Shares=1\nContracts.0."
           "UsualRate=5\n"
           "Extra.UnitMean=2\nExtra.UnitsTop=8\nExtra.ColdUnits=72\nExtra.ShareWorth=0."
           "3\nPermissions.MaxAttempts=3\n"
           "Permissions.Cancel=true\nPermissions.RetryAfter=true\nPermissions.MaxRetryAfterS=2\n"
           "Permissions.ConnIdleS=15\nPermissions.ConnectTimeoutS=0.25\nRules.DrainGraceS=0."
           "25\nRules.FallS=2\n"
           "Rules.WarmAfterS=18\nRules.StartCapacity=0.24\n";
}
/// The configuration of the tests' gateways.
inline CoreConfig core_config(const std::string &settings, std::uint64_t seed = 1,
                              std::size_t max_sockets = 256,
                              std::size_t max_memory = smallest_host_memory) {
    return {scheduler_setup::Options(settings),
            {"read", "write"},
            {"gold"},
            {"a", "b"},
            seed,
            max_sockets,
            max_memory};
}
/// What the gateway's host offers.
struct HostLimits {
    std::size_t max_sockets = 256;
    std::size_t max_memory = smallest_host_memory;
};
/// Returns a node's entry in an endpoint list.
inline std::string endpoint_json(const std::string &id, const std::string &address, int shard,
                                 const std::string &state = "active") {
    return R"({"instanceId":")" + id + R"(","hostPort":")" + address +
           R"(","zone":"a","machineType":"m","cell":)" + std::to_string(shard) +
           R"(,"lifecycle":")" + state + R"(","weight":1.0,"startedAtMs":0})";
}
/// @param full whether the list names all nodes; else it names only those that changed.
inline std::string endpoint_list_json(int generation, const std::string &entries,
                                      bool full = true) {
    return R"({"generation":)" + std::to_string(generation) + R"(,"reset":)" +
           (full ? "true" : "false") + R"(,"instances":[)" + entries + "]}";
}
/// Returns the text as one chunk of a chunked HTTP body.
inline std::string http_chunk(const std::string &text) {
    char size[16];
    std::snprintf(size, sizeof size, "%zx\r\n", text.size());
    return size + text + "\r\n";
}

/// The head of discovery's response to a watch; chunks follow.
inline const std::string watch_response_head =
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

/// A gateway core with the real scheduler and one node at address n1 that holds shard 5. The test
/// makes all events and moves the clock. Discovery is at d1.
struct TestGateway {
    RecordingTransport transport;
    Time now = 1000 * sec;
    Core core;
    /// @param extra_settings lines of settings that override those of `base_settings`.
    explicit TestGateway(const std::string &extra_settings = "",
                         const std::string &base_settings = settings_text(),
                         const HostLimits &host = {})
        : core(
              transport, [](SchedulerActions &actions) { return make_scheduler(actions, 7); },
              core_config(base_settings + extra_settings, 1, host.max_sockets, host.max_memory)) {
        core.start(now, endpoint_list_json(41, endpoint_json("s1", "n1", 5)), "d1");
        // With RegistryMode=on_request the first call to discovery starts at a random time within
        // the first second.
        if (transport.connection_to("d1").value == 0)
            settle(sec);
        core.connected(now, transport.connection_to("d1"));
        core.received(now, transport.connection_to("d1"), watch_response_head + http_chunk("\n"));
        // A new scheduler spares nodes that may be cold; let that time pass.
        for (int i = 0; i < 3; ++i) {
            settle(sec);
            send_heartbeat();
        }
    }
    /// Sends the blank line by which discovery shows every 2 s that the watch is alive.
    void send_heartbeat() { core.received(now, transport.connection_to("d1"), http_chunk("\n")); }
    void send_endpoint_list(const std::string &json) {
        core.received(now, transport.connection_to("d1"), http_chunk(json + "\n"));
    }
    /// Moves the clock forward and ends the moment as the server does: reports what was sent as
    /// written, then settles again.
    void settle(Time delay = 0) {
        now += delay;
        core.settle(now);
        for (auto &[id, byte_count] : std::exchange(transport.unwritten_bytes, {}))
            core.sent(now, id, byte_count);
        core.settle(now);
    }
    /// Connects a client that sends these bytes at once; returns its connection.
    ConnectionId connect_client(const std::string &request) {
        auto client = *core.client_connected(now);
        core.received(now, client, request);
        settle();
        return client;
    }
    void disconnect(ConnectionId id, CloseReason reason = CloseReason::end_of_stream) {
        core.disconnected(now, id, reason);
        settle();
    }
    /// Completes the latest connection attempt to the node; returns the connection.
    ConnectionId connect_node(Time delay = 0) {
        auto connection = last_connected = transport.connection_to("n1");
        now += delay;
        core.connected(now, connection);
        settle();
        return connection;
    }
    /// Answers the attempt in flight on whichever connection it was sent: a connection that has
    /// just answered isn't reused for a moment, so it may be a new one.
    void respond_to_attempt(const std::string &body, Time delay = 5 * ms) {
        if (auto latest = transport.connection_to("n1"); latest != last_connected) {
            last_connected = latest;
            core.connected(now, latest);
            settle();
        }
        receive_from_node(transport.last_request_connection, http_response(200, body), delay);
    }
    /// The latest connection to the node that the test has completed.
    ConnectionId last_connected{};
    void receive_from_node(ConnectionId node, const std::string &bytes, Time delay = 5 * ms) {
        now += delay;
        core.received(now, node, bytes);
        settle();
    }
};

/// Returns the settings in the platform's form: nested JSON, with names of classes, contracts and
/// zones.
inline nlohmann::json settings_json(const std::string &extra_settings = "") {
    nlohmann::json settings;
    std::istringstream lines(settings_text() + extra_settings);
    for (std::string line; std::getline(lines, line);) {
        auto equals_sign = line.find('=');
        auto path = line.substr(0, equals_sign), value = line.substr(equals_sign + 1);
        if (path.ends_with(".count"))
            continue;
        for (auto &character : path)
            if (character == '.')
                character = '/';
        auto parsed = nlohmann::json::parse(value, nullptr, false);
        settings[nlohmann::json::json_pointer("/" + path)] =
            parsed.is_discarded() ? nlohmann::json(value) : parsed;
    }
    settings["Classes"][0]["Name"] = "read", settings["Classes"][1]["Name"] = "write";
    settings["Contracts"][0]["Name"] = "gold", settings["Zones"] = {"a", "b"};
    return settings;
}
/// Returns the path of a temporary file that no other test process uses.
inline std::string test_file_path(const std::string &name) {
    return "/tmp/knotvane-platform-test-" + std::to_string(::getpid()) + "-" + name;
}

/// A gateway on loopback sockets with its loop on a thread, one node that holds shard 5, and an
/// open watch at discovery.
struct LoopbackGateway {
    Peer discovery_listener = Peer::listen_on();
    Peer node_listener = Peer::listen_on();
    /// The gateway's first connection to discovery.
    Peer watch;
    std::string config_path = test_file_path("config.json");
    loop::Loop loop;
    std::unique_ptr<Server> server;
    std::thread thread;
    std::atomic<bool> loop_ended = false;

    explicit LoopbackGateway(const std::string &extra_settings = "",
                             const std::string &listen_address = "127.0.0.1:0") {
        write_config(discovery_listener.address(), extra_settings, listen_address);
        std::ifstream file(config_path);
        Config config(std::string(std::istreambuf_iterator<char>(file), {}));
        server = std::make_unique<Server>(
            loop, config_path, config,
            [](SchedulerActions &actions, std::uint64_t seed) {
                return make_scheduler(actions, seed);
            },
            false);
        thread = std::thread([this] {
            loop.run();
            loop_ended = true;
        });
        watch = discovery_listener.accept();
        watch.read_until("\r\n\r\n");
        watch.send(watch_response_head + http_chunk(endpoint_list_json(41, "", false) + "\n"));
    }
    ~LoopbackGateway() { stop_at_once(); }
    /// Ends the gateway as a kill does: without a graceful shutdown, whatever connections are open.
    void stop_at_once() {
        if (!thread.joinable())
            return;
        loop.stop();
        thread.join();
        server.reset();
        std::remove(config_path.c_str());
    }
    void write_config(const std::string &discovery_address, const std::string &extra_settings = "",
                      const std::string &listen_address = "127.0.0.1:0") const {
        nlohmann::json config{{"name", "n0"},
                              {"listen", listen_address},
                              {"discovery", discovery_address},
                              {"seed", "1"},
                              {"limits", {{"sockets", 256}}},
                              {"settings", settings_json(extra_settings)},
                              {"known", nlohmann::json::parse(endpoint_list_json(
                                            41, endpoint_json("s1", node_listener.address(), 5)))}};
        std::ofstream(config_path) << config.dump();
    }
    /// Starts the graceful shutdown, on the loop's thread.
    void stop() {
        loop.post([this] { server->stop(); });
    }
    /// Reads the configuration file again, on the loop's thread.
    void reload() {
        loop.post([this] { server->reload(); });
    }
    /// Runs `script` on this thread while the loop's thread is held up: what the peers do
    /// meanwhile, the gateway finds all at once.
    template <class Script>
    void while_held_up(const Script &script) {
        // Shared, as either thread may be the last to use them.
        auto held = std::make_shared<std::latch>(1), released = std::make_shared<std::latch>(1);
        loop.post([held, released] {
            held->count_down();
            released->wait();
        });
        held->wait();
        script();
        released->count_down();
    }
    /// Waits for the end of a graceful shutdown; returns false on a timeout.
    bool wait_until_stopped(int timeout_ms = 4000) const {
        for (int i = 0; i < timeout_ms / 10 && !loop_ended; ++i)
            ::usleep(10'000);
        return loop_ended;
    }
    /// Connects a client that sends these bytes at once.
    Peer connect_client(const std::string &request = "") const {
        auto client = Peer::connect_to(server->address());
        client.send(request);
        return client;
    }
};

} // namespace knotvane::http_gateway
