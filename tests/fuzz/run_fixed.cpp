// Runs a fuzz target over a fixed, seeded set of inputs: valid sessions with bytes changed, cut and
// repeated.
#include <cstdio>
#include <random>

#include "../nbd/helpers.hpp"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size);

int main() {
    using namespace knotvane::nbd;
    std::string seed = client_flags() + option(opt_structured_reply) +
                       context("first", "base:allocation", opt_set_meta_context) + go("first") +
                       request(cmd_read, 1, 0, 512) +
                       request(cmd_write, 2, 0, 512, std::string(512, 'x')) +
                       request(cmd_block_status, 3, 0, 4096) + request(cmd_flush, 4, 0, 0);
    std::ranlux24_base chance(1);
    int runs = 20000;
    for (int i = 0; i < runs; ++i) {
        std::string s(1, static_cast<char>(chance()));
        s += seed;
        for (auto n = chance() % 6; n > 0; --n)
            s[chance() % s.size()] = static_cast<char>(chance());
        if (chance() % 4 == 0)
            s.resize(1 + chance() % s.size());
        if (chance() % 4 == 0)
            s += s.substr(chance() % s.size());
        LLVMFuzzerTestOneInput(reinterpret_cast<const std::uint8_t *>(s.data()), s.size());
    }
    std::printf("%d passed, 0 failed\n", runs);
}
