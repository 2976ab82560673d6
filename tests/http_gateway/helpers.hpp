/// \file
/// What the gateway's tests share: a transport that records, requests and responses as text, a
/// gateway whose events are made by hand, and one on loopback sockets between scripted peers.
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

inline bool has(const std::string &text, const std::string &part) {
    return text.find(part) != std::string::npos;
}

/// A transport that records what it is asked for.
struct RecordingTransport final : Transport {
    std::vector<std::pair<ConnectionId, std::string>> connected;
    std::map<ConnectionId, std::string> sent;
    /// Bytes sent that the core wasn't told of as written.
    std::map<ConnectionId, std::size_t> unwritten;
    /// Our side has ended, whether or not the other one may still be read.
    std::set<ConnectionId> closed;
    /// Of these, those whose other side may still be read.
    std::set<ConnectionId> shutting;
    std::vector<std::string> said;
    /// The connection to a node that was sent something last.
    ConnectionId asked{};

    void connect(ConnectionId id, const std::string &address) override {
        connected.emplace_back(id, address);
    }
    void send(ConnectionId id, std::string bytes) override {
        unwritten[id] += bytes.size();
        sent[id] += bytes;
        if (address_of(id).starts_with('n'))
            asked = id;
    }
    void close(ConnectionId id) override {
        closed.insert(id);
        shutting.erase(id);
    }
    void finish_sending(ConnectionId id) override {
        closed.insert(id);
        shutting.insert(id);
    }
    void log_event(const std::string &text) override { said.push_back(text); }

    /// Returns where a connection goes to; empty for a client's.
    std::string address_of(ConnectionId id) const {
        for (const auto &[connection, address] : connected)
            if (connection == id)
                return address;
        return "";
    }
    /// Returns the connection made last to an address; id 0 for none.
    ConnectionId to(const std::string &wanted) const {
        ConnectionId last{};
        for (const auto &[id, address] : connected)
            if (address == wanted)
                last = id;
        return last;
    }
};

inline std::string reply(int status, const std::string &body, const std::string &headers = "") {
    return "HTTP/1.1 " + std::to_string(status) + " X\r\n" + headers +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}
inline std::string read_of(const std::string &trace, const std::string &headers = "",
                           const std::string &wait = "1.000") {
    return "GET /read/x?y=1 HTTP/1.1\r\nHost: s\r\nX-Trace-Id: " + trace +
           "\r\nX-Storage-Class: gold\r\n" +
           "Cookie: object=7f3a9c21e0b4d655\r\nX-Expires-In: " + wait +
           "\r\nX-Extent: volume=00000003b4d60021,units=2,shard=5,hosts=3\r\n" + headers + "\r\n";
}
inline std::string write_of(const std::string &trace, const std::string &body) {
    return "PUT /write HTTP/1.1\r\nHost: s\r\nX-Trace-Id: " + trace +
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
/// What the tests' gateways are set up with.
inline CoreConfig core_config(const std::string &settings, std::uint64_t seed = 1) {
    return {scheduler_setup::Options(settings), {"read", "write"}, {"gold"}, {"a", "b"}, seed, 256};
}
inline std::string node_entry(const std::string &id, const std::string &address, int shard,
                              const std::string &state = "active") {
    return R"({"instanceId":")" + id + R"(","hostPort":")" + address +
           R"(","zone":"a","machineType":"m","cell":)" + std::to_string(shard) +
           R"(,"lifecycle":")" + state + R"(","weight":1.0,"startedAtMs":0})";
}
inline std::string list_of(int generation, const std::string &entries, bool whole = true) {
    return R"({"generation":)" + std::to_string(generation) + R"(,"reset":)" +
           (whole ? "true" : "false") + R"(,"instances":[)" + entries + "]}";
}

inline const std::string watch_head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

/// A gateway with one node at n1 that holds shard 5, driven by hand; the decisions are the real
/// ones.
struct TestGateway {
    RecordingTransport transport;
    Time now = 1000 * sec;
    Core core;
    // `more`: lines of settings, which count over the usual ones.
    explicit TestGateway(const std::string &more = "", const std::string &usual = settings_text())
        : core(
              transport, [](SchedulerActions &a) { return make_scheduler(a, 7); },
              core_config(usual + more, 1)) {
        core.start(now, list_of(41, node_entry("s1", "n1", 5)), "d1");
        if (transport.to("d1").value == 0)
            settle(
                sec); // where lists are asked for, the first call comes by chance within a second
        core.connected(now, transport.to("d1"));
        core.received(now, transport.to("d1"), watch_head + chunk("\n"));
        for (int i = 0; i < 3; ++i) { // past the time in which a new scheduler spares cold nodes
            settle(sec);
            blank();
        }
    }
    static std::string chunk(const std::string &s) {
        char size[16];
        std::snprintf(size, sizeof size, "%zx\r\n", s.size());
        return size + s + "\r\n";
    }
    // The watch lives: a blank line comes each 2 s.
    void blank() { core.received(now, transport.to("d1"), chunk("\n")); }
    void list(const std::string &json) {
        core.received(now, transport.to("d1"), chunk(json + "\n"));
    }
    // Writes what was sent, as the shell does at a moment's end.
    void settle(Time later = 0) {
        now += later;
        core.settle(now);
        for (auto &[c, n] : std::exchange(transport.unwritten, {}))
            core.sent(now, c, n);
        core.settle(now);
    }
    ConnectionId client(const std::string &request) {
        auto c = *core.client_connected(now);
        core.received(now, c, request);
        settle();
        return c;
    }
    void gone(ConnectionId c, CloseReason how = CloseReason::end_of_stream) {
        core.disconnected(now, c, how);
        settle();
    }
    // The connection to the node, up.
    ConnectionId node(Time later = 0) {
        auto c = up_last = transport.to("n1");
        now += later;
        core.connected(now, c);
        settle();
        return c;
    }
    // Answers the attempt that is out, wherever it is: a connection that has just answered is not
    // used for a moment.
    void serve(const std::string &body, Time later = 5 * ms) {
        if (auto made = transport.to("n1"); made != up_last) {
            up_last = made;
            core.connected(now, made);
            settle();
        }
        answer(transport.asked, reply(200, body), later);
    }
    ConnectionId up_last{};
    void answer(ConnectionId node, const std::string &bytes, Time later = 5 * ms) {
        now += later;
        core.received(now, node, bytes);
        settle();
    }
};

// A socket of a scripted peer: a client, a node or discovery. Every wait ends by itself.
class Peer {
public:
    enum class End { none, ended, broken };
    explicit Peer(int fd = -1) : fd_(fd) {}
    ~Peer() { close(); }
    Peer(Peer &&o) noexcept : fd_(std::exchange(o.fd_, -1)) {}
    Peer &operator=(Peer &&o) noexcept {
        close();
        fd_ = std::exchange(o.fd_, -1);
        return *this;
    }
    static Peer listens(const std::string &at = "127.0.0.1:0") {
        auto p = unconnected();
        int on = 1;
        ::setsockopt(p.fd_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        auto a = parse(at);
        if (::bind(p.fd_, reinterpret_cast<sockaddr *>(&a), sizeof a) != 0 ||
            ::listen(p.fd_, 64) != 0)
            throw std::runtime_error("a scripted peer can't listen");
        return p;
    }
    static Peer unconnected() { return Peer(::socket(AF_INET, SOCK_STREAM, 0)); }
    static Peer to(const std::string &address) {
        auto p = unconnected();
        p.connect(address);
        return p;
    }
    void connect(const std::string &address) const {
        auto a = parse(address);
        int on = 1;
        if (::connect(fd_, reinterpret_cast<sockaddr *>(&a), sizeof a) != 0)
            throw std::runtime_error("can't connect");
        ::setsockopt(fd_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    }
    std::string address() const {
        sockaddr_in a{};
        socklen_t n = sizeof a;
        ::getsockname(fd_, reinterpret_cast<sockaddr *>(&a), &n);
        return "127.0.0.1:" + std::to_string(ntohs(a.sin_port));
    }
    bool comes(int wait_ms) const {
        pollfd p{fd_, POLLIN, 0};
        return ::poll(&p, 1, wait_ms) == 1;
    }
    Peer accept(int wait_ms = 3000) const {
        if (!comes(wait_ms))
            throw std::runtime_error("nobody came");
        return Peer(::accept(fd_, nullptr, nullptr));
    }
    // False where the other side has broken the connection.
    bool send(std::string_view bytes) const {
        while (!bytes.empty()) {
            auto n = ::send(fd_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
            if (n <= 0)
                return false;
            bytes.remove_prefix(static_cast<std::size_t>(n));
        }
        return true;
    }
    // What came, up to and with `last`; less if nothing more comes for a while or the connection
    // ends.
    std::string until(const std::string &last, int wait_ms = 3000) {
        while (got_.find(last) == std::string::npos && read_some(wait_ms) == End::none && !idle_) {
        }
        auto end = got_.find(last);
        auto out = got_.substr(0, end == std::string::npos ? end : end + last.size());
        got_.erase(0, out.size());
        return out;
    }
    // Reads on to its end and tells which; what came is in `rest`.
    End end(std::string &rest, int wait_ms = 3000) {
        End how = End::none;
        while ((how = read_some(wait_ms)) == End::none && !idle_) {
        }
        rest = std::exchange(got_, {});
        return how;
    }
    End end(int wait_ms = 3000) {
        std::string rest;
        return end(rest, wait_ms);
    }
    void shut() const { ::shutdown(fd_, SHUT_WR); }
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
        sockaddr_in a{};
        a.sin_family = AF_INET;
        auto colon = address.find(':');
        ::inet_pton(AF_INET, address.substr(0, colon).c_str(), &a.sin_addr);
        a.sin_port = htons(static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1))));
        return a;
    }
    End read_some(int wait_ms) {
        idle_ = !comes(wait_ms);
        if (idle_)
            return End::none;
        char buffer[16384];
        auto n = ::recv(fd_, buffer, sizeof buffer, 0);
        if (n > 0)
            got_.append(buffer, static_cast<std::size_t>(n));
        return n > 0 ? End::none : n == 0 ? End::ended : End::broken;
    }
    int fd_;
    bool idle_ = false;
    std::string got_;
};

// The usual settings as the platform lays them down: nested JSON, with names.
inline nlohmann::json settings_json(const std::string &more = "") {
    nlohmann::json out;
    std::istringstream lines(settings_text() + more);
    for (std::string line; std::getline(lines, line);) {
        auto eq = line.find('=');
        auto path = line.substr(0, eq), value = line.substr(eq + 1);
        if (path.ends_with(".count"))
            continue;
        for (auto &c : path)
            if (c == '.')
                c = '/';
        auto parsed = nlohmann::json::parse(value, nullptr, false);
        out[nlohmann::json::json_pointer("/" + path)] =
            parsed.is_discarded() ? nlohmann::json(value) : parsed;
    }
    out["Classes"][0]["Name"] = "read", out["Classes"][1]["Name"] = "write";
    out["Contracts"][0]["Name"] = "gold", out["Zones"] = {"a", "b"};
    return out;
}
// A file of this test's own.
inline std::string own_file(const std::string &name) {
    return "/tmp/knotvane-platform-test-" + std::to_string(::getpid()) + "-" + name;
}

/// A gateway on loopback, with one node that holds shard 5, its watch open.
struct LoopbackGateway {
    Peer discovery = Peer::listens();
    Peer node = Peer::listens();
    Peer watch;
    std::string path = own_file("config.json");
    loop::Loop loop;
    std::unique_ptr<Server> server;
    std::thread thread;
    std::atomic<bool> over = false;

    explicit LoopbackGateway(const std::string &more = "",
                             const std::string &listen = "127.0.0.1:0") {
        write(discovery.address(), more, listen);
        std::ifstream in(path);
        Config config(std::string(std::istreambuf_iterator<char>(in), {}));
        server = std::make_unique<Server>(
            loop, path, config,
            [](SchedulerActions &a, std::uint64_t seed) { return make_scheduler(a, seed); }, false);
        thread = std::thread([this] {
            loop.run();
            over = true;
        });
        watch = discovery.accept();
        watch.until("\r\n\r\n");
        watch.send(watch_head + TestGateway::chunk(list_of(41, "", false) + "\n"));
    }
    ~LoopbackGateway() { end(); }
    // As a kill does: at once, with whatever is open.
    void end() {
        if (!thread.joinable())
            return;
        loop.stop();
        thread.join();
        server.reset();
        std::remove(path.c_str());
    }
    void write(const std::string &discovery_at, const std::string &more = "",
               const std::string &listen = "127.0.0.1:0") const {
        nlohmann::json config{
            {"name", "n0"},
            {"listen", listen},
            {"discovery", discovery_at},
            {"seed", "1"},
            {"limits", {{"sockets", 256}}},
            {"settings", settings_json(more)},
            {"known", nlohmann::json::parse(list_of(41, node_entry("s1", node.address(), 5)))}};
        std::ofstream(path) << config.dump();
    }
    void stop() {
        loop.post([this] { server->stop(); });
    }
    void reload() {
        loop.post([this] { server->reload(); });
    }
    // Stops by itself within so long.
    bool stops(int within_ms = 4000) const {
        for (int i = 0; i < within_ms / 10 && !over; ++i)
            ::usleep(10'000);
        return over;
    }
    Peer client(const std::string &request = "") const {
        auto c = Peer::to(server->address());
        c.send(request);
        return c;
    }
};

} // namespace knotvane::http_gateway
