// What the NBD tests share: a client's bytes, and calls written down.
#pragma once

#include <string>
#include <vector>

#include "nbd/session.hpp"
#include "nbd/wire.hpp"

namespace knotvane::nbd {

// Writes each call down as a line, and answers nothing by itself.
struct RecordingHandler final : RequestHandler {
    std::vector<std::string> lines;
    std::vector<Cookie> ids;
    void put(Cookie id, std::string s) { ids.push_back(id), lines.push_back(std::move(s)); }
    std::vector<std::string> exports() override { return {"first", "second"}; }
    bool describe(std::string_view name, std::uint64_t &size, std::uint16_t &flags,
                  std::uint32_t &least, std::uint32_t &preferred, std::uint32_t &most) override {
        size = 1 << 20, least = 512, preferred = 4096, most = 65536;
        flags = flag_send_flush | flag_send_fua | flag_send_trim | flag_send_write_zeroes |
                flag_send_df | flag_send_cache;
        return name == "first" || name.empty();
    }
    void opened(std::string_view name) override { lines.push_back("opened " + std::string(name)); }
    static std::string range(std::uint64_t o, std::uint64_t n) {
        return std::to_string(o) + "+" + std::to_string(n);
    }
    void read(Cookie id, std::uint64_t o, std::uint32_t n, bool) override {
        put(id, "read " + range(o, n));
    }
    void write(Cookie id, std::uint64_t o, std::string_view d, bool fua) override {
        put(id,
            "write " + range(o, d.size()) + (fua ? " fua " : " ") + std::string(d.substr(0, 4)));
    }
    void zero(Cookie id, std::uint64_t o, std::uint32_t n, bool, bool no_hole, bool) override {
        put(id, "zero " + range(o, n) + (no_hole ? " no hole" : ""));
    }
    void trim(Cookie id, std::uint64_t o, std::uint32_t n, bool) override {
        put(id, "trim " + range(o, n));
    }
    void flush(Cookie id) override { put(id, "flush"); }
    void cache(Cookie id, std::uint64_t o, std::uint32_t n) override {
        put(id, "cache " + range(o, n));
    }
    void status(Cookie id, std::uint64_t o, std::uint32_t n, bool) override {
        put(id, "status " + range(o, n));
    }
    void left(std::string_view fault) override { lines.push_back("left " + std::string(fault)); }
};

inline std::string client_flags(std::uint32_t flags = 3) {
    std::string s;
    put(s, flags);
    return s;
}
inline std::string option(std::uint32_t code, std::string_view data = "") {
    std::string s;
    put(s, option_magic);
    put(s, code);
    put(s, static_cast<std::uint32_t>(data.size()));
    return s + std::string(data);
}
inline std::string go(std::string_view name, std::uint32_t code = opt_go) {
    std::string d;
    put(d, static_cast<std::uint32_t>(name.size()));
    d += name;
    put(d, std::uint16_t{0});
    return option(code, d);
}
inline std::string context(std::string_view name, std::string_view query, std::uint32_t code) {
    std::string d;
    put(d, static_cast<std::uint32_t>(name.size()));
    d += name;
    put(d, std::uint32_t{1});
    put(d, static_cast<std::uint32_t>(query.size()));
    d += query;
    return option(code, d);
}
inline std::string request(std::uint16_t command, std::uint64_t cookie, std::uint64_t offset,
                           std::uint32_t length, std::string_view payload = "",
                           std::uint16_t flags = 0) {
    std::string s;
    put(s, request_magic);
    put(s, flags);
    put(s, command);
    put(s, cookie);
    put(s, offset);
    put(s, length);
    return s + std::string(payload);
}

// A session past its handshake, with what it sent so far taken out.
struct OpenSession {
    RecordingHandler did;
    Session session;
    explicit OpenSession(bool structured = true, std::uint32_t most_flying = 16)
        : session(did, most_flying, 65536) {
        session.receive(
            client_flags() + (structured ? option(opt_structured_reply) : "") +
            (structured ? context("first", "base:allocation", opt_set_meta_context) : "") +
            go("first"));
        session.take_output();
        did.lines.clear();
    }
};

} // namespace knotvane::nbd
