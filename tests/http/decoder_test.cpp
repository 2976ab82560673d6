// Decoding of HTTP messages: the result doesn't depend on how the bytes are split, limits hold, and
// messages that two implementations could interpret differently are invalid.
#include <doctest/doctest.h>
#include <rapidcheck.h>

#include "http/decoder.hpp"

using namespace knotvane;
using namespace knotvane::http;

namespace {

std::string get_request(const std::string &headers) {
    return "GET /a?b=c HTTP/1.1\r\nHost: x\r\n" + headers + "\r\n";
}
Decoder decode(std::string_view bytes, MessageKind kind = MessageKind::request,
               std::size_t max_head = 512, std::size_t max_body = 64) {
    Decoder decoder(kind, max_head, max_body);
    while (!bytes.empty() && decoder.state() != MessageState::complete &&
           decoder.state() != MessageState::invalid)
        bytes.remove_prefix(decoder.consume(bytes));
    return decoder;
}

} // namespace

TEST_CASE(
    "a request is decoded alike in pieces of any size, and no byte after its end is consumed") {
    const std::string request =
        "PUT /w HTTP/1.1\r\nHost: x\r\nX-Trace-Id:  7 \r\nContent-Length: 5\r\n\r\nhello";
    rc::check("pieces of any size", [&] {
        Decoder decoder(MessageKind::request, 512, 64);
        std::string bytes = request + "GET / HT";
        std::size_t consumed = 0;
        while (decoder.state() != MessageState::complete)
            consumed += decoder.consume(
                std::string_view(bytes).substr(consumed, *rc::gen::inRange<std::size_t>(1, 30)));
        RC_ASSERT(consumed == request.size());
        RC_ASSERT(decoder.method() == "PUT");
        RC_ASSERT(decoder.target() == "/w");
        RC_ASSERT(decoder.header("x-trace-id") == "7");
        RC_ASSERT(decoder.body() == "hello");
        decoder.start_next();
        RC_ASSERT(decoder.state() == MessageState::empty);
        RC_ASSERT(!decoder.header("x-trace-id"));
    });
}
TEST_CASE("conflicting or malformed lengths and malformed headers are invalid") {
    for (std::string headers :
         {"Content-Length: 3\r\nTransfer-Encoding: chunked\r\n",
          "Content-Length: 3\r\nContent-Length: 3\r\n", "Content-Length: -3\r\n",
          "Content-Length: 3, 3\r\n", "Content-Length: 0x3\r\n", "Content-Length:\r\n",
          "Content-Length : 3\r\n", "Transfer-Encoding: gzip\r\n",
          "Transfer-Encoding: chunked, identity\r\n",
          "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n", "No colon\r\n",
          "Bad name: 1\r\n", "Upgrade: x\r\nConnection: upgrade\r\n", "X: a\x01z\r\n"}) {
        CAPTURE(headers);
        CHECK(decode(get_request(headers) + "abcdefgh").state() == MessageState::invalid);
    }
    CHECK(decode(get_request("Content-Length: 3\r\n") + "abc").state() == MessageState::complete);
    CHECK(decode("GET / HTTP/9.1\r\n\r\n").state() == MessageState::invalid);
    CHECK(decode("\x16\x03\x01\x02\x03").state() == MessageState::invalid);
}
TEST_CASE("a head or body over its limit, too many headers and malformed or endless chunks "
          "are invalid") {
    auto announced = decode(get_request("Content-Length: 60000000\r\n"));
    CHECK(announced.state() == MessageState::invalid); // as soon as the head is complete
    CHECK(announced.error_status() == 413);
    CHECK(decode(get_request("X: " + std::string(600, 'a') + "\r\n")).error_status() == 431);
    CHECK(decode("GET /" + std::string(5000, 'a')).error_status() == 431);
    std::string many_headers;
    for (int i = 0; i < 65; ++i)
        many_headers += "A: 1\r\n";
    CHECK(decode(get_request(many_headers), MessageKind::request, 4096).error_status() == 431);
    const std::string chunked = get_request("Transfer-Encoding: chunked\r\n");
    CHECK(decode(chunked + "3\r\nabc\r\n0\r\n\r\n").body() == "abc");
    CHECK(decode(chunked + "zz\r\nabc").state() == MessageState::invalid);
    CHECK(decode(chunked + "41\r\n" + std::string(65, 'b')).error_status() == 413);
    CHECK(decode(chunked + "1;" + std::string(3000, 'e')).state() == MessageState::invalid);
    CHECK(decode(chunked + "ffffffffffffffff1\r\n").state() == MessageState::invalid);
}
TEST_CASE("responses of status 1xx are skipped, and malformed or too long responses are invalid") {
    auto decoder =
        decode("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 X\r\nLink: a\r\n\r\nHTTP/1.1 200 "
               "OK\r\nContent-Length: 2\r\n\r\nok",
               MessageKind::response);
    CHECK(decoder.state() == MessageState::complete);
    CHECK(decoder.status() == 200);
    CHECK(decoder.body() == "ok");
    CHECK(!decoder.header("Link"));
    CHECK(decode("HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n", MessageKind::response)
              .state() == MessageState::invalid);
    CHECK(
        decode("HTTP/1.1 200 OK\r\nX: " + std::string(9000, 'x'), MessageKind::response).state() ==
        MessageState::invalid);
    CHECK(decode("\x01\x02 noise", MessageKind::response).state() == MessageState::invalid);
    CHECK(decode("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nab", MessageKind::response).state() ==
          MessageState::body);
    CHECK(!decode("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n",
                  MessageKind::response)
               .keep_alive());
}
TEST_CASE("the end of the stream completes only a response without a length") {
    auto decode_stream = [](const std::string &bytes) {
        auto decoder = decode(bytes, MessageKind::response);
        CHECK(decoder.state() != MessageState::complete);
        decoder.finish();
        return decoder;
    };
    auto decoder = decode_stream("HTTP/1.1 200 OK\r\nX: 1\r\n\r\nbytes");
    CHECK(decoder.state() == MessageState::complete);
    CHECK(decoder.body() == "bytes");
    CHECK(!decoder.keep_alive());
    CHECK(decode_stream("HTTP/1.1 200 OK\r\n\r\n").state() == MessageState::complete);
    CHECK(decode_stream("HTTP/1.1 200 OK\r\n\r\n" + std::string(65, 'b')).state() ==
          MessageState::invalid);
    for (auto truncated : {"HTTP/1.1 200 OK\r\nX: 1\r\n", "HTTP/1.1 2",
                           "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nab",
                           "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n"})
        CHECK(decode_stream(truncated).state() == MessageState::invalid);
    CHECK(decode_stream("").state() == MessageState::empty);
    CHECK(decode_stream("HTTP/1.1 100 Continue\r\n\r\n").state() == MessageState::empty);
}
TEST_CASE("an endless body can be taken in parts") {
    Decoder decoder(MessageKind::response, 512, 16);
    std::string body;
    std::string bytes = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    for (int i = 0; i < 50; ++i)
        bytes += "8\r\n1234567\n\r\n";
    for (std::size_t consumed = 0; consumed < bytes.size();) {
        consumed += decoder.consume(std::string_view(bytes).substr(consumed, 13));
        REQUIRE(decoder.state() != MessageState::invalid);
        body += decoder.take_body();
    }
    CHECK(body.size() == 400);
}
TEST_CASE("numbers and ids are parsed only if the whole text is valid") {
    CHECK(parse_decimal("0.480") == 0.48);
    CHECK(parse_decimal("-1") == -1);
    for (auto text : {"", "nan", "inf", "1e9", "1x", " 1", "0x1", "--1"})
        CHECK(!parse_decimal(text));
    CHECK(parse_hex64("00000003b4d60021") == 0x3b4d60021);
    for (auto text : {"", "3b4d60021", "00000003b4d6002g", "+0000003b4d60021", "00000003b4d600211"})
        CHECK(!parse_hex64(text));
}
