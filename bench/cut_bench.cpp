// What a snapshot costs those who write: the whole program on loopback (planner, four nodes, two
// edges), a volume of 10 GiB, sparse and with data, under load while snapshots are taken.
#include <algorithm>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "fleet/fleet.hpp"
#include "load/driver.hpp"
#include "planner/admin_client.hpp"

using namespace knotvane;

namespace {

std::vector<load::Sample> run(fleet::Worker &worker, std::vector<load::Shape> shapes,
                              const std::function<void(Time began)> &meanwhile) {
    std::vector<std::unique_ptr<load::Stream>> streams;
    worker.run([&] {
        for (auto &s : shapes)
            streams.push_back(std::make_unique<load::Stream>(worker.loop(), s));
    });
    meanwhile(loop::now());
    std::vector<load::Sample> out;
    for (bool over = false; !over;) {
        std::this_thread::sleep_for(std::chrono::milliseconds(10));
        worker.run([&] {
            over = std::all_of(streams.begin(), streams.end(), [](auto &s) { return s->over(); });
            if (!over)
                return;
            for (auto &s : streams)
                out.insert(out.end(), s->samples().begin(), s->samples().end());
            streams.clear();
        });
    }
    return out;
}
double us_of(Time t) {
    return static_cast<double>(t) / 1e3;
}
double middle(std::vector<double> v) {
    std::sort(v.begin(), v.end());
    return v.empty() ? 0 : v[v.size() / 2];
}

} // namespace

int main(int argc, char **argv) {
    bool sync = argc > 1 && std::string(argv[1]) == "sync";
    auto pattern = (std::filesystem::temp_directory_path() / "knotvane-bench-XXXXXX").string();
    std::string dir = mkdtemp(pattern.data());
    {
        auto scheduling = fleet::default_scheduling();
        scheduling.replace(scheduling.find("size = 256MiB"), 13, "size = 10GiB");
        fleet::Fleet fleet(
            dir, 4, 2, 0, scheduling, fleet::default_service(),
            [](SchedulerActions &a, std::uint64_t seed) { return make_scheduler(a, seed); }, true,
            sync);
        fleet.start();
        fleet::Worker worker;
        int taken = 0;
        auto take = [&] {
            auto began = loop::now();
            const planner::AdminClient client(fleet.planner_address(), 30 * sec);
            auto result = client.snapshot(
                {control::SnapshotOperation::take, "members", std::to_string(++taken), ""});
            if (!result.done)
                std::printf("not taken: %s\n", result.text.c_str());
            return loop::now() - began;
        };
        auto shape = [&](std::size_t edge, double rate, std::uint32_t size, std::uint64_t region,
                         Time length) {
            load::Shape s;
            s.address = fleet.edge_address(edge), s.volume = "members", s.flying = 16,
            s.rate = rate, s.reads = 0;
            s.least = s.most = size, s.region = region, s.length = length, s.seed = edge + 1;
            return s;
        };
        auto blocks = [&] {
            std::uint64_t n = 0;
            for (std::size_t i = 0; i < fleet.nodes(); ++i)
                fleet.with_node(i, [&](node::Server &s) { n += s.store().blocks_used(); });
            return n;
        };
        for (bool full : {false, true}) {
            std::uint64_t region = full ? 1 << 30 : 64 << 20;
            if (full)
                run(worker, {shape(0, 0, 1 << 20, region, 12 * sec)}, [](Time) {});
            auto data = static_cast<double>(blocks()) * 4096 / (1 << 20);
            std::vector<double> p99, most, took;
            for (int round = 0; round < 3; ++round) {
                std::vector<std::pair<Time, Time>> takes;
                Time began = 0;
                auto samples = run(
                    worker,
                    {shape(0, 2000, 4096, region, 4 * sec), shape(1, 2000, 4096, region, 4 * sec)},
                    [&](Time b) {
                        began = b;
                        std::this_thread::sleep_for(std::chrono::seconds(2));
                        for (int i = 0; i < 8; ++i) {
                            auto from = loop::now();
                            took.push_back(static_cast<double>(take()) / 1e6);
                            takes.emplace_back(from, loop::now());
                            std::this_thread::sleep_for(std::chrono::milliseconds(200));
                        }
                    });
                // In the first half there were none; in the second, requests at work while one was
                // taken.
                std::vector<Time> without, with;
                for (auto &s : samples) {
                    if (s.error != 0)
                        continue;
                    Time at = began + s.at;
                    if (s.at < 1900 * ms) {
                        if (s.at > 200 * ms)
                            without.push_back(s.took);
                        continue;
                    }
                    for (auto &[from, to] : takes)
                        if (at < to + 2 * ms && at + s.took > from - 2 * ms)
                            with.push_back(s.took);
                }
                p99.push_back(us_of(load::quantile(with, 0.99)) /
                              us_of(load::quantile(without, 0.99)));
                most.push_back(us_of(load::quantile(with, 1)));
                std::printf("  without: p50 %.0f p99 %.0f most %.0f us; while taken (%zu "
                            "requests): p50 %.0f "
                            "p99 %.0f most "
                            "%.0f us\n",
                            us_of(load::quantile(without, 0.5)),
                            us_of(load::quantile(without, 0.99)), us_of(load::quantile(without, 1)),
                            with.size(), us_of(load::quantile(with, 0.5)),
                            us_of(load::quantile(with, 0.99)), us_of(load::quantile(with, 1)));
            }
            auto from = loop::now();
            const bool cloned =
                planner::AdminClient(fleet.planner_address(), 30 * sec)
                    .snapshot({control::SnapshotOperation::clone,
                               "members@" + std::to_string(taken), full ? "c2" : "c1", ""})
                    .done;
            std::printf("cloned: %s, %.1f ms\n", cloned ? "yes" : "no",
                        static_cast<double>(loop::now() - from) / 1e6);
            std::printf(
                "10 GiB with %.0f MiB%s: taken in %.1f ms (middle; most %.1f), writers' p99 while "
                "taken to without "
                "%.2f, longest %.1f ms\n",
                data, sync ? ", synced" : "", middle(took),
                *std::max_element(took.begin(), took.end()), middle(p99),
                *std::max_element(most.begin(), most.end()) / 1e3);
        }
        // Rates after more and more snapshots, against a volume that has none, in turn; the other
        // plan's weight does not matter where only one of them is at work.
        constexpr std::uint64_t region = 64 << 20;
        auto rate = [&](const char *volume, double reads) {
            auto s = shape(0, 0, 4096, region, 1200 * ms);
            s.volume = volume, s.reads = reads;
            std::size_t good = 0;
            for (auto &x : run(worker, {s}, [](Time) {}))
                good += x.error == 0;
            return static_cast<double>(good) / 1.2;
        };
        for (auto volume : {"members", "reports"})
            rate(volume, 0), rate(volume, 0);
        int more = 0;
        for (int target : {0, 1, 10, 100}) {
            // Each of them holds some blocks of its own.
            for (; more < target; ++more)
                take(), run(worker, {shape(0, 0, 4096, region, 20 * ms)}, [](Time) {});
            auto before = blocks();
            std::vector<double> first, writes, reads;
            for (int round = 0; round < 3; ++round) {
                if (target > 0)
                    take();
                double plain = rate("reports", 0);
                first.push_back(rate("members", 0) / plain);
                writes.push_back(rate("members", 0) / rate("reports", 0));
                reads.push_back(rate("members", 1) / rate("reports", 1));
            }
            std::printf(
                "after %3d more snapshots, of a plain volume's rate: writes %.2f at first, %.2f "
                "after; reads %.2f; "
                "%lld blocks more\n",
                target, middle(first), middle(writes), middle(reads),
                static_cast<long long>(blocks()) - static_cast<long long>(before));
        }
    }
    std::filesystem::remove_all(dir);
}
