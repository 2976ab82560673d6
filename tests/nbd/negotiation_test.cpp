// The NBD handshake: its options and the errors that end it.
#include <doctest/doctest.h>

#include "helpers.hpp"

using namespace knotvane::nbd;

namespace {
std::uint32_t reply_type(const std::string &output, std::size_t at = 0) {
    return get<std::uint32_t>(output, at + 12);
}
} // namespace

TEST_SUITE("nbd handshake") {
    TEST_CASE("EXPORT_NAME answers size and flags, without padding if the client set the no zeroes "
              "flag") {
        for (std::uint32_t flags : {1u, 3u}) {
            RecordingHandler handler;
            Session session(handler, 4, 65536);
            session.take_output();
            session.receive(client_flags(flags) + option(opt_export_name, "first"));
            CHECK(session.take_output().size() == (flags == 3 ? 10 : 134));
            CHECK(handler.lines == std::vector<std::string>{"opened first"});
        }
    }
    TEST_CASE("an unknown export ends EXPORT_NAME but not GO") {
        RecordingHandler handler;
        Session session(handler, 4, 65536), other_session(handler, 4, 65536);
        session.receive(client_flags() + option(opt_export_name, "third"));
        CHECK(session.closed());
        other_session.receive(client_flags());
        other_session.take_output();
        other_session.receive(go("third"));
        CHECK(reply_type(other_session.take_output()) == rep_err_unknown);
        CHECK_FALSE(other_session.closed());
    }
    TEST_CASE("GO answers with the block sizes") {
        RecordingHandler handler;
        Session session(handler, 4, 65536);
        session.receive(client_flags());
        session.take_output();
        session.receive(go("first"));
        std::string output = session.take_output();
        CHECK(reply_type(output, 32) == rep_info);
        CHECK(get<std::uint32_t>(output, 32 + 20 + 2) == 512);
    }
    TEST_CASE("an unknown option is refused and the next one is handled") {
        RecordingHandler handler;
        Session session(handler, 4, 65536);
        session.receive(client_flags());
        session.take_output();
        session.receive(option(99, "whatever") + option(opt_list));
        std::string output = session.take_output();
        CHECK(reply_type(output) == rep_err_unsup);
        CHECK(output.find("second") != std::string::npos);
    }
    TEST_CASE(
        "an option over the size limit is skipped, one over the skip limit ends the session") {
        RecordingHandler handler;
        Session session(handler, 4, 65536);
        session.receive(client_flags());
        session.take_output();
        session.receive(option(opt_info, std::string(70000, 'x')) + option(opt_list));
        CHECK(reply_type(session.take_output()) == rep_err_too_big);
        std::string header;
        put(header, option_magic);
        put(header, opt_go);
        put(header, 0x7fffffffu);
        session.receive(header);
        CHECK(session.closed());
    }
    TEST_CASE(
        "a meta context requires structured replies and applies only to the export it names") {
        RecordingHandler handler;
        Session session(handler, 4, 65536);
        session.receive(client_flags());
        session.take_output();
        session.receive(context("first", "base:allocation", opt_set_meta_context));
        CHECK(reply_type(session.take_output()) == rep_err_invalid);
        session.receive(option(opt_structured_reply) +
                        context("first", "base:allocation", opt_set_meta_context));
        CHECK(session.take_output().find("base:allocation") != std::string::npos);
        session.receive(option(opt_export_name, "") + request(cmd_block_status, 1, 0, 512));
        CHECK(handler.lines.back() == "opened ");
    }
    TEST_CASE("a wrong magic or unknown client flags end the session with a reason") {
        RecordingHandler handler;
        Session session(handler, 4, 65536), other_session(handler, 4, 65536);
        session.receive(client_flags() + std::string(16, 'x'));
        other_session.receive(client_flags(64));
        CHECK(session.closed());
        CHECK(other_session.closed());
        CHECK(handler.lines[0].find("IHAVEOPT") != std::string::npos);
        CHECK(handler.lines[1].find("client flags 64") != std::string::npos);
    }
}
