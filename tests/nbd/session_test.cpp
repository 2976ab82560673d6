// The NBD session after its handshake: requests that are rejected without ending the session, and
// replies.
#include <doctest/doctest.h>
#include <rapidcheck.h>

#include "helpers.hpp"

using namespace knotvane::nbd;

TEST_SUITE("nbd requests") {
    TEST_CASE("each command calls the matching function of the handler") {
        OpenSession open_session;
        open_session.session.receive(request(cmd_read, 1, 512, 1024) +
                                     request(cmd_write, 2, 0, 512, std::string(512, 'w'), 1) +
                                     request(cmd_trim, 3, 512, 512) +
                                     request(cmd_write_zeroes, 4, 0, 512, "", 2) +
                                     request(cmd_flush, 5, 0, 0) + request(cmd_cache, 6, 0, 512) +
                                     request(cmd_block_status, 7, 0, 4096));
        CHECK(open_session.handler.lines ==
              std::vector<std::string>{"read 512+1024", "write 0+512 fua wwww", "trim 512+512",
                                       "zero 0+512 no hole", "flush", "cache 0+512",
                                       "status 0+4096"});
    }
    TEST_CASE("an invalid request gets the matching error and the session continues") {
        struct {
            std::string bytes;
            std::uint32_t error;
        } invalid_requests[] = {
            {request(cmd_read, 1, 1 << 20, 512), e_inval},
            {request(cmd_write, 1, (1 << 20) - 512, 1024, std::string(1024, 'x')), e_nospc},
            {request(cmd_read, 1, 100, 512), e_inval},
            {request(cmd_read, 1, 0, 512, "", 128), e_inval},
            {request(cmd_read, 1, 0, 0), e_inval},
            {request(cmd_read, 1, 0, 131072), e_overflow},
            {request(cmd_write, 1, 0, 131072, std::string(131072, 'x')), e_overflow},
            {request(cmd_write_zeroes, 1, 0, 512, "", cmd_flag_fast_zero), e_inval},
            {request(77, 1, 0, 512), e_inval},
            {request(cmd_read, 1, ~0ull - 511, 512), e_inval},
            {request(cmd_flush, 1, 512, 0), e_inval},
        };
        for (auto &invalid : invalid_requests) {
            OpenSession open_session(false);
            open_session.session.receive(invalid.bytes);
            std::string output = open_session.session.take_output();
            REQUIRE(output.size() == 16);
            CHECK(get<std::uint32_t>(output, 4) == invalid.error);
            open_session.session.receive(request(cmd_read, 2, 0, 512));
            CHECK(open_session.handler.lines == std::vector<std::string>{"read 0+512"});
        }
    }
    TEST_CASE("a bad magic ends the session") {
        OpenSession open_session;
        open_session.session.receive(std::string(28, 'x'));
        CHECK(open_session.session.closed());
        CHECK(open_session.handler.lines[0].find("request magic") != std::string::npos);
    }
    TEST_CASE("at the limit of requests in flight, input is held back until one ends") {
        OpenSession open_session(true, 2);
        for (std::uint64_t i = 0; i < 5; ++i)
            open_session.session.receive(request(cmd_read, i, 0, 512));
        CHECK(open_session.handler.lines.size() == 2);
        CHECK(open_session.session.input_paused());
        open_session.session.reply_done(open_session.handler.ids[0]);
        CHECK(open_session.handler.lines.size() == 3);
    }
    TEST_CASE("structured replies send parts of a read as they arrive, simple replies send it "
              "whole in order") {
        OpenSession open_session, simple_session(false);
        open_session.session.receive(request(cmd_read, 9, 0, 1024));
        open_session.session.reply_data(open_session.handler.ids[0], 512, std::string(512, 'b'));
        std::string part = open_session.session.take_output();
        CHECK(get<std::uint16_t>(part, 4) == 0);
        CHECK(get<std::uint64_t>(part, 20) == 512);
        open_session.session.reply_data(open_session.handler.ids[0], 0, std::string(512, 'a'));
        open_session.session.take_output();
        open_session.session.reply_done(open_session.handler.ids[0]);
        CHECK(get<std::uint16_t>(open_session.session.take_output(), 4) == reply_flag_done);
        simple_session.session.receive(request(cmd_read, 9, 0, 1024));
        simple_session.session.reply_data(simple_session.handler.ids[0], 512,
                                          std::string(512, 'b'));
        simple_session.session.reply_data(simple_session.handler.ids[0], 0, std::string(512, 'a'));
        CHECK(simple_session.session.take_output().empty());
        simple_session.session.reply_done(simple_session.handler.ids[0]);
        CHECK(simple_session.session.take_output().substr(16) ==
              std::string(512, 'a') + std::string(512, 'b'));
    }
    TEST_CASE("a disconnect takes effect once all requests in flight have ended") {
        OpenSession open_session;
        open_session.session.receive(request(cmd_read, 1, 0, 512) + request(cmd_disc, 2, 0, 0) +
                                     request(cmd_read, 3, 0, 512));
        CHECK_FALSE(open_session.session.closed());
        open_session.session.reply_done(open_session.handler.ids[0]);
        CHECK(open_session.session.closed());
        CHECK(open_session.handler.lines == std::vector<std::string>{"read 0+512", "ended "});
    }
    TEST_CASE("replies to a request that has ended are dropped") {
        OpenSession open_session;
        open_session.session.receive(request(cmd_read, 9, 0, 512));
        open_session.session.reply_error(open_session.handler.ids[0], e_io, "no", 0);
        std::string output = open_session.session.take_output();
        CHECK(get<std::uint16_t>(output, 6) == reply_type_error_offset);
        open_session.session.reply_done(open_session.handler.ids[0]);
        open_session.session.reply_data(open_session.handler.ids[0], 0, "late");
        CHECK(open_session.session.take_output().empty());
    }
    TEST_CASE("any split of the input gives the same calls and the same output") {
        auto input = client_flags() + option(99) + option(opt_structured_reply) + option(opt_list) +
                     go("first", opt_info) + go("first") + request(cmd_read, 1, 0, 512) +
                     request(cmd_write, 2, 0, 131072, std::string(131072, 'x')) +
                     request(cmd_write, 3, 512, 1024, std::string(1024, 'y'), 1) +
                     request(cmd_read, 4, 3, 5) + request(cmd_flush, 5, 0, 0) +
                     request(cmd_disc, 6, 0, 0) + "beyond";
        RecordingHandler unsplit_handler;
        Session unsplit_session(unsplit_handler, 16, 65536);
        unsplit_session.receive(input);
        std::string unsplit_output = unsplit_session.take_output();
        CHECK(rc::check([&](const std::vector<std::uint16_t> &cuts) {
            RecordingHandler handler;
            Session session(handler, 16, 65536);
            std::size_t position = 0;
            for (auto cut : cuts) {
                std::size_t piece_bytes = std::min<std::size_t>(cut % 700, input.size() - position);
                session.receive(std::string_view(input).substr(position, piece_bytes));
                position += piece_bytes;
            }
            session.receive(std::string_view(input).substr(position));
            RC_ASSERT(handler.lines == unsplit_handler.lines);
            RC_ASSERT(session.take_output() == unsplit_output);
        }));
    }
}
