// End-to-end tests of snapshots and clones with libnbd, a planner process, nodes and edges.
#include <doctest/doctest.h>

#include <atomic>
#include <cerrno>
#include <cstring>
#include <thread>
#include <vector>

#include <nlohmann/json.hpp>

#include "helpers.hpp"
#include "planner/admin_client.hpp"

using namespace knotvane;

namespace {

using Operation = control::SnapshotOperation;

struct PlannedGateway {
    std::string dir;
    std::unique_ptr<fleet::Fleet> fleet;
    explicit PlannedGateway(std::uint64_t edges = 2) {
        auto pattern = (std::filesystem::temp_directory_path() / "knotvane-snap-XXXXXX").string();
        dir = mkdtemp(pattern.data());
        fleet = std::make_unique<fleet::Fleet>(
            dir, 3, edges, 0, fleet::default_scheduling(), fleet::default_service(),
            [](SchedulerActions &a, std::uint64_t s) { return make_scheduler(a, s); }, true);
        fleet->start();
    }
    ~PlannedGateway() {
        fleet.reset();
        std::filesystem::remove_all(dir);
    }
    std::string uri(const std::string &volume, std::size_t edge = 0) const {
        return "nbd://" + fleet->edge_address(edge) + "/" + volume;
    }
    bool request_snapshot(Operation operation, const std::string &a, const std::string &b = "",
                          std::string *text = nullptr) const {
        const planner::AdminClient client(fleet->planner_address(), 30 * sec);
        auto result = client.snapshot({operation, a, b, ""});
        if (text)
            *text = result.text;
        return result.done;
    }
    // Polls for about 2.5 s until every edge knows the name, or no longer knows it; fails
    // otherwise.
    void wait_until_known(const std::string &name, bool exists = true) const {
        for (int i = 0; i < 500; ++i, std::this_thread::sleep_for(std::chrono::milliseconds(5))) {
            std::size_t n = 0;
            for (std::size_t e = 0; e < fleet->edges(); ++e)
                fleet->with_edge(e, [&](edge::Server &s) {
                    n += s.planner_client()->replica().cluster_state().names.contains(name) ==
                         exists;
                });
            if (n == fleet->edges())
                return;
        }
        FAIL("timeout: not every edge has learned that " << name
                                                         << (exists ? " exists" : " is dropped"));
    }
};

} // namespace

TEST_SUITE("snapshots on sockets") {
    TEST_CASE(
        "a snapshot is exported read-only and unaffected by later writes, and can be cloned and "
        "dropped") {
        PlannedGateway gateway;
        Client c(gateway.uri("members"));
        std::string before(1 << 20, 'b'), after(1 << 20, 'a');
        REQUIRE(c.write(0, before) == 0);
        REQUIRE(gateway.request_snapshot(Operation::take, "members", "one"));
        CHECK(c.write(0, after) == 0);
        gateway.wait_until_known("members@one");
        Client list;
        nbd_set_opt_mode(list.h, true);
        REQUIRE(nbd_connect_uri(list.h, gateway.uri("members", 1).c_str()) == 0);
        std::vector<std::string> names;
        nbd_list_callback each{[](void *to, const char *name, const char *) {
                                   static_cast<std::vector<std::string> *>(to)->push_back(name);
                                   return 0;
                               },
                               &names, nullptr};
        CHECK(nbd_opt_list(list.h, each) == 3);
        CHECK(names == std::vector<std::string>{"members", "members@one", "reports"});
        nbd_opt_abort(list.h);
        {
            Client s;
            nbd_add_meta_context(s.h, LIBNBD_CONTEXT_BASE_ALLOCATION);
            REQUIRE(nbd_connect_uri(s.h, gateway.uri("members@one", 1).c_str()) == 0);
            CHECK(nbd_is_read_only(s.h) == 1);
            CHECK(nbd_get_size(s.h) == 256 << 20);
            CHECK(s.read(0, before.size()) == before);
            nbd_set_strict_mode(s.h, 0);
            CHECK(s.write(0, "no") != 0);
            std::vector<std::uint32_t> runs;
            nbd_extent_callback extent{[](void *to, const char *, std::uint64_t,
                                          std::uint32_t *entries, std::size_t n, int *) {
                                           static_cast<std::vector<std::uint32_t> *>(to)->assign(
                                               entries, entries + n);
                                           return 0;
                                       },
                                       &runs, nullptr};
            CHECK(nbd_block_status(s.h, 256 << 10, 512 << 10, extent, 0) == 0);
            CHECK(runs == std::vector<std::uint32_t>{256 << 10, 0});
            CHECK(nbd_block_status(s.h, 256 << 10, 2 << 20, extent, 0) == 0);
            CHECK(runs == std::vector<std::uint32_t>{256 << 10, 3});
            // Dropping a snapshot in use is refused, and the answer names its user.
            std::string why;
            CHECK(!gateway.request_snapshot(Operation::drop, "members@one", "", &why));
            CHECK(why == "members@one is in use by clients of edge 1");
        }
        REQUIRE(gateway.request_snapshot(Operation::clone, "members@one", "test"));
        gateway.wait_until_known("test");
        Client w(gateway.uri("test", 1));
        CHECK(w.read(0, before.size()) == before);
        CHECK(w.write(4096, std::string(8192, 'c')) == 0);
        CHECK(nbd_flush(w.h, 0) == 0);
        CHECK(w.read(4096, 512) == std::string(512, 'c'));
        CHECK(c.read(4096, 512) == std::string(512, 'a'));
        std::string text;
        CHECK(gateway.request_snapshot(Operation::compare, "members@one", "test", &text));
        CHECK(text == "8192 bytes in 1 ranges differ\n4096 8192");
        // Dropped once no client has it open; the clone stays.
        for (int i = 0; i < 200 && !gateway.request_snapshot(Operation::drop, "members@one"); ++i)
            std::this_thread::sleep_for(std::chrono::milliseconds(10));
        gateway.wait_until_known("members@one", false);
        CHECK(w.read(0, 512) == std::string(512, 'b'));
        Client gone(gateway.uri("members@one"));
        CHECK(nbd_aio_is_ready(gone.h) == 0);
    }
    TEST_CASE("a snapshot under load through two edges holds a prefix of each client's writes, cut "
              "at one "
              "point for all") {
        PlannedGateway gateway;
        // Each client writes an increasing number, one block after the other. A snapshot with a
        // client's write n must have all its earlier writes, and every write that was acknowledged
        // to any client before the snapshot was requested.
        constexpr int clients = 4, blocks = 64;
        std::atomic<bool> over = false;
        std::atomic<std::uint64_t> answered[clients]{};
        std::vector<std::thread> threads;
        for (int i = 0; i < clients; ++i)
            threads.emplace_back([&, i] {
                Client c(gateway.uri("members", static_cast<std::size_t>(i % 2)));
                for (std::uint64_t n = 1; !over; ++n) {
                    std::string data(4096, '\0');
                    std::memcpy(data.data(), &n, sizeof n);
                    if (c.write(static_cast<std::uint64_t>(i) * (8 << 20) + n % blocks * (64 << 10),
                                data) != 0)
                        return;
                    answered[i] = n;
                }
            });
        std::vector<std::array<std::uint64_t, clients>> acknowledged_before, sent_by_return;
        for (int s = 0; s < 5; ++s) {
            std::this_thread::sleep_for(std::chrono::milliseconds(60));
            auto &a = acknowledged_before.emplace_back();
            for (int i = 0; i < clients; ++i)
                a[static_cast<std::size_t>(i)] = answered[i];
            CHECK(gateway.request_snapshot(Operation::take, "members", std::to_string(s)));
            auto &b = sent_by_return.emplace_back();
            for (int i = 0; i < clients; ++i)
                b[static_cast<std::size_t>(i)] = answered[i] + 1; // one write may be in flight
        }
        over = true;
        for (auto &t : threads)
            t.join();
        for (std::size_t s = 0; s < 5; ++s) {
            auto name = "members@" + std::to_string(s);
            gateway.wait_until_known(name);
            Client c(gateway.uri(name));
            for (std::uint64_t i = 0; i < clients; ++i) {
                std::vector<std::uint64_t> has(blocks);
                for (std::uint64_t b = 0; b < blocks; ++b) {
                    auto data = c.read(i * (8 << 20) + b * (64 << 10), 512);
                    std::memcpy(&has[b], data.data(), 8);
                }
                auto last = *std::max_element(has.begin(), has.end());
                CHECK(last >= acknowledged_before[s][i]);
                CHECK(last <= sent_by_return[s][i]);
                for (std::uint64_t n = last; n > 0 && n + blocks > last; --n)
                    CHECK(has[n % blocks] == n);
            }
        }
    }
    TEST_CASE(
        "a snapshot during which the planner is killed is complete or leaves nothing, and the "
        "next one succeeds") {
        PlannedGateway gateway(1);
        Client c(gateway.uri("members"));
        std::ranlux24_base random(3);
        for (int i = 0; i < 6; ++i) {
            auto name = std::to_string(i);
            std::thread killer([&, wait = random() % 12] {
                std::this_thread::sleep_for(std::chrono::milliseconds(wait));
                gateway.fleet->kill_planner();
            });
            bool done = false;
            try {
                const planner::AdminClient client(gateway.fleet->planner_address(), 5 * sec);
                done = client.snapshot({Operation::take, "members", name, ""}).done;
            } catch (const std::exception &) {
            }
            CHECK(c.write(0, std::string(4096, static_cast<char>('a' + i))) == 0);
            killer.join();
            gateway.fleet->start_planner();
            nlohmann::json s;
            for (int t = 0; t < 500;
                 ++t, std::this_thread::sleep_for(std::chrono::milliseconds(10))) {
                try {
                    s = nlohmann::json::parse(
                        planner::AdminClient(gateway.fleet->planner_address(), sec).status());
                    if (s["cuts_undone"].empty() && s["edges"].size() == 1 &&
                        s["edges"][0]["connected"] == true)
                        break;
                } catch (const std::exception &) {
                }
            }
            CHECK(s["cuts_undone"].empty());
            bool there = false;
            for (auto &cut : s["cuts"])
                there |= cut["name"] == "members@" + name;
            if (done)
                CHECK(there);
            for (std::size_t n = 0; n < 3; ++n)
                gateway.fleet->with_node(n, [&](node::Server &node) {
                    CHECK(node.store().snapshots().size() == s["cuts"].size());
                });
        }
        // Nodes reconnect to a planner within two seconds.
        bool taken = false;
        for (int i = 0; i < 100 && !taken;
             ++i, std::this_thread::sleep_for(std::chrono::milliseconds(50)))
            taken = gateway.request_snapshot(Operation::take, "members", "last");
        CHECK(taken);
    }
}
