#include <string>
#include <vector>

#include <doctest/doctest.h>

#include "http_gateway/json_stream.hpp"

using namespace knotvane::http_gateway;

namespace {

// Returns the objects found in a text that is consumed in pieces of the given size.
std::vector<std::string> split_objects(std::string_view text, std::size_t piece_size) {
    JsonStream stream(1000);
    std::vector<std::string> found;
    for (std::size_t position = 0; position < text.size(); position += piece_size) {
        auto piece = text.substr(position, piece_size);
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

TEST_SUITE("splitting a stream into JSON objects") {
    TEST_CASE("the same objects are found whatever the size of the pieces") {
        const std::string one_line = R"({"a":"x}\"{\\","b":[{"c":-12.5e3},[]]})";
        const std::string many_lines = "{\n  \"a\": {\r\n\t\"b\": [1,\n2]\n }\n}";
        const std::string empty = "{}";
        const std::string text = one_line + "\n\n" + many_lines + "\r\n" + empty + empty + "\n";
        for (std::size_t piece_size = 1; piece_size <= text.size(); ++piece_size)
            REQUIRE(split_objects(text, piece_size) ==
                    std::vector<std::string>{one_line, many_lines, empty, empty});
    }
    TEST_CASE("text that is not an object, or an object that is too long, is an error") {
        for (auto invalid_text : {"[1]", "x", "}", "\n 1"}) {
            JsonStream stream(10);
            stream.consume(invalid_text);
            CHECK(stream.has_error());
        }
        JsonStream stream(10);
        stream.consume("{\"a\":12345678}");
        CHECK(stream.has_error());
        CHECK(!stream.take_object());
    }
    TEST_CASE("a blank line counts between objects, but not within one") {
        JsonStream stream(100);
        stream.consume("\n");
        CHECK(stream.take_blank_line());
        stream.consume("{\n\n");
        CHECK(!stream.take_blank_line());
        stream.consume("}");
        CHECK(stream.take_object());
        stream.consume("\r\n");
        CHECK(!stream.take_blank_line()); // ends the object's own line
        stream.consume("\r\n");
        CHECK(stream.take_blank_line());
    }
}
