// What the edge costs: 4 KiB reads of one node, straight over the node's frames and through an edge
// over NBD, at one and at 64 in flight, in turn within one run. Prints medians of several rounds
// and their ratios.
#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <map>
#include <vector>

#include "fleet/fleet.hpp"
#include "load/driver.hpp"
#include "node_protocol/frame.hpp"

using namespace knotvane;

namespace {

// Reads straight from a node, a number in flight, for a while.
struct Direct final : node_protocol::FrameHandler {
    loop::Loop &loop;
    std::shared_ptr<loop::Socket> socket;
    node_protocol::FrameReader reader;
    std::map<std::uint64_t, Time> out;
    std::vector<Time> took;
    std::uint64_t tag = 0;
    std::size_t flying;
    Time ends = 0;
    ShardId shard;
    bool over = false;

    Direct(loop::Loop &l, const std::string &address, ShardId s, std::size_t n, Time length)
        : loop(l), socket(std::make_shared<loop::Socket>(l)), flying(n), shard(s) {
        socket->on_received = [this](std::string_view in) {
            reader.feed(in, *this);
            socket->flush();
        };
        socket->connect(address, [this, length](bool) {
            ends = loop::now() + length;
            socket->send(node_protocol::encode({.kind = node_protocol::FrameKind::hello,
                                                .volume = VolumeId{1},
                                                .incarnation = 1,
                                                .shard = shard}));
            socket->flush();
        });
    }
    ~Direct() { socket->close(true); }
    void ask() {
        out[++tag] = loop::now();
        socket->send(node_protocol::encode({.kind = node_protocol::FrameKind::read,
                                            .tag = tag,
                                            .volume = VolumeId{1},
                                            .offset = tag * 7 % 64 * 4096,
                                            .length = 4096,
                                            .milliunits = 1000,
                                            .shard = shard}));
    }
    bool on_frame(const node_protocol::Frame &frame) override {
        if (frame.kind == node_protocol::FrameKind::welcome) {
            for (std::size_t i = 0; i < flying; ++i)
                ask();
            return true;
        }
        took.push_back(loop::now() - out[frame.tag]);
        out.erase(frame.tag);
        if (loop::now() < ends)
            ask();
        else
            over = out.empty();
        return true;
    }
};

template <class T>
void wait_for(fleet::Worker &w, T &x, bool (*over)(T &)) {
    for (bool done = false; !done;) {
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
        w.run([&] { done = over(x); });
    }
}

double middle(std::vector<double> v) {
    std::sort(v.begin(), v.end());
    return v[v.size() / 2];
}

} // namespace

int main(int argc, char **argv) {
    // Nodes behind the edge; what goes straight goes to one of them.
    std::uint64_t nodes = argc > 1 ? std::strtoull(argv[1], nullptr, 10) : 1;
    auto pattern = (std::filesystem::temp_directory_path() / "knotvane-bench-XXXXXX").string();
    std::string dir = mkdtemp(pattern.data());
    {
        constexpr Time length = 700 * ms;
        constexpr int rounds = 5;
        fleet::Fleet fleet(
            dir, nodes, 1, 0, fleet::default_scheduling(), fleet::default_service(),
            [](SchedulerActions &a, std::uint64_t seed) { return make_scheduler(a, seed); });
        fleet.start();
        fleet::Worker worker;
        for (std::size_t flying : {std::size_t{1}, std::size_t{64}}) {
            std::vector<double> direct_us, edge_us, direct_rate, edge_rate;
            for (int round = 0; round < rounds; ++round) {
                std::unique_ptr<Direct> d;
                worker.run([&] {
                    d = std::make_unique<Direct>(worker.loop(), fleet.node_address(0), ShardId{0},
                                                 flying, length);
                });
                wait_for<Direct>(worker, *d, [](Direct &x) { return x.over; });
                worker.run([&] {
                    direct_us.push_back(static_cast<double>(load::quantile(d->took, 0.5)) / 1e3);
                    direct_rate.push_back(static_cast<double>(d->took.size()) / seconds(length));
                    d.reset();
                });
                load::Shape shape;
                shape.address = fleet.edge_address(0), shape.volume = "members";
                shape.flying = static_cast<std::uint32_t>(flying), shape.length = length,
                shape.region = nodes * (1 << 20);
                std::unique_ptr<load::Stream> s;
                worker.run([&] { s = std::make_unique<load::Stream>(worker.loop(), shape); });
                wait_for<load::Stream>(worker, *s, [](load::Stream &x) { return x.over(); });
                worker.run([&] {
                    std::vector<Time> took;
                    for (auto &x : s->samples())
                        if (x.error == 0)
                            took.push_back(x.took);
                    edge_us.push_back(static_cast<double>(load::quantile(took, 0.5)) / 1e3);
                    edge_rate.push_back(static_cast<double>(took.size()) / seconds(length));
                    s.reset();
                });
            }
            std::printf("%2zu in flight: straight %.1f us, %.0f/s; edge %.1f us, %.0f/s; added "
                        "%.1f us, rate ratio %.2f\n",
                        flying, middle(direct_us), middle(direct_rate), middle(edge_us),
                        middle(edge_rate), middle(edge_us) - middle(direct_us),
                        middle(edge_rate) / middle(direct_rate));
        }
    }
    std::filesystem::remove_all(dir);
}
