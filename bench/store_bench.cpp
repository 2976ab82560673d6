// Measures the cost of snapshots in the store: creating one of a large volume, the rates of writes
// and reads with many snapshots, space and memory. Uses a file in the folder given as the first
// argument, or else in the folder for temporary files. Ratios compare volumes within the same run.
#include <algorithm>
#include <chrono>
#include <cstdio>
#include <filesystem>
#include <random>

#include "store/store.hpp"

using namespace knotvane;
using Clock = std::chrono::steady_clock;

namespace {

double measure_ms(auto call) {
    auto start = Clock::now();
    call();
    return std::chrono::duration<double, std::milli>(Clock::now() - start).count();
}

} // namespace

int main(int argc, char **argv) {
    std::string path =
        (argc > 1 ? std::string(argv[1]) : std::filesystem::temp_directory_path().string()) +
        "/knotvane-store-bench";
    std::filesystem::remove(path);
    constexpr std::uint64_t volume_size = 10ull << 30, data_size = 1ull << 30,
                            block_size = store::block_size;
    std::ranlux24_base random(1);
    auto random_below = [&](std::uint64_t limit) {
        return (std::uint64_t{random()} << 24 | random()) % limit;
    };
    {
        auto medium = store::file_medium(path, true);
        store::Store store(*medium);
        VolumeId sparse{1}, full{2};
        for (int i = 0; i < 1000; ++i)
            store.write(sparse, random_below(volume_size / block_size) * block_size,
                        std::string(block_size, 's'));
        std::string megabyte(1 << 20, 'd');
        for (std::uint64_t at = 0; at < data_size; at += megabyte.size())
            store.write(full, at * 10, megabyte);
        store.flush();
        std::uint64_t next_id = 100;
        for (auto volume : {sparse, full}) {
            std::vector<double> times_ms;
            for (int i = 0; i < 5; ++i)
                times_ms.push_back(measure_ms([&] {
                    i % 2 == 0 ? store.take_snapshot(volume, VolumeId{next_id++})
                               : store.clone(volume, VolumeId{next_id++});
                }));
            std::printf("snapshot or clone of 10 GiB, %s: worst of five %.2f ms\n",
                        volume == sparse ? "sparse" : "1 GiB of data",
                        *std::max_element(times_ms.begin(), times_ms.end()));
        }
        // Writes and reads of 4 KiB of random blocks, out of 16384 (64 MiB) of the full
        // volume. The rates include the copying that the first snapshots cause.
        std::string block(block_size, 'w'), read_bytes;
        auto measure_writes = [&](VolumeId volume) {
            return measure_ms([&] {
                for (int i = 0; i < 16384; ++i)
                    store.write(volume, random_below(16384) * block_size * 10, block);
            });
        };
        auto measure_reads = [&](VolumeId volume) {
            return measure_ms([&] {
                for (int i = 0; i < 16384; ++i)
                    read_bytes.clear(), store.read(volume, random_below(16384) * block_size * 10,
                                                   block_size, read_bytes);
            });
        };
        VolumeId plain{3};
        for (std::uint64_t at = 0; at < 16384; ++at)
            store.write(plain, at * block_size * 10, block);
        store.flush();
        int taken = 0;
        for (int snapshot_count : {1, 10, 100}) {
            double write_ms = 0, plain_write_ms = 0;
            for (; taken < snapshot_count; ++taken)
                store.take_snapshot(full, VolumeId{next_id++}),
                    store.write(full, random_below(16384) * block_size * 10, block);
            auto before = store.blocks_used();
            for (int round = 0; round < 3; ++round)
                plain_write_ms += measure_writes(plain), write_ms += measure_writes(full);
            auto copied = store.blocks_used() - before;
            double read_ms = 0, plain_read_ms = 0;
            for (int round = 0; round < 3; ++round)
                plain_read_ms += measure_reads(plain), read_ms += measure_reads(full);
            std::printf("%3d snapshots: writes at %.2f of a plain volume's rate, reads at %.2f; "
                        "%llu blocks for copies, "
                        "memory %.1f MiB for %llu blocks\n",
                        snapshot_count, plain_write_ms / write_ms, plain_read_ms / read_ms,
                        static_cast<unsigned long long>(copied),
                        static_cast<double>(store.memory_bytes()) / (1 << 20),
                        static_cast<unsigned long long>(store.blocks_used()));
        }
    }
    auto medium = store::file_medium(path, true);
    std::printf("opened again in %.0f ms\n", measure_ms([&] { store::Store store(*medium); }));
    std::filesystem::remove(path);
}
