// The whole path with a client that is not ours: libnbd on loopback sockets.
#include <doctest/doctest.h>

#include <cerrno>
#include <thread>
#include <vector>

#include "helpers.hpp"

using namespace knotvane;

TEST_SUITE("a real client") {
    TEST_CASE("what is written is read back, across extents and nodes, structured or not") {
        Gateway g;
        for (bool structured : {true, false}) {
            Client c;
            nbd_set_request_structured_replies(c.h, structured);
            REQUIRE(nbd_connect_uri(c.h, g.uri("members").c_str()) == 0);
            CHECK(nbd_get_structured_replies_negotiated(c.h) == structured);
            std::string data;
            for (int i = 0; data.size() < 1 << 20; ++i)
                data += std::to_string(i * 7 + structured) + ",";
            data.resize(1 << 20);
            CHECK(c.write((300 << 10) + 512, data) == 0);
            CHECK(c.read((300 << 10) + 512, data.size()) == data);
            CHECK(c.write(512, std::string(512, 'z'), LIBNBD_CMD_FLAG_FUA) == 0);
            CHECK(nbd_flush(c.h, 0) == 0);
            CHECK(nbd_shutdown(c.h, 0) == 0);
        }
    }
    TEST_CASE("each way through the handshake: list, info, go, an unknown export, an abort") {
        Gateway g;
        Client c;
        nbd_set_opt_mode(c.h, true);
        REQUIRE(nbd_connect_uri(c.h, g.uri("members").c_str()) == 0);
        std::vector<std::string> names;
        nbd_list_callback list{[](void *to, const char *name, const char *) {
                                   static_cast<std::vector<std::string> *>(to)->push_back(name);
                                   return 0;
                               },
                               &names, nullptr};
        CHECK(nbd_opt_list(c.h, list) == 2);
        CHECK(names == std::vector<std::string>{"members", "reports"});
        CHECK(nbd_opt_info(c.h) == 0);
        CHECK(nbd_get_size(c.h) == 256 << 20);
        CHECK(nbd_get_block_size(c.h, LIBNBD_SIZE_MINIMUM) == 512);
        nbd_set_export_name(c.h, "nothing");
        CHECK(nbd_opt_go(c.h) == -1);
        nbd_set_export_name(c.h, "reports");
        CHECK(nbd_opt_go(c.h) == 0);
        CHECK(nbd_get_size(c.h) == 64 << 20);
        Client d;
        nbd_set_opt_mode(d.h, true);
        REQUIRE(nbd_connect_uri(d.h, g.uri("members").c_str()) == 0);
        CHECK(nbd_opt_abort(d.h) == 0);
    }
    TEST_CASE("64 requests in flight come back, each with its own data") {
        Gateway g;
        Client c(g.uri("members"));
        constexpr int n = 64;
        for (int i = 0; i < n; ++i)
            REQUIRE(c.write(i * 70000 / 512 * 512,
                            std::string(4096, static_cast<char>('A' + i % 50))) == 0);
        std::vector<std::string> got(n, std::string(4096, '\0'));
        std::vector<std::int64_t> cookies;
        for (int i = 0; i < n; ++i)
            cookies.push_back(nbd_aio_pread(c.h, got[static_cast<std::size_t>(i)].data(), 4096,
                                            static_cast<std::uint64_t>(i * 70000 / 512 * 512),
                                            NBD_NULL_COMPLETION, 0));
        while (nbd_aio_in_flight(c.h) > 0 && nbd_poll(c.h, 5000) > 0) {
        }
        for (int i = 0; i < n; ++i) {
            CHECK(nbd_aio_command_completed(
                      c.h, static_cast<std::uint64_t>(cookies[static_cast<std::size_t>(i)])) == 1);
            CHECK(got[static_cast<std::size_t>(i)] ==
                  std::string(4096, static_cast<char>('A' + i % 50)));
        }
    }
    TEST_CASE("trim and zeroes read as zeroes, and the map says where data is") {
        Gateway g;
        Client c;
        nbd_add_meta_context(c.h, "base:allocation");
        REQUIRE(nbd_connect_uri(c.h, g.uri("reports").c_str()) == 0);
        CHECK(c.write(0, std::string(16384, 'x')) == 0);
        CHECK(nbd_trim(c.h, 4096, 4096, 0) == 0);
        CHECK(nbd_zero(c.h, 4096, 8192, LIBNBD_CMD_FLAG_NO_HOLE) == 0);
        CHECK(c.read(4096, 4096) == std::string(4096, '\0'));
        CHECK(nbd_trim(c.h, 4096, 4096, 0) == 0);
        std::vector<std::uint32_t> runs;
        nbd_extent_callback extents{
            [](void *to, const char *, std::uint64_t, std::uint32_t *e, std::size_t n, int *) {
                static_cast<std::vector<std::uint32_t> *>(to)->assign(e, e + n);
                return 0;
            },
            &runs, nullptr};
        CHECK(nbd_block_status(c.h, 16384, 0, extents, 0) == 0);
        CHECK(runs == std::vector<std::uint32_t>{4096, 0, 4096, 3, 8192, 0});
    }
    TEST_CASE("a client may leave with requests out, politely or not, and others are served on") {
        Gateway g(2, 1, fleet::default_scheduling(), "[speed]\nunit_time = 20ms\nslots = 2\n");
        for (bool polite : {true, false}) {
            Client c(g.uri("members"));
            std::string data(4096, 'q');
            for (std::uint64_t i = 0; i < 8; ++i)
                nbd_aio_pwrite(c.h, data.data(), 4096, i * 262144, NBD_NULL_COMPLETION, 0);
            if (polite)
                nbd_aio_disconnect(c.h, 0);
        }
        Client d(g.uri("members"));
        CHECK(d.read(1 << 20, 512).size() == 512);
    }
    TEST_CASE("requests that can't be are refused and the connection lives") {
        Gateway g;
        Client c(g.uri("reports"));
        nbd_set_strict_mode(c.h, 0);
        CHECK(c.read(64 << 20, 512) == "error " + std::to_string(EINVAL));
        CHECK(c.write((64 << 20) - 512, std::string(1024, 'x')) == ENOSPC);
        CHECK(c.read(100, 512) == "error " + std::to_string(EINVAL));
        CHECK(c.read(0, 512).size() == 512);
    }
}
