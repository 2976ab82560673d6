#include <string>
#include <vector>

#include <doctest/doctest.h>

#include "http_gateway/json_stream.hpp"

using namespace knotvane::http_gateway;

namespace {

// The objects of a text that comes in pieces.
std::vector<std::string> objects(std::string_view text, std::size_t piece_size) {
    JsonStream stream(1000);
    std::vector<std::string> found;
    for (std::size_t at = 0; at < text.size(); at += piece_size) {
        auto piece = text.substr(at, piece_size);
        while (!piece.empty()) {
            piece.remove_prefix(stream.consume(piece));
            if (auto object = stream.take_object())
                found.push_back(*object);
            if (stream.has_error())
                return found;
        }
    }
    return found;
}

} // namespace

TEST_SUITE("JSON objects from a stream") {
    TEST_CASE("any split, on one line or many, with braces and quotes in texts: the same objects") {
        const std::string one_line = R"({"a":"x}\"{\\","b":[{"c":-12.5e3},[]]})";
        const std::string many_lines = "{\n  \"a\": {\r\n\t\"b\": [1,\n2]\n }\n}";
        const std::string empty = "{}";
        const std::string in = one_line + "\n\n" + many_lines + "\r\n" + empty + empty + "\n";
        for (std::size_t piece = 1; piece <= in.size(); ++piece)
            REQUIRE(objects(in, piece) ==
                    std::vector<std::string>{one_line, many_lines, empty, empty});
    }
    TEST_CASE("what is no object, or too long, is told; nothing after it is read") {
        for (auto bad : {"[1]", "x", "}", "\n 1"}) {
            JsonStream stream(10);
            stream.consume(bad);
            CHECK(stream.has_error());
        }
        JsonStream stream(10);
        stream.consume("{\"a\":12345678}");
        CHECK(stream.has_error());
        CHECK(!stream.take_object());
    }
    TEST_CASE("a blank line is one between objects, not within") {
        JsonStream stream(100);
        stream.consume("\n");
        CHECK(stream.take_blank_line());
        stream.consume("{\n\n");
        CHECK(!stream.take_blank_line());
        stream.consume("}");
        CHECK(stream.take_object());
        stream.consume("\r\n");
        CHECK(!stream.take_blank_line()); // the object's own line
        stream.consume("\r\n");
        CHECK(stream.take_blank_line());
    }
}
