// The planner's program: killed and started again, a standby, a second one, settings files that
// change under it.
#include <doctest/doctest.h>

#include <chrono>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <random>
#include <thread>

#include <nlohmann/json.hpp>

#include "fleet/fleet.hpp"
#include "planner/admin_client.hpp"

using namespace knotvane;

namespace {

void pause(Time t) {
    std::this_thread::sleep_for(std::chrono::nanoseconds(t));
}

// A planner's folder: its settings, a fleet of two shards with two nodes each, of which none
// registers.
struct Folder {
    std::string path, address;
    planner::DesiredState wanted;
    std::unique_ptr<fleet::Process> process;

    Folder() {
        auto pattern = (std::filesystem::temp_directory_path() / "knotvane-plan-XXXXXX").string();
        path = mkdtemp(pattern.data());
        fleet::Worker worker;
        worker.run(
            [&] { address = loop::Listener(worker.loop(), "127.0.0.1:0", [](auto) {}).address(); });
        std::ofstream(path + "/planner.ini")
            << "[planner]\nlisten = " << address << "\nstore = " << path
            << "/store\nfleet = " << path << "/fleet.ini\n";
        wanted.version = 1;
        wanted.plans["p"] = {"p", 1, 100, 0, 1, 0, 0};
        wanted.volumes[VolumeId{1}] = {{"v", 1 << 20, 512, {}}, "p", 0};
        for (std::uint64_t n = 1; n <= 4; ++n)
            wanted.nodes[NodeId{n}] = {ShardId{static_cast<std::int32_t>(n % 2)}, ZoneId{0}, false,
                                       "127.0.0.1:1", 0};
        write(planner::write_fleet(wanted));
    }
    ~Folder() {
        process.reset();
        std::filesystem::remove_all(path);
    }
    void write(const std::string &text) const {
        std::ofstream(path + "/fleet.new") << text;
        std::filesystem::rename(path + "/fleet.new", path + "/fleet.ini");
    }
    std::unique_ptr<fleet::Process> start(std::vector<std::string> more = {}) const {
        auto beside =
            std::filesystem::read_symlink("/proc/self/exe").parent_path() / "knotvane-planner";
        std::vector<std::string> arguments{"--config", path + "/planner.ini", "--log", "error"};
        arguments.insert(arguments.end(), more.begin(), more.end());
        return std::make_unique<fleet::Process>(beside.string(), arguments);
    }
    // Its status once it answers.
    nlohmann::json status() const {
        for (int i = 0; i < 500; ++i) {
            try {
                return nlohmann::json::parse(planner::AdminClient(address, sec).status());
            } catch (const std::exception &) {
                pause(10 * ms);
            }
        }
        return {};
    }
    nlohmann::json settings_at(std::uint64_t version) const {
        nlohmann::json s;
        for (int i = 0; i < 300; ++i, pause(10 * ms))
            if (s = status(); s["settings"] == version)
                break;
        return s;
    }
};
int ended(fleet::Process &p) {
    for (int i = 0; i < 500 && p.exit_code() < 0; ++i)
        pause(10 * ms);
    return p.exit_code();
}

} // namespace

TEST_SUITE("the planner's program") {
    TEST_CASE("killed at any moment: what was said to be done is, the term is higher, no version "
              "is given twice") {
        Folder f;
        f.process = f.start({"--new"});
        REQUIRE(f.status()["term"] == 1);
        std::ranlux24_base chance(5);
        std::uint64_t term = 1, version = 0;
        bool drains = false;
        for (int i = 0; i < 12; ++i) {
            Time until = loop::now() + static_cast<Time>(chance() % 60) * ms;
            std::thread killer([&, until] {
                while (loop::now() < until)
                    pause(ms);
                f.process->signal(SIGKILL);
            });
            bool unsure = false;
            while (f.process->exit_code() < 0) {
                try {
                    const planner::AdminClient client(f.address, sec);
                    if (client.drain({NodeId{1}, !drains, control::DrainMode::apply}).done)
                        drains = !drains;
                } catch (const std::exception &) {
                    unsure = true; // it may have been made durable and not said
                }
            }
            killer.join();
            f.process = f.start();
            auto s = f.status();
            CHECK(s["term"] > term);
            CHECK(s["version"] >= version);
            term = s["term"], version = s["version"];
            bool now = s["nodes"][0]["word"] == "drain";
            if (!unsure)
                CHECK(now == drains);
            drains = now;
        }
    }
    TEST_CASE("a second one is refused the store; a standby waits for it and takes over with a "
              "higher term") {
        Folder f;
        f.process = f.start({"--new"});
        REQUIRE(f.status()["term"] == 1);
        auto second = f.start();
        CHECK(ended(*second) == 1);
        auto standby = f.start({"--standby"});
        pause(300 * ms);
        CHECK(f.status()["term"] == 1);
        // A planner that stands still keeps the store: nobody may take over from one that can wake.
        f.process->signal(SIGSTOP);
        pause(300 * ms);
        CHECK(standby->exit_code() == -1);
        f.process->signal(SIGCONT);
        CHECK(f.status()["term"] == 1);
        f.process.reset();
        CHECK(f.status()["term"] == 2);
    }
    TEST_CASE(
        "without a store it starts only where it is told that there was none, or that it is lost") {
        Folder f;
        CHECK(ended(*f.start()) == 1);
        f.process = f.start({"--new"});
        f.status();
        f.process.reset();
        CHECK(ended(*f.start({"--new"})) == 1);
        std::filesystem::resize_file(f.path + "/store",
                                     std::filesystem::file_size(f.path + "/store") / 2);
        CHECK(ended(*f.start()) == 1);
        f.process = f.start({"--rebuild"});
        CHECK(f.status()["nodes"].size() == 4);
        CHECK(std::filesystem::exists(f.path + "/store.aside"));
    }
    TEST_CASE("a settings file is taken whole or not at all: half written, contradictory, two "
              "quick changes, older") {
        Folder f;
        f.process = f.start({"--new"});
        REQUIRE(f.settings_at(1)["nodes"].size() == 4);
        auto next = f.wanted;
        next.version = 2, next.nodes[NodeId{9}] = {ShardId{0}, ZoneId{0}, false, "127.0.0.1:1", 0};
        auto text = planner::write_fleet(next);
        f.write(text.substr(0, text.size() / 2));
        pause(300 * ms);
        CHECK(f.status()["settings"] == 1);
        auto bad = next;
        bad.version = 3, bad.plans["p"].weight = 0, bad.plans["p"].reserved_rate = 5;
        f.write(planner::write_fleet(bad));
        pause(300 * ms);
        CHECK(f.status()["nodes"].size() == 4);
        // Two in quick succession: the last one stands, whole.
        f.write(text);
        next.version = 4, next.nodes[NodeId{10}] = {ShardId{1}, ZoneId{0}, true, "127.0.0.1:1", 0};
        f.write(planner::write_fleet(next));
        CHECK(f.settings_at(4)["nodes"].size() == 6);
        // A file from before, as a clock that went back may bring it; and a node in use that is
        // left out.
        f.write(text);
        pause(300 * ms);
        CHECK(f.status()["settings"] == 4);
        next.version = 5, next.nodes.erase(NodeId{2});
        f.write(planner::write_fleet(next));
        pause(300 * ms);
        auto s = f.status();
        CHECK(s["settings"] == 4);
        CHECK(s["nodes"].size() == 6);
        // After a restart the file is refused again, and what stood before still stands.
        f.process.reset();
        f.process = f.start();
        s = f.status();
        CHECK(s["settings"] == 4);
        CHECK(s["nodes"].size() == 6);
        CHECK(s["volumes"] == 1);
    }
}
