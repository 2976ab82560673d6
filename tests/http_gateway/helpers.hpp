/// \file
/// Shared by the gateway's tests: a transport that records the core's calls, requests and responses
/// as text, a gateway whose events the test makes by hand, and a gateway on loopback sockets
/// between scripted peers.
#pragma once

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <cstdio>
#include <fstream>
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

namespace knotvane::http_gateway {

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
    std::vector<std::string> logged_events;
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
    void log_event(const std::string &text) override { logged_events.push_back(text); }

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
inline CoreConfig core_config(const std::string &settings, std::uint64_t seed = 1) {
    return {scheduler_setup::Options(settings), {"read", "write"}, {"gold"}, {"a", "b"}, seed, 256};
}
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
                         const std::string &base_settings = settings_text())
        : core(
              transport, [](SchedulerActions &actions) { return make_scheduler(actions, 7); },
              core_config(base_settings + extra_settings, 1)) {
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

/// A socket of a scripted peer: a client, a node or discovery. Every wait has a timeout.
class Peer {
public:
    /// How the other side has closed the connection, if it has.
    enum class CloseKind { open, end_of_stream, reset };

    explicit Peer(int fd = -1) : fd_(fd) {}
    ~Peer() { close(); }
    Peer(Peer &&other) noexcept : fd_(std::exchange(other.fd_, -1)) {}
    Peer &operator=(Peer &&other) noexcept {
        close();
        fd_ = std::exchange(other.fd_, -1);
        return *this;
    }
    static Peer listen_on(const std::string &address = "127.0.0.1:0") {
        auto peer = unconnected();
        int on = 1;
        ::setsockopt(peer.fd_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        auto parsed = parse(address);
        if (::bind(peer.fd_, reinterpret_cast<sockaddr *>(&parsed), sizeof parsed) != 0 ||
            ::listen(peer.fd_, 64) != 0)
            throw std::runtime_error("scripted peer can't listen on " + address);
        return peer;
    }
    static Peer unconnected() { return Peer(::socket(AF_INET, SOCK_STREAM, 0)); }
    static Peer connect_to(const std::string &address) {
        auto peer = unconnected();
        peer.connect(address);
        return peer;
    }
    void connect(const std::string &address) const {
        auto parsed = parse(address);
        int on = 1;
        if (::connect(fd_, reinterpret_cast<sockaddr *>(&parsed), sizeof parsed) != 0)
            throw std::runtime_error("scripted peer can't connect to " + address);
        ::setsockopt(fd_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    }
    /// Returns the socket's own address, "host:port".
    std::string address() const {
        sockaddr_in own{};
        socklen_t size = sizeof own;
        ::getsockname(fd_, reinterpret_cast<sockaddr *>(&own), &size);
        return "127.0.0.1:" + std::to_string(ntohs(own.sin_port));
    }
    /// Waits for bytes, a close, or a connection to accept; returns false on a timeout.
    bool wait_readable(int timeout_ms) const {
        pollfd polled{fd_, POLLIN, 0};
        return ::poll(&polled, 1, timeout_ms) == 1;
    }
    Peer accept(int timeout_ms = 3000) const {
        if (!wait_readable(timeout_ms))
            throw std::runtime_error("no connection arrived within " + std::to_string(timeout_ms) +
                                     " ms");
        return Peer(::accept(fd_, nullptr, nullptr));
    }
    /// Returns false if the other side has reset the connection.
    bool send(std::string_view bytes) const {
        while (!bytes.empty()) {
            auto count = ::send(fd_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
            if (count <= 0)
                return false;
            bytes.remove_prefix(static_cast<std::size_t>(count));
        }
        return true;
    }
    /// Returns the received bytes up to and including `delimiter`; fewer if nothing more arrives
    /// within the timeout or the connection ends.
    std::string read_until(const std::string &delimiter, int timeout_ms = 3000) {
        while (received_.find(delimiter) == std::string::npos &&
               read_some(timeout_ms) == CloseKind::open && !timed_out_) {
        }
        auto end = received_.find(delimiter);
        auto bytes = received_.substr(0, end == std::string::npos ? end : end + delimiter.size());
        received_.erase(0, bytes.size());
        return bytes;
    }
    /// Reads until the other side closes, or nothing arrives within the timeout.
    /// @param received set to the bytes that were read and not yet returned.
    /// @return how the connection was closed; open after a timeout.
    CloseKind read_to_end(std::string &received, int timeout_ms = 3000) {
        CloseKind close_kind = CloseKind::open;
        while ((close_kind = read_some(timeout_ms)) == CloseKind::open && !timed_out_) {
        }
        received = std::exchange(received_, {});
        return close_kind;
    }
    CloseKind read_to_end(int timeout_ms = 3000) {
        std::string received;
        return read_to_end(received, timeout_ms);
    }
    void finish_sending() const { ::shutdown(fd_, SHUT_WR); }
    void close() {
        if (fd_ >= 0)
            ::close(std::exchange(fd_, -1));
    }
    void reset() {
        linger on{1, 0};
        ::setsockopt(fd_, SOL_SOCKET, SO_LINGER, &on, sizeof on);
        close();
    }

private:
    static sockaddr_in parse(const std::string &address) {
        sockaddr_in parsed{};
        parsed.sin_family = AF_INET;
        auto colon = address.find(':');
        ::inet_pton(AF_INET, address.substr(0, colon).c_str(), &parsed.sin_addr);
        parsed.sin_port = htons(static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1))));
        return parsed;
    }
    CloseKind read_some(int timeout_ms) {
        timed_out_ = !wait_readable(timeout_ms);
        if (timed_out_)
            return CloseKind::open;
        char buffer[16384];
        auto count = ::recv(fd_, buffer, sizeof buffer, 0);
        if (count > 0)
            received_.append(buffer, static_cast<std::size_t>(count));
        return count > 0    ? CloseKind::open
               : count == 0 ? CloseKind::end_of_stream
                            : CloseKind::reset;
    }
    int fd_;
    /// Whether the last wait for bytes ran into its timeout.
    bool timed_out_ = false;
    /// Bytes read from the socket that the test hasn't taken yet.
    std::string received_;
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
