/// \file
/// Helpers of the NBD tests: a client's messages, and a handler that records its calls.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "nbd/session.hpp"
#include "nbd/wire.hpp"

namespace knotvane::nbd {

/// Records each call as a line of text and sends no replies.
struct RecordingHandler final : RequestHandler {
    std::vector<std::string> lines;
    std::vector<Cookie> ids; // of the requests passed on

    void record(Cookie id, std::string line) {
        ids.push_back(id);
        lines.push_back(std::move(line));
    }
    static std::string range(std::uint64_t offset, std::uint64_t length) {
        return std::to_string(offset) + "+" + std::to_string(length);
    }

    std::vector<std::string> export_names() override { return {"first", "second"}; }
    std::optional<ExportInfo> find_export(std::string_view name) override {
        if (name != "first" && !name.empty())
            return std::nullopt;
        return ExportInfo{1 << 20,
                          flag_send_flush | flag_send_fua | flag_send_trim |
                              flag_send_write_zeroes | flag_send_df | flag_send_cache,
                          {512, 4096, 65536}};
    }
    void export_opened(std::string_view name) override {
        lines.push_back("opened " + std::string(name));
    }
    void read(Cookie id, std::uint64_t offset, std::uint32_t length) override {
        record(id, "read " + range(offset, length));
    }
    void write(Cookie id, std::uint64_t offset, std::string_view data, bool fua) override {
        record(id, "write " + range(offset, data.size()) + (fua ? " fua " : " ") +
                       std::string(data.substr(0, 4)));
    }
    void write_zeroes(Cookie id, std::uint64_t offset, std::uint32_t length, bool,
                      bool no_hole) override {
        record(id, "zero " + range(offset, length) + (no_hole ? " no hole" : ""));
    }
    void trim(Cookie id, std::uint64_t offset, std::uint32_t length, bool) override {
        record(id, "trim " + range(offset, length));
    }
    void flush(Cookie id) override { record(id, "flush"); }
    void cache(Cookie id, std::uint64_t offset, std::uint32_t length) override {
        record(id, "cache " + range(offset, length));
    }
    void block_status(Cookie id, std::uint64_t offset, std::uint32_t length) override {
        record(id, "status " + range(offset, length));
    }
    void session_ended(std::string_view fault) override {
        lines.push_back("ended " + std::string(fault));
    }
};

inline std::string client_flags(std::uint32_t flags = 3) {
    std::string message;
    put(message, flags);
    return message;
}
inline std::string option(std::uint32_t code, std::string_view data = "") {
    std::string message;
    put(message, option_magic);
    put(message, code);
    put(message, static_cast<std::uint32_t>(data.size()));
    return message + std::string(data);
}
inline std::string go(std::string_view name, std::uint32_t code = opt_go) {
    std::string data;
    put(data, static_cast<std::uint32_t>(name.size()));
    data += name;
    put(data, std::uint16_t{0});
    return option(code, data);
}
inline std::string context(std::string_view name, std::string_view query, std::uint32_t code) {
    std::string data;
    put(data, static_cast<std::uint32_t>(name.size()));
    data += name;
    put(data, std::uint32_t{1});
    put(data, static_cast<std::uint32_t>(query.size()));
    data += query;
    return option(code, data);
}
inline std::string request(std::uint16_t command, std::uint64_t cookie, std::uint64_t offset,
                           std::uint32_t length, std::string_view payload = "",
                           std::uint16_t flags = 0) {
    std::string message;
    put(message, request_magic);
    put(message, flags);
    put(message, command);
    put(message, cookie);
    put(message, offset);
    put(message, length);
    return message + std::string(payload);
}

/// A session after its handshake, whose output so far has been discarded.
struct OpenSession {
    RecordingHandler handler;
    Session session;
    explicit OpenSession(bool structured = true, std::uint32_t max_in_flight = 16)
        : session(handler, max_in_flight, 65536) {
        session.receive(
            client_flags() + (structured ? option(opt_structured_reply) : "") +
            (structured ? context("first", "base:allocation", opt_set_meta_context) : "") +
            go("first"));
        session.take_output();
        handler.lines.clear();
    }
};

} // namespace knotvane::nbd
