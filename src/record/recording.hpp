// Recordings: what passed on the wires and what happened to the fleet, entry by entry in a file,
// each with its length and checksum. The one owner of that format.
#pragma once

#include <cstdint>
#include <fstream>
#include <functional>
#include <string>
#include <string_view>

#include "common/time.hpp"

namespace knotvane::record {

enum class Kind : std::uint8_t {
    figures = 1,     // text: the rules' figures, JSON
    client_wire = 2, // a: wire, b: edge
    node_wire = 3,   // a: wire, b: edge, c: node
    bytes = 4,       // a: wire, b: 1 from the edge
    closed = 5,      // a: wire, b: 1 by the edge
    told = 6,        // a: edge, b: node, c: state
    started = 7,     // a: node
    lost = 8,        // a: node
    killed = 9,      // a: edge
    note = 10,       // text
    end = 11,
};

class Writer {
public:
    // Throws std::runtime_error where the file can't be made.
    explicit Writer(const std::string &path);
    void put(Time at, Kind kind, std::uint64_t a, std::uint64_t b, std::uint64_t c,
             std::string_view text);
    void flush() { out_.flush(); }

private:
    std::ofstream out_;
};

// Reads a recording and calls for each entry. An empty answer is good; else what is wrong and at
// which byte. A recording that stops without its end is one of these.
std::string read(const std::string &path,
                 const std::function<void(Time at, Kind kind, std::uint64_t a, std::uint64_t b,
                                          std::uint64_t c, std::string_view text)> &call);

} // namespace knotvane::record
