// The NBD handshake: its option paths and what ends it.
#include <doctest/doctest.h>

#include "helpers.hpp"

using namespace knotvane::nbd;

namespace {
std::uint32_t reply_type(const std::string &out, std::size_t at = 0) {
    return get<std::uint32_t>(out, at + 12);
}
} // namespace

TEST_SUITE("nbd handshake") {
    TEST_CASE("EXPORT_NAME answers size and flags, without the zeroes where the client said so") {
        for (std::uint32_t flags : {1u, 3u}) {
            RecordingHandler handler;
            Session s(handler, 4, 65536);
            s.take_output();
            s.receive(client_flags(flags) + option(opt_export_name, "first"));
            CHECK(s.take_output().size() == (flags == 3 ? 10 : 134));
            CHECK(handler.lines == std::vector<std::string>{"opened first"});
        }
    }
    TEST_CASE("an unknown export ends EXPORT_NAME but not GO") {
        RecordingHandler handler;
        Session s(handler, 4, 65536), t(handler, 4, 65536);
        s.receive(client_flags() + option(opt_export_name, "third"));
        CHECK(s.closed());
        t.receive(client_flags());
        t.take_output();
        t.receive(go("third"));
        CHECK(reply_type(t.take_output()) == rep_err_unknown);
        CHECK_FALSE(t.closed());
    }
    TEST_CASE("GO tells the block sizes") {
        RecordingHandler handler;
        Session s(handler, 4, 65536);
        s.receive(client_flags());
        s.take_output();
        s.receive(go("first"));
        std::string out = s.take_output();
        CHECK(reply_type(out, 32) == rep_info);
        CHECK(get<std::uint32_t>(out, 32 + 20 + 2) == 512);
    }
    TEST_CASE("an unknown option is refused and the next one is heard") {
        RecordingHandler handler;
        Session s(handler, 4, 65536);
        s.receive(client_flags());
        s.take_output();
        s.receive(option(99, "whatever") + option(opt_list));
        std::string out = s.take_output();
        CHECK(reply_type(out) == rep_err_unsup);
        CHECK(out.find("second") != std::string::npos);
    }
    TEST_CASE("an option too long is read over, one absurdly long ends the session") {
        RecordingHandler handler;
        Session s(handler, 4, 65536);
        s.receive(client_flags());
        s.take_output();
        s.receive(option(opt_info, std::string(70000, 'x')) + option(opt_list));
        CHECK(reply_type(s.take_output()) == rep_err_too_big);
        std::string head;
        put(head, option_magic);
        put(head, opt_go);
        put(head, 0x7fffffffu);
        s.receive(head);
        CHECK(s.closed());
    }
    TEST_CASE("a context is chosen only with structured replies, and only for the export opened") {
        RecordingHandler handler;
        Session s(handler, 4, 65536);
        s.receive(client_flags());
        s.take_output();
        s.receive(context("first", "base:allocation", opt_set_meta_context));
        CHECK(reply_type(s.take_output()) == rep_err_invalid);
        s.receive(option(opt_structured_reply) +
                  context("first", "base:allocation", opt_set_meta_context));
        CHECK(s.take_output().find("base:allocation") != std::string::npos);
        s.receive(option(opt_export_name, "") + request(cmd_block_status, 1, 0, 512));
        CHECK(handler.lines.back() == "opened ");
    }
    TEST_CASE("a wrong magic or unknown client flags end the session with a reason") {
        RecordingHandler handler;
        Session s(handler, 4, 65536), t(handler, 4, 65536);
        s.receive(client_flags() + std::string(16, 'x'));
        t.receive(client_flags(64));
        CHECK(s.closed());
        CHECK(t.closed());
        CHECK(handler.lines[0].find("IHAVEOPT") != std::string::npos);
        CHECK(handler.lines[1].find("client flags 64") != std::string::npos);
    }
}
