/// \file
/// knotvane_drill: schedulers on the simulator's wire, standard input to standard output. Exit
/// status 0 at the end of the input, 1 if a reply can't be written, 2 on malformed input.
#include <algorithm>
#include <cstdio>
#include <cstring>
#include <string>

#include "scheduler_setup/checked_input.hpp"
#include "simulator_adapter/adapter.hpp"

namespace {

using knotvane::scheduler_setup::MalformedInput;

constexpr std::uint32_t length_bytes = sizeof(std::uint32_t);
constexpr std::uint32_t header_bytes = length_bytes + sizeof(double);

/// Appends up to `size` bytes of standard input and returns how many came; fewer at its end. The
/// buffer grows by what came, not by what a frame's length claims.
std::size_t read_onto(std::string &buffer, std::size_t size) {
    constexpr std::size_t chunk_bytes = 1 << 20;
    std::size_t total = 0;
    while (total < size) {
        std::size_t wanted = std::min(chunk_bytes, size - total);
        std::size_t old_size = buffer.size();
        buffer.resize(old_size + wanted);
        std::size_t read = std::fread(buffer.data() + old_size, 1, wanted, stdin);
        buffer.resize(old_size + read);
        total += read;
        if (read < wanted)
            break;
    }
    return total;
}

/// Reads the next frame, its length included; empty at the input's end.
std::string read_frame() {
    std::string frame;
    std::size_t read = read_onto(frame, length_bytes);
    if (read == 0)
        return frame;
    if (read < length_bytes)
        throw MalformedInput("stream ends inside a frame's length");
    std::uint32_t length = 0;
    std::memcpy(&length, frame.data(), length_bytes);
    if (length < header_bytes)
        throw MalformedInput("frame length " + std::to_string(length) + " is under its header's " +
                             std::to_string(header_bytes));
    if (read_onto(frame, length - length_bytes) < length - length_bytes)
        throw MalformedInput("stream ends inside a frame of " + std::to_string(length) + " bytes");
    return frame;
}

bool write_reply(const std::string &reply) {
    return std::fwrite(reply.data(), 1, reply.size(), stdout) == reply.size() &&
           std::fflush(stdout) == 0;
}

} // namespace

int main() {
    knotvane::simulator_adapter::SimulatorAdapter adapter;
    std::uint64_t frame_start = 0;
    try {
        for (std::string frame = read_frame(); !frame.empty(); frame = read_frame()) {
            if (!write_reply(adapter.handle_frame(frame))) {
                std::fprintf(stderr, "knotvane_drill: cannot write a reply\n");
                return 1;
            }
            frame_start += frame.size();
        }
    } catch (const std::exception &error) {
        std::fprintf(stderr, "knotvane_drill: malformed input in the frame at byte %llu: %s\n",
                     static_cast<unsigned long long>(frame_start), error.what());
        return 2;
    }
    return 0;
}
