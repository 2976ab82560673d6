// What snapshots cost the store: taking one of a large volume, writing and reading with many, space
// and memory. On a file in the folder that is given; ratios are of this run.
#include <algorithm>
#include <chrono>
#include <cstdio>
#include <filesystem>
#include <random>

#include "store/store.hpp"

using namespace knotvane;
using Clock = std::chrono::steady_clock;

namespace {

double ms_of(auto call) {
    auto t = Clock::now();
    call();
    return std::chrono::duration<double, std::milli>(Clock::now() - t).count();
}

} // namespace

int main(int argc, char **argv) {
    std::string path =
        (argc > 1 ? std::string(argv[1]) : std::filesystem::temp_directory_path().string()) +
        "/knotvane-store-bench";
    std::filesystem::remove(path);
    constexpr std::uint64_t size = 10ull << 30, data = 1ull << 30, b = store::block_size;
    std::ranlux24_base chance(1);
    auto far = [&](std::uint64_t most) {
        return (std::uint64_t{chance()} << 24 | chance()) % most;
    };
    {
        auto medium = store::file_medium(path, true);
        store::Store s(*medium);
        VolumeId sparse{1}, full{2};
        for (int i = 0; i < 1000; ++i)
            s.write(sparse, far(size / b) * b, std::string(b, 's'));
        std::string megabyte(1 << 20, 'd');
        for (std::uint64_t at = 0; at < data; at += megabyte.size())
            s.write(full, at * 10, megabyte);
        s.flush();
        std::uint64_t next = 100;
        for (auto v : {sparse, full}) {
            std::vector<double> took;
            for (int i = 0; i < 5; ++i)
                took.push_back(ms_of([&] {
                    i % 2 == 0 ? s.take_snapshot(v, VolumeId{next++})
                               : s.clone(v, VolumeId{next++});
                }));
            std::printf("snapshot or clone of 10 GiB, %s: worst of five %.2f ms\n",
                        v == sparse ? "sparse" : "1 GiB of data",
                        *std::max_element(took.begin(), took.end()));
        }
        // Writes and reads of 4 KiB over 64 MiB of the full one; the first snapshot's copies are in
        // it.
        std::string block(b, 'w'), got;
        auto writes = [&](VolumeId v) {
            return ms_of([&] {
                for (int i = 0; i < 16384; ++i)
                    s.write(v, far(16384) * b * 10, block);
            });
        };
        auto reads = [&](VolumeId v) {
            return ms_of([&] {
                for (int i = 0; i < 16384; ++i)
                    got.clear(), s.read(v, far(16384) * b * 10, b, got);
            });
        };
        VolumeId plain{3};
        for (std::uint64_t at = 0; at < 16384; ++at)
            s.write(plain, at * b * 10, block);
        s.flush();
        int taken = 0;
        for (int chain : {1, 10, 100}) {
            double wrote = 0, plain_wrote = 0;
            for (; taken < chain; ++taken)
                s.take_snapshot(full, VolumeId{next++}), s.write(full, far(16384) * b * 10, block);
            auto before = s.blocks_used();
            for (int round = 0; round < 3; ++round)
                plain_wrote += writes(plain), wrote += writes(full);
            auto copied = s.blocks_used() - before;
            double read = 0, plain_read = 0;
            for (int round = 0; round < 3; ++round)
                plain_read += reads(plain), read += reads(full);
            std::printf("%3d snapshots: writes at %.2f of a plain volume's rate, reads at %.2f; "
                        "%llu blocks for copies, "
                        "memory %.1f MiB for %llu blocks\n",
                        chain, plain_wrote / wrote, plain_read / read,
                        static_cast<unsigned long long>(copied),
                        static_cast<double>(s.memory_bytes()) / (1 << 20),
                        static_cast<unsigned long long>(s.blocks_used()));
        }
    }
    auto medium = store::file_medium(path, true);
    std::printf("opened again in %.0f ms\n", ms_of([&] { store::Store s(*medium); }));
    std::filesystem::remove(path);
}
