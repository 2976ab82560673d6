#include "cli/commands.hpp"

#include <cstdio>
#include <memory>
#include <thread>

#include <CLI/CLI.hpp>
#include <nlohmann/json.hpp>

#include "fleet/fleet.hpp"
#include "load/driver.hpp"

namespace knotvane::cli {
namespace {

struct Options {
    std::vector<std::string> uris;
    load::Shape shape;
    std::string size = "4KiB", region = "16MiB";
    double length = 5;
    bool json = false;
};

// "64KiB" and the like; the settings' own reader knows them.
std::uint64_t bytes_of(const std::string &what, const std::string &text) {
    settings::File f(what, "[x]\nv = " + text + "\n");
    auto n = f.one("x", true).bytes("v");
    for (auto &fault : f.faults())
        throw std::runtime_error(fault);
    return n;
}

int load_all(const Options &o) {
    fleet::Worker worker;
    std::vector<std::unique_ptr<load::Stream>> streams;
    std::uint64_t seed = o.shape.seed;
    worker.run([&] {
        for (auto &uri : o.uris) {
            auto shape = o.shape;
            auto slash = uri.rfind('/');
            if (!uri.starts_with("nbd://") || slash < 6)
                throw std::runtime_error("'" + uri + "': expected nbd://ADDRESS:PORT/VOLUME");
            shape.address = uri.substr(6, slash - 6), shape.volume = uri.substr(slash + 1);
            shape.least = shape.most = static_cast<std::uint32_t>(bytes_of("--size", o.size));
            shape.region = bytes_of("--region", o.region);
            if (shape.least < 512 || shape.least % 512 != 0 || shape.region < shape.least)
                throw std::runtime_error("--size: expected a multiple of 512, at most --region");
            shape.length = static_cast<Time>(o.length * 1e9), shape.seed = seed++;
            streams.push_back(std::make_unique<load::Stream>(worker.loop(), shape));
        }
    });
    for (bool over = false; !over;) {
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
        worker.run([&] {
            over = true;
            for (auto &s : streams)
                over = over && s->over();
        });
    }
    std::vector<Time> took;
    std::uint64_t good = 0, bad = 0, missed = 0, bytes = 0;
    std::string fault;
    worker.run([&] {
        for (auto &s : streams) {
            missed += s->missed();
            if (!s->fault().empty())
                fault = s->fault();
            for (auto &x : s->samples())
                if (x.error == 0)
                    took.push_back(x.took), ++good, bytes += x.units_bytes;
                else
                    ++bad;
        }
        streams.clear();
    });
    auto us_at = [&](double p) { return static_cast<double>(load::quantile(took, p)) / 1e3; };
    double rate = static_cast<double>(good) / o.length;
    if (o.json) {
        nlohmann::ordered_json j{
            {"good", good},
            {"failed", bad},
            {"missed", missed},
            {"per_second", rate},
            {"mib_per_second", static_cast<double>(bytes) / o.length / (1 << 20)}};
        for (auto [name, p] : {std::pair{"p50_us", 0.5},
                               {"p90_us", 0.9},
                               {"p99_us", 0.99},
                               {"p999_us", 0.999},
                               {"most_us", 1.0}})
            j[name] = us_at(p);
        std::printf("%s\n", j.dump().c_str());
    } else {
        std::printf("%llu good, %llu failed, %llu missed; %.0f a second, %.1f MiB/s\n"
                    "latency us: p50 %.0f  p90 %.0f  p99 %.0f  p99.9 %.0f  most %.0f\n",
                    static_cast<unsigned long long>(good), static_cast<unsigned long long>(bad),
                    static_cast<unsigned long long>(missed), rate,
                    static_cast<double>(bytes) / o.length / (1 << 20), us_at(0.5), us_at(0.9),
                    us_at(0.99), us_at(0.999), us_at(1));
    }
    if (!fault.empty())
        std::fprintf(stderr, "%s\n", fault.c_str());
    return good > 0 && fault.empty() ? 0 : 1;
}

} // namespace

void add_load(CLI::App &app, int &code) {
    auto o = std::make_shared<Options>();
    auto *cmd = app.add_subcommand("load", "drive volumes over NBD and tell rates and latencies");
    cmd->add_option("URI", o->uris, "nbd://ADDRESS:PORT/VOLUME, one or more")->required();
    cmd->add_option("--connections", o->shape.connections, "connections a volume")
        ->check(CLI::Range(1, 4096));
    cmd->add_option("--flying", o->shape.flying, "requests in flight a connection")
        ->check(CLI::Range(1, 4096));
    cmd->add_option("--rate", o->shape.rate,
                    "requests a second (open loop: latency counts from when each was to be sent); "
                    "0: closed loop")
        ->check(CLI::NonNegativeNumber);
    cmd->add_option("--reads", o->shape.reads, "part that reads, the rest writes")
        ->check(CLI::Range(0.0, 1.0));
    cmd->add_option("--size", o->size, "of a request, like 4KiB");
    cmd->add_option("--region", o->region, "of a volume that is worked on, like 16MiB");
    cmd->add_option("--seconds", o->length, "how long")->check(CLI::Range(0.1, 3600.0));
    cmd->add_option("--seed", o->shape.seed, "of what is asked for");
    cmd->add_flag("--json", o->json, "print JSON");
    cmd->footer("Example: knotvane load nbd://127.0.0.1:10809/members --flying 64 --reads 0.8 "
                "--seconds 10");
    cmd->callback([o, &code] { code = load_all(*o); });
}

} // namespace knotvane::cli
