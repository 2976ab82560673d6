// Tests of the planner program: kills and restarts, a second instance, a standby, and settings
// files that change while it runs.
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

// A planner's temporary folder with its settings and a fleet of two shards with two nodes each. No
// node registers.
struct PlannerFolder {
    std::string path, address;
    planner::DesiredState wanted;
    std::unique_ptr<fleet::Process> process;

    PlannerFolder() {
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
    ~PlannerFolder() {
        process.reset();
        std::filesystem::remove_all(path);
    }
    void write(const std::string &text) const {
        std::ofstream(path + "/fleet.new") << text;
        std::filesystem::rename(path + "/fleet.new", path + "/fleet.ini");
    }
    std::unique_ptr<fleet::Process> start(std::vector<std::string> extra_arguments = {}) const {
        auto program =
            std::filesystem::read_symlink("/proc/self/exe").parent_path() / "knotvane-planner";
        std::vector<std::string> arguments{"--config", path + "/planner.ini", "--log", "error"};
        arguments.insert(arguments.end(), extra_arguments.begin(), extra_arguments.end());
        return std::make_unique<fleet::Process>(program.string(), arguments);
    }
    // Polls for up to 5 s (plus answer times) until the planner answers; null if it doesn't.
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
    nlohmann::json wait_for_settings(std::uint64_t version) const {
        nlohmann::json s;
        for (int i = 0; i < 300; ++i, pause(10 * ms))
            if (s = status(); s["settings"] == version)
                break;
        return s;
    }
};
int wait_for_exit(fleet::Process &p) {
    for (int i = 0; i < 500 && p.exit_code() < 0; ++i)
        pause(10 * ms);
    return p.exit_code();
}

} // namespace

TEST_SUITE("planner program") {
    TEST_CASE("a planner killed at any moment keeps confirmed changes, raises its term and never "
              "lowers its version") {
        PlannerFolder folder;
        folder.process = folder.start({"--new"});
        REQUIRE(folder.status()["term"] == 1);
        std::ranlux24_base random(5);
        std::uint64_t term = 1, version = 0;
        bool draining = false;
        for (int i = 0; i < 12; ++i) {
            Time until = loop::now() + static_cast<Time>(random() % 60) * ms;
            std::thread killer([&, until] {
                while (loop::now() < until)
                    pause(ms);
                folder.process->signal(SIGKILL);
            });
            bool unconfirmed = false;
            while (folder.process->exit_code() < 0) {
                try {
                    const planner::AdminClient client(folder.address, sec);
                    if (client.drain({NodeId{1}, !draining, control::DrainMode::apply}).done)
                        draining = !draining;
                } catch (const std::exception &) {
                    unconfirmed = true; // it may be durable although no answer arrived
                }
            }
            killer.join();
            folder.process = folder.start();
            auto s = folder.status();
            CHECK(s["term"] > term);
            CHECK(s["version"] >= version);
            term = s["term"], version = s["version"];
            bool now = s["nodes"][0]["word"] == "drain";
            if (!unconfirmed)
                CHECK(now == draining);
            draining = now;
        }
    }
    TEST_CASE("a second planner is refused the store; a standby waits for it and takes over with a "
              "higher term") {
        PlannerFolder folder;
        folder.process = folder.start({"--new"});
        REQUIRE(folder.status()["term"] == 1);
        auto second = folder.start();
        CHECK(wait_for_exit(*second) == 1);
        auto standby = folder.start({"--standby"});
        pause(300 * ms);
        CHECK(folder.status()["term"] == 1);
        // A suspended planner keeps the store's lock: a standby must not take over from a planner
        // that can resume.
        folder.process->signal(SIGSTOP);
        pause(300 * ms);
        CHECK(standby->exit_code() == -1);
        folder.process->signal(SIGCONT);
        CHECK(folder.status()["term"] == 1);
        folder.process.reset();
        CHECK(folder.status()["term"] == 2);
    }
    TEST_CASE("the planner starts without a usable store only with --new or --rebuild") {
        PlannerFolder folder;
        CHECK(wait_for_exit(*folder.start()) == 1);
        folder.process = folder.start({"--new"});
        folder.status();
        folder.process.reset();
        CHECK(wait_for_exit(*folder.start({"--new"})) == 1);
        std::filesystem::resize_file(folder.path + "/store",
                                     std::filesystem::file_size(folder.path + "/store") / 2);
        CHECK(wait_for_exit(*folder.start()) == 1);
        folder.process = folder.start({"--rebuild"});
        CHECK(folder.status()["nodes"].size() == 4);
        CHECK(std::filesystem::exists(folder.path + "/store.aside"));
    }
    TEST_CASE("a settings file is applied completely or not at all: truncated, contradictory, "
              "changed twice quickly, older") {
        PlannerFolder folder;
        folder.process = folder.start({"--new"});
        REQUIRE(folder.wait_for_settings(1)["nodes"].size() == 4);
        auto changed = folder.wanted;
        changed.version = 2,
        changed.nodes[NodeId{9}] = {ShardId{0}, ZoneId{0}, false, "127.0.0.1:1", 0};
        auto text = planner::write_fleet(changed);
        folder.write(text.substr(0, text.size() / 2));
        pause(300 * ms);
        CHECK(folder.status()["settings"] == 1);
        auto bad = changed;
        bad.version = 3, bad.plans["p"].weight = 0, bad.plans["p"].reserved_rate = 5;
        folder.write(planner::write_fleet(bad));
        pause(300 * ms);
        CHECK(folder.status()["nodes"].size() == 4);
        // Of two changes in quick succession the last one applies completely.
        folder.write(text);
        changed.version = 4,
        changed.nodes[NodeId{10}] = {ShardId{1}, ZoneId{0}, true, "127.0.0.1:1", 0};
        folder.write(planner::write_fleet(changed));
        CHECK(folder.wait_for_settings(4)["nodes"].size() == 6);
        // Refused: an older version, as a clock that was set back may produce, and a file without a
        // node that is in use.
        folder.write(text);
        pause(300 * ms);
        CHECK(folder.status()["settings"] == 4);
        changed.version = 5, changed.nodes.erase(NodeId{2});
        folder.write(planner::write_fleet(changed));
        pause(300 * ms);
        auto s = folder.status();
        CHECK(s["settings"] == 4);
        CHECK(s["nodes"].size() == 6);
        // After a restart the file is refused again and the previous settings still apply.
        folder.process.reset();
        folder.process = folder.start();
        s = folder.status();
        CHECK(s["settings"] == 4);
        CHECK(s["nodes"].size() == 6);
        CHECK(s["volumes"] == 1);
    }
}
