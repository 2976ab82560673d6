// knotvane_drill: the decisions on the simulator's wire, standard input to standard output.
#include <algorithm>
#include <cstdio>
#include <cstring>
#include <string>

#include "simulator_adapter/adapter.hpp"

namespace {

// Reads up to n more bytes onto `to`; tells how many came. Grows by what came, not by what a length
// claims.
std::size_t read_onto(std::string &to, std::size_t n) {
    constexpr std::size_t chunk = 1 << 20;
    std::size_t got = 0;
    while (got < n) {
        std::size_t want = std::min(chunk, n - got), at = to.size();
        to.resize(at + want);
        std::size_t came = std::fread(to.data() + at, 1, want, stdin);
        to.resize(at + came);
        got += came;
        if (came < want)
            break;
    }
    return got;
}

} // namespace

int main() {
    knotvane::simulator_adapter::Host host;
    constexpr std::uint32_t header = 12;
    std::string frame;
    for (std::uint64_t at = 0;; at += frame.size()) {
        frame.clear();
        std::size_t got = read_onto(frame, 4);
        if (got == 0)
            return 0;
        std::uint32_t length = 0;
        if (got == 4)
            std::memcpy(&length, frame.data(), 4);
        try {
            if (got < 4)
                throw knotvane::scheduler_setup::Malformed("stream ends inside a frame's length");
            if (length < header)
                throw knotvane::scheduler_setup::Malformed(
                    "frame length " + std::to_string(length) + " is under its header's 12");
            if (read_onto(frame, length - 4) < length - 4)
                throw knotvane::scheduler_setup::Malformed("stream ends inside a frame of " +
                                                           std::to_string(length) + " bytes");
            std::string reply = host.reply_to(frame);
            if (std::fwrite(reply.data(), 1, reply.size(), stdout) < reply.size() ||
                std::fflush(stdout) != 0) {
                std::fprintf(stderr, "knotvane_drill: cannot write a reply\n");
                return 1;
            }
        } catch (const std::exception &e) {
            std::fprintf(stderr, "knotvane_drill: malformed input in the frame at byte %llu: %s\n",
                         static_cast<unsigned long long>(at), e.what());
            return 2;
        }
    }
}
