// HTTP messages out of bytes: any split reads alike, bounds hold, and what two readers could take
// in two ways is broken.
#include <doctest/doctest.h>
#include <rapidcheck.h>

#include "http/decoder.hpp"

using namespace knotvane;
using namespace knotvane::http;

namespace {

std::string get(const std::string &headers) {
    return "GET /a?b=c HTTP/1.1\r\nHost: x\r\n" + headers + "\r\n";
}
Decoder read(std::string_view in, MessageKind side = MessageKind::request, std::size_t head = 512,
             std::size_t body = 64) {
    Decoder d(side, head, body);
    while (!in.empty() && d.state() != State::complete && d.state() != State::invalid)
        in.remove_prefix(d.consume(in));
    return d;
}

} // namespace

TEST_CASE("a request is read alike in whatever pieces it comes, and no further than its end") {
    const std::string in =
        "PUT /w HTTP/1.1\r\nHost: x\r\nX-Trace-Id:  7 \r\nContent-Length: 5\r\n\r\nhello";
    rc::check("pieces", [&] {
        Decoder d(MessageKind::request, 512, 64);
        std::string all = in + "GET / HT";
        std::size_t at = 0;
        while (d.state() != State::complete)
            at +=
                d.consume(std::string_view(all).substr(at, *rc::gen::inRange<std::size_t>(1, 30)));
        RC_ASSERT(at == in.size());
        RC_ASSERT(d.method() == "PUT");
        RC_ASSERT(d.target() == "/w");
        RC_ASSERT(d.header("x-trace-id") == "7");
        RC_ASSERT(d.body() == "hello");
        d.start_next();
        RC_ASSERT(d.state() == State::empty);
        RC_ASSERT(!d.header("x-trace-id"));
    });
}
TEST_CASE("two lengths, odd lengths and odd names are broken") {
    for (std::string h :
         {"Content-Length: 3\r\nTransfer-Encoding: chunked\r\n",
          "Content-Length: 3\r\nContent-Length: 3\r\n", "Content-Length: -3\r\n",
          "Content-Length: 3, 3\r\n", "Content-Length: 0x3\r\n", "Content-Length:\r\n",
          "Content-Length : 3\r\n", "Transfer-Encoding: gzip\r\n",
          "Transfer-Encoding: chunked, identity\r\n",
          "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n", "No colon\r\n",
          "Bad name: 1\r\n", "Upgrade: x\r\nConnection: upgrade\r\n", "X: a\x01z\r\n"}) {
        CAPTURE(h);
        CHECK(read(get(h) + "abcdefgh").state() == State::invalid);
    }
    CHECK(read(get("Content-Length: 3\r\n") + "abc").state() == State::complete);
    CHECK(read("GET / HTTP/9.1\r\n\r\n").state() == State::invalid);
    CHECK(read("\x16\x03\x01\x02\x03").state() == State::invalid);
}
TEST_CASE("bounds: a long head, a long body, many headers, bad and endless chunks") {
    auto told = read(get("Content-Length: 60000000\r\n"));
    CHECK(told.state() == State::invalid); // at its head, with no byte of the body here
    CHECK(told.error_status() == 413);
    CHECK(read(get("X: " + std::string(600, 'a') + "\r\n")).error_status() == 431);
    CHECK(read("GET /" + std::string(5000, 'a')).error_status() == 431);
    std::string many;
    for (int i = 0; i < 65; ++i)
        many += "A: 1\r\n";
    CHECK(read(get(many), MessageKind::request, 4096).error_status() == 431);
    const std::string chunked = get("Transfer-Encoding: chunked\r\n");
    CHECK(read(chunked + "3\r\nabc\r\n0\r\n\r\n").body() == "abc");
    CHECK(read(chunked + "zz\r\nabc").state() == State::invalid);
    CHECK(read(chunked + "41\r\n" + std::string(65, 'b')).error_status() == 413);
    CHECK(read(chunked + "1;" + std::string(3000, 'e')).state() == State::invalid);
    CHECK(read(chunked + "ffffffffffffffff1\r\n").state() == State::invalid);
}
TEST_CASE("answers: 1xx are passed over; endless or unreadable is broken") {
    auto d = read("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 X\r\nLink: a\r\n\r\nHTTP/1.1 200 "
                  "OK\r\nContent-Length: 2\r\n\r\nok",
                  MessageKind::response);
    CHECK(d.state() == State::complete);
    CHECK(d.status() == 200);
    CHECK(d.body() == "ok");
    CHECK(!d.header("Link"));
    CHECK(read("HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n", MessageKind::response)
              .state() == State::invalid);
    CHECK(read("HTTP/1.1 200 OK\r\nX: " + std::string(9000, 'x'), MessageKind::response).state() ==
          State::invalid);
    CHECK(read("\x01\x02 noise", MessageKind::response).state() == State::invalid);
    CHECK(read("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nab", MessageKind::response).state() ==
          State::body);
    CHECK(!read("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n",
                MessageKind::response)
               .keep_alive());
}
TEST_CASE("an answer without a length is whole at the end of its stream and not before; none else "
          "becomes whole by it") {
    auto end = [](const std::string &in) {
        auto d = read(in, MessageKind::response);
        CHECK(d.state() != State::complete);
        d.finish();
        return d;
    };
    auto d = end("HTTP/1.1 200 OK\r\nX: 1\r\n\r\nbytes");
    CHECK(d.state() == State::complete);
    CHECK(d.body() == "bytes");
    CHECK(!d.keep_alive());
    CHECK(end("HTTP/1.1 200 OK\r\n\r\n").state() == State::complete);
    CHECK(end("HTTP/1.1 200 OK\r\n\r\n" + std::string(65, 'b')).state() == State::invalid);
    for (auto cut : {"HTTP/1.1 200 OK\r\nX: 1\r\n", "HTTP/1.1 2",
                     "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nab",
                     "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n"})
        CHECK(end(cut).state() == State::invalid);
    CHECK(end("").state() == State::empty);
    CHECK(end("HTTP/1.1 100 Continue\r\n\r\n").state() == State::empty);
}
TEST_CASE("a body without an end is taken as it comes") {
    Decoder d(MessageKind::response, 512, 16);
    std::string all;
    std::string in = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    for (int i = 0; i < 50; ++i)
        in += "8\r\n1234567\n\r\n";
    for (std::size_t at = 0; at < in.size();) {
        at += d.consume(std::string_view(in).substr(at, 13));
        REQUIRE(d.state() != State::invalid);
        all += d.take_body();
    }
    CHECK(all.size() == 400);
}
TEST_CASE("numbers and ids: whole or nothing") {
    CHECK(parse_decimal("0.480") == 0.48);
    CHECK(parse_decimal("-1") == -1);
    for (auto s : {"", "nan", "inf", "1e9", "1x", " 1", "0x1", "--1"})
        CHECK(!parse_decimal(s));
    CHECK(parse_hex64("00000003b4d60021") == 0x3b4d60021);
    for (auto s : {"", "3b4d60021", "00000003b4d6002g", "+0000003b4d60021", "00000003b4d600211"})
        CHECK(!parse_hex64(s));
}
