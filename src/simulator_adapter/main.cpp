/// \file
/// knotvane_drill: runs schedulers for the simulator. Reads frames of the simulator's wire protocol
/// from standard input and writes the replies to standard output. Exit status: 0 at the end of the
/// input, 1 if a reply can't be written, 2 on malformed input.
#include <algorithm>
#include <cstdio>
#include <cstring>
#include <string>

#include "scheduler_setup/input_validation.hpp"
#include "simulator_adapter/adapter.hpp"

namespace {

using knotvane::scheduler_setup::MalformedInput;

constexpr std::uint32_t length_bytes = sizeof(std::uint32_t);
constexpr std::uint32_t header_bytes = length_bytes + sizeof(double);

/// Appends up to `size` bytes of standard input to the buffer. The buffer grows in chunks as bytes
/// arrive, so that a frame with a false length doesn't make it allocate gigabytes.
/// @return the number of bytes appended; less than `size` only at the end of the input.
std::size_t append_input(std::string &buffer, std::size_t size) {
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

/// @return the next frame, including its length field; empty at the end of the input.
/// @throws MalformedInput if the frame is incomplete or shorter than its header.
std::string read_frame() {
    std::string frame;
    std::size_t read = append_input(frame, length_bytes);
    if (read == 0)
        return frame;
    if (read < length_bytes)
        throw MalformedInput("input ends inside a frame's length field");
    std::uint32_t length = 0;
    std::memcpy(&length, frame.data(), length_bytes);
    if (length < header_bytes)
        throw MalformedInput("frame length " + std::to_string(length) +
                             " is less than the header's " + std::to_string(header_bytes) +
                             " bytes");
    if (append_input(frame, length - length_bytes) < length - length_bytes)
        throw MalformedInput("input ends inside a frame of " + std::to_string(length) + " bytes");
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
                std::fprintf(stderr, "knotvane_drill: cannot write a reply to standard output\n");
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
