// What the front's tests share: a shell written down, requests and answers spelled out, and a front set up by hand.
#pragma once

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "platform/core.hpp"

namespace knotvane::platform {

struct Written final : Wires {
    std::vector<std::pair<ConnId, std::string>> connected;
    std::map<ConnId, std::string> sent;
    std::map<ConnId, std::size_t> unwritten;
    std::set<ConnId> closed, shutting; // closed: our side has ended, whether or not the other one may still be read
    std::vector<std::string> said;
    void connect(ConnId c, const std::string &a) override { connected.push_back({c, a}); }
    void send(ConnId c, std::string b) override { unwritten[c] += b.size(), sent[c] += b; }
    void close(ConnId c) override { closed.insert(c), shutting.erase(c); }
    void shut(ConnId c) override { closed.insert(c), shutting.insert(c); }
    void say(std::string t) override { said.push_back(std::move(t)); }
    // The connection made last to an address; none: id 0.
    ConnId to(const std::string &address) const {
        ConnId last{};
        for (auto &[c, a] : connected)
            if (a == address) last = c;
        return last;
    }
};

inline std::string reply(int status, const std::string &body, const std::string &headers = "") {
    return "HTTP/1.1 " + std::to_string(status) + " X\r\n" + headers + "Content-Length: " + std::to_string(body.size()) +
           "\r\n\r\n" + body;
}
inline std::string read_of(const std::string &trace, const std::string &headers = "", const std::string &wait = "1.000") {
    return "GET /read/x?y=1 HTTP/1.1\r\nHost: s\r\nX-Trace-Id: " + trace + "\r\nX-Storage-Class: gold\r\n" +
           "Cookie: object=7f3a9c21e0b4d655\r\nX-Expires-In: " + wait +
           "\r\nX-Extent: volume=00000003b4d60021,units=2,shard=5,hosts=3\r\n" + headers + "\r\n";
}
inline std::string write_of(const std::string &trace, const std::string &body) {
    return "PUT /write HTTP/1.1\r\nHost: s\r\nX-Trace-Id: " + trace + "\r\nX-Storage-Class: gold\r\nX-Expires-In: 1.5\r\n" +
           "Idempotency-Key: k1\r\nX-Extent: volume=00000003b4d60021,units=2,shard=5,hosts=3\r\nContent-Length: " +
           std::to_string(body.size()) + "\r\n\r\n" + body;
}
inline std::string settings_text() {
    return "Balancers=2\nIndex=0\nStepS=0.002\nClasses.count=2\nClasses.0.TargetS=0.15\nClasses.0.DeadlineS=1\n"
           "Classes.0.Points=2\nClasses.0.Effect=idempotent\nClasses.0.Group=all\nClasses.1.TargetS=0.25\n"
           "Classes.1.DeadlineS=1.5\nClasses.1.Points=3\nClasses.1.Effect=deduplicated\nClasses.1.Group=cell\n"
           "Classes.1.RepeatWindowS=2.5\nContracts.count=1\nContracts.0.Shares=1\nContracts.0.UsualRate=5\n"
           "Extra.UnitMean=2\nExtra.UnitsTop=8\nExtra.ColdUnits=72\nExtra.ShareWorth=0.3\nPermissions.MaxAttempts=3\n"
           "Permissions.Cancel=true\nPermissions.RetryAfter=true\nPermissions.MaxRetryAfterS=2\n"
           "Permissions.ConnIdleS=15\nPermissions.ConnectTimeoutS=0.25\nRules.DrainGraceS=0.25\nRules.FallS=2\n"
           "Rules.WarmAfterS=18\nRules.StartCapacity=0.24\n";
}
inline std::string node_entry(const std::string &id, const std::string &address, int shard, const std::string &state = "active") {
    return R"({"instanceId":")" + id + R"(","hostPort":")" + address + R"(","zone":"a","machineType":"m","cell":)" +
           std::to_string(shard) + R"(,"lifecycle":")" + state + R"(","weight":1.0,"startedAtMs":0})";
}
inline std::string list_of(int generation, const std::string &entries, bool whole = true) {
    return R"({"generation":)" + std::to_string(generation) + R"(,"reset":)" + (whole ? "true" : "false") +
           R"(,"instances":[)" + entries + "]}";
}

// A front with one node at n1 that holds shard 5, driven by hand; the decisions are the real ones.
struct Front {
    Written w;
    Time now = 1000 * sec;
    Core core;
    Front() : core(w, [](Actions &a) { return make_scheduler(a, 7); }, wire::Options(settings_text()), {"read", "write"},
                   {"gold"}, {"a", "b"}, 1, 256) {
        core.start(now, list_of(41, node_entry("s1", "n1", 5)), "d1");
        core.up(now, w.to("d1"));
        core.bytes(now, w.to("d1"), "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk("\n"));
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
    void blank() { core.bytes(now, w.to("d1"), chunk("\n")); }
    void list(const std::string &json) { core.bytes(now, w.to("d1"), chunk(json + "\n")); }
    // Writes what was sent, as the shell does at a moment's end.
    void settle(Time later = 0) {
        now += later;
        core.settle(now);
        for (auto &[c, n] : std::exchange(w.unwritten, {})) core.written(now, c, n);
        core.settle(now);
    }
    ConnId client(const std::string &request) {
        auto c = *core.client_came(now);
        core.bytes(now, c, request);
        settle();
        return c;
    }
    void gone(ConnId c, Gone how = Gone::ended) {
        core.gone(now, c, how);
        settle();
    }
    // The connection to the node, up.
    ConnId node(Time later = 0) {
        auto c = w.to("n1");
        now += later;
        core.up(now, c);
        settle();
        return c;
    }
    void answer(ConnId node, const std::string &bytes, Time later = 5 * ms) {
        now += later;
        core.bytes(now, node, bytes);
        settle();
    }
};

} // namespace knotvane::platform
