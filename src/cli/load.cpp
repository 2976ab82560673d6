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

// Parses a size like "64KiB" with the reader of settings files. `option` stands for the file in the
// error message.
std::uint64_t parse_size(const std::string &option, const std::string &text) {
    settings::File file(option, "[x]\nv = " + text + "\n");
    auto size = file.one("x", true).bytes("v");
    for (auto &fault : file.faults())
        throw std::runtime_error(fault);
    return size;
}

int generate_load(const Options &options) {
    fleet::Worker worker;
    std::vector<std::unique_ptr<load::Stream>> streams;
    std::uint64_t seed = options.shape.seed;
    worker.run([&] {
        for (auto &uri : options.uris) {
            auto shape = options.shape;
            auto slash = uri.rfind('/');
            if (!uri.starts_with("nbd://") || slash < 6)
                throw std::runtime_error("'" + uri + "': expected nbd://ADDRESS:PORT/VOLUME");
            shape.address = uri.substr(6, slash - 6), shape.volume = uri.substr(slash + 1);
            shape.least = shape.most =
                static_cast<std::uint32_t>(parse_size("--size", options.size));
            shape.region = parse_size("--region", options.region);
            if (shape.least < 512 || shape.least % 512 != 0 || shape.region < shape.least)
                throw std::runtime_error("--size: expected a multiple of 512, at most --region");
            shape.length = static_cast<Time>(options.length * 1e9), shape.seed = seed++;
            streams.push_back(std::make_unique<load::Stream>(worker.loop(), shape));
        }
    });
    for (bool is_finished = false; !is_finished;) {
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
        worker.run([&] {
            is_finished = true;
            for (auto &stream : streams)
                is_finished = is_finished && stream->over();
        });
    }
    std::vector<Time> latencies;
    std::uint64_t good = 0, failed = 0, missed = 0, bytes = 0;
    std::string fault;
    worker.run([&] {
        for (auto &stream : streams) {
            missed += stream->missed();
            if (!stream->fault().empty())
                fault = stream->fault();
            for (auto &sample : stream->samples())
                if (sample.error == 0)
                    latencies.push_back(sample.took), ++good, bytes += sample.units_bytes;
                else
                    ++failed;
        }
        streams.clear();
    });
    auto quantile_us = [&](double probability) {
        return static_cast<double>(load::quantile(latencies, probability)) / 1e3;
    };
    double rate = static_cast<double>(good) / options.length;
    if (options.json) {
        nlohmann::ordered_json figures{
            {"good", good},
            {"failed", failed},
            {"missed", missed},
            {"per_second", rate},
            {"mib_per_second", static_cast<double>(bytes) / options.length / (1 << 20)}};
        for (auto [name, probability] : {std::pair{"p50_us", 0.5},
                                         {"p90_us", 0.9},
                                         {"p99_us", 0.99},
                                         {"p999_us", 0.999},
                                         {"most_us", 1.0}})
            figures[name] = quantile_us(probability);
        std::printf("%s\n", figures.dump().c_str());
    } else {
        std::printf("%llu succeeded, %llu failed, %llu missed; %.0f requests/s, %.1f MiB/s\n"
                    "latency in us: p50 %.0f  p90 %.0f  p99 %.0f  p99.9 %.0f  max %.0f\n",
                    static_cast<unsigned long long>(good), static_cast<unsigned long long>(failed),
                    static_cast<unsigned long long>(missed), rate,
                    static_cast<double>(bytes) / options.length / (1 << 20), quantile_us(0.5),
                    quantile_us(0.9), quantile_us(0.99), quantile_us(0.999), quantile_us(1));
    }
    if (!fault.empty())
        std::fprintf(stderr, "%s\n", fault.c_str());
    return good > 0 && fault.empty() ? 0 : 1;
}

} // namespace

void add_load(CLI::App &app, int &exit_code) {
    auto options = std::make_shared<Options>();
    auto *command = app.add_subcommand(
        "load", "generate load on volumes over NBD and print rates and latencies");
    command->add_option("URI", options->uris, "nbd://ADDRESS:PORT/VOLUME, one or more")->required();
    command->add_option("--connections", options->shape.connections, "connections per volume")
        ->check(CLI::Range(1, 4096));
    command->add_option("--flying", options->shape.flying, "requests in flight per connection")
        ->check(CLI::Range(1, 4096));
    command
        ->add_option("--rate", options->shape.rate,
                     "requests per second (open loop: a latency counts from the time at which the "
                     "request was due); 0: closed loop")
        ->check(CLI::NonNegativeNumber);
    command
        ->add_option("--reads", options->shape.reads,
                     "fraction of the requests that are reads; the others are writes")
        ->check(CLI::Range(0.0, 1.0));
    command->add_option("--size", options->size, "size of a request, like 4KiB");
    command->add_option("--region", options->region,
                        "size of the part of each volume that is accessed, like 16MiB");
    command->add_option("--seconds", options->length, "duration")->check(CLI::Range(0.1, 3600.0));
    command->add_option("--seed", options->shape.seed, "seed of the random requests");
    command->add_flag("--json", options->json, "print JSON");
    command->footer("Example: knotvane load nbd://127.0.0.1:10809/members --flying 64 --reads 0.8 "
                    "--seconds 10");
    command->callback([options, &exit_code] { exit_code = generate_load(*options); });
}

} // namespace knotvane::cli
