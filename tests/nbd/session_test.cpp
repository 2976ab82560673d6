// The NBD session after its handshake: requests that are rejected while the session lives, and
// replies.
#include <doctest/doctest.h>
#include <rapidcheck.h>

#include "helpers.hpp"

using namespace knotvane::nbd;

TEST_SUITE("nbd requests") {
    TEST_CASE("each kind of request becomes its call") {
        OpenSession o;
        o.session.receive(request(cmd_read, 1, 512, 1024) +
                          request(cmd_write, 2, 0, 512, std::string(512, 'w'), 1) +
                          request(cmd_trim, 3, 512, 512) +
                          request(cmd_write_zeroes, 4, 0, 512, "", 2) +
                          request(cmd_flush, 5, 0, 0) + request(cmd_cache, 6, 0, 512) +
                          request(cmd_block_status, 7, 0, 4096));
        CHECK(o.handler.lines == std::vector<std::string>{"read 512+1024", "write 0+512 fua wwww",
                                                          "trim 512+512", "zero 0+512 no hole",
                                                          "flush", "cache 0+512", "status 0+4096"});
    }
    TEST_CASE("what can't be done gets its error and the session lives") {
        struct {
            std::string bytes;
            std::uint32_t error;
        } bad[] = {
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
        for (auto &b : bad) {
            OpenSession o(false);
            o.session.receive(b.bytes);
            std::string out = o.session.take_output();
            REQUIRE(out.size() == 16);
            CHECK(get<std::uint32_t>(out, 4) == b.error);
            o.session.receive(request(cmd_read, 2, 0, 512));
            CHECK(o.handler.lines == std::vector<std::string>{"read 0+512"});
        }
    }
    TEST_CASE("a bad magic ends the session") {
        OpenSession o;
        o.session.receive(std::string(28, 'x'));
        CHECK(o.session.closed());
        CHECK(o.handler.lines[0].find("request magic") != std::string::npos);
    }
    TEST_CASE("past the most requests in flight input is kept until one ends") {
        OpenSession o(true, 2);
        for (std::uint64_t i = 0; i < 5; ++i)
            o.session.receive(request(cmd_read, i, 0, 512));
        CHECK(o.handler.lines.size() == 2);
        CHECK(o.session.input_paused());
        o.session.reply_done(o.handler.ids[0]);
        CHECK(o.handler.lines.size() == 3);
    }
    TEST_CASE("parts of a read go out as they come, simple ones as a whole and in order") {
        OpenSession o, p(false);
        o.session.receive(request(cmd_read, 9, 0, 1024));
        o.session.reply_data(o.handler.ids[0], 512, std::string(512, 'b'));
        std::string part = o.session.take_output();
        CHECK(get<std::uint16_t>(part, 4) == 0);
        CHECK(get<std::uint64_t>(part, 20) == 512);
        o.session.reply_data(o.handler.ids[0], 0, std::string(512, 'a'));
        o.session.take_output();
        o.session.reply_done(o.handler.ids[0]);
        CHECK(get<std::uint16_t>(o.session.take_output(), 4) == reply_flag_done);
        p.session.receive(request(cmd_read, 9, 0, 1024));
        p.session.reply_data(p.handler.ids[0], 512, std::string(512, 'b'));
        p.session.reply_data(p.handler.ids[0], 0, std::string(512, 'a'));
        CHECK(p.session.take_output().empty());
        p.session.reply_done(p.handler.ids[0]);
        CHECK(p.session.take_output().substr(16) == std::string(512, 'a') + std::string(512, 'b'));
    }
    TEST_CASE("a good-bye is taken when all that is at work has ended") {
        OpenSession o;
        o.session.receive(request(cmd_read, 1, 0, 512) + request(cmd_disc, 2, 0, 0) +
                          request(cmd_read, 3, 0, 512));
        CHECK_FALSE(o.session.closed());
        o.session.reply_done(o.handler.ids[0]);
        CHECK(o.session.closed());
        CHECK(o.handler.lines == std::vector<std::string>{"read 0+512", "left "});
    }
    TEST_CASE("a request ends once") {
        OpenSession o;
        o.session.receive(request(cmd_read, 9, 0, 512));
        o.session.reply_error(o.handler.ids[0], e_io, "no", 0);
        std::string out = o.session.take_output();
        CHECK(get<std::uint16_t>(out, 6) == reply_type_error_offset);
        o.session.reply_done(o.handler.ids[0]);
        o.session.reply_data(o.handler.ids[0], 0, "late");
        CHECK(o.session.take_output().empty());
    }
    TEST_CASE("any split of the bytes gives the same calls and the same answers") {
        auto whole = client_flags() + option(99) + option(opt_structured_reply) + option(opt_list) +
                     go("first", opt_info) + go("first") + request(cmd_read, 1, 0, 512) +
                     request(cmd_write, 2, 0, 131072, std::string(131072, 'x')) +
                     request(cmd_write, 3, 512, 1024, std::string(1024, 'y'), 1) +
                     request(cmd_read, 4, 3, 5) + request(cmd_flush, 5, 0, 0) +
                     request(cmd_disc, 6, 0, 0) + "beyond";
        RecordingHandler once;
        Session all(once, 16, 65536);
        all.receive(whole);
        std::string answers = all.take_output();
        CHECK(rc::check([&](const std::vector<std::uint16_t> &cuts) {
            RecordingHandler handler;
            Session s(handler, 16, 65536);
            std::size_t at = 0;
            for (auto c : cuts) {
                std::size_t n = std::min<std::size_t>(c % 700, whole.size() - at);
                s.receive(std::string_view(whole).substr(at, n));
                at += n;
            }
            s.receive(std::string_view(whole).substr(at));
            RC_ASSERT(handler.lines == once.lines);
            RC_ASSERT(s.take_output() == answers);
        }));
    }
}
