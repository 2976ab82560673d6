// Runs a fuzz target over a fixed, seeded set of inputs: a valid session with some bytes changed,
// truncated or repeated.
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
    std::ranlux24_base random(1);
    int runs = 20000;
    for (int i = 0; i < runs; ++i) {
        std::string input(1, static_cast<char>(random()));
        input += seed;
        for (auto changes = random() % 6; changes > 0; --changes)
            input[random() % input.size()] = static_cast<char>(random());
        if (random() % 4 == 0)
            input.resize(1 + random() % input.size());
        if (random() % 4 == 0)
            input += input.substr(random() % input.size());
        LLVMFuzzerTestOneInput(reinterpret_cast<const std::uint8_t *>(input.data()), input.size());
    }
    std::printf("%d passed, 0 failed\n", runs);
}
