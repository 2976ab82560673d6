// Recordings: files that hold the bytes sent over each connection and the events of the fleet. Each
// entry carries its length and CRC-32C. All code that reads or writes this format is here.
#pragma once

#include <cstdint>
#include <fstream>
#include <functional>
#include <string>
#include <string_view>

#include "common/time.hpp"

namespace knotvane::record {

// What an entry reports, and what its three numbers and its text mean; other numbers are ignored.
enum class Kind : std::uint8_t {
    rule_settings = 1,       // text: settings of the rule checker, JSON
    client_connected = 2,    // first: connection, second: edge
    node_connected = 3,      // first: connection, second: edge, third: node
    bytes = 4,               // first: connection, second: 1 if sent by the edge; text: the bytes
    connection_closed = 5,   // first: connection, second: 1 if closed by the edge
    node_state_learned = 6,  // first: edge, second: node, third: NodeState
    node_started = 7,        // first: node
    unflushed_data_lost = 8, // first: node
    edge_killed = 9,         // first: edge
    note = 10,               // text: for readers; the rule checker ignores it
    end = 11,                // the last entry of a complete recording
};

class Writer {
public:
    // Creates or truncates the file. Throws std::runtime_error if it can't be opened.
    explicit Writer(const std::string &path);
    // Appends an entry; see Kind for the numbers and the text.
    void put(Time at, Kind kind, std::uint64_t first, std::uint64_t second, std::uint64_t third,
             std::string_view text);
    void flush() { out_.flush(); }

private:
    std::ofstream out_;
};

// Reads a recording and calls `on_entry` for each entry in file order. Returns an empty string on
// success, otherwise an error with the path and byte offset. A recording without an end entry is an
// error.
std::string
read(const std::string &path,
     const std::function<void(Time at, Kind kind, std::uint64_t first, std::uint64_t second,
                              std::uint64_t third, std::string_view text)> &on_entry);

} // namespace knotvane::record
