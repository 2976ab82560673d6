// End-to-end tests of the gateway with an independent NBD client (libnbd) on loopback sockets.
#include <doctest/doctest.h>

#include <cerrno>
#include <thread>
#include <vector>

#include "helpers.hpp"

using namespace knotvane;

TEST_SUITE("libnbd client") {
    TEST_CASE(
        "written data is read back across extents and nodes, with simple and structured replies") {
        Gateway gateway;
        for (bool structured : {true, false}) {
            Client client;
            nbd_set_request_structured_replies(client.h, structured);
            REQUIRE(nbd_connect_uri(client.h, gateway.uri("members").c_str()) == 0);
            CHECK(nbd_get_structured_replies_negotiated(client.h) == structured);
            std::string data;
            for (int i = 0; data.size() < 1 << 20; ++i)
                data += std::to_string(i * 7 + structured) + ",";
            data.resize(1 << 20);
            CHECK(client.write((300 << 10) + 512, data) == 0);
            CHECK(client.read((300 << 10) + 512, data.size()) == data);
            CHECK(client.write(512, std::string(512, 'z'), LIBNBD_CMD_FLAG_FUA) == 0);
            CHECK(nbd_flush(client.h, 0) == 0);
            CHECK(nbd_shutdown(client.h, 0) == 0);
        }
    }
    TEST_CASE("the handshake supports list, info, go and abort, and refuses an unknown export") {
        Gateway gateway;
        Client client;
        nbd_set_opt_mode(client.h, true);
        REQUIRE(nbd_connect_uri(client.h, gateway.uri("members").c_str()) == 0);
        std::vector<std::string> names;
        nbd_list_callback list{[](void *to, const char *name, const char *) {
                                   static_cast<std::vector<std::string> *>(to)->push_back(name);
                                   return 0;
                               },
                               &names, nullptr};
        CHECK(nbd_opt_list(client.h, list) == 2);
        CHECK(names == std::vector<std::string>{"members", "reports"});
        CHECK(nbd_opt_info(client.h) == 0);
        CHECK(nbd_get_size(client.h) == 256 << 20);
        CHECK(nbd_get_block_size(client.h, LIBNBD_SIZE_MINIMUM) == 512);
        nbd_set_export_name(client.h, "nothing");
        CHECK(nbd_opt_go(client.h) == -1);
        nbd_set_export_name(client.h, "reports");
        CHECK(nbd_opt_go(client.h) == 0);
        CHECK(nbd_get_size(client.h) == 64 << 20);
        Client other_client;
        nbd_set_opt_mode(other_client.h, true);
        REQUIRE(nbd_connect_uri(other_client.h, gateway.uri("members").c_str()) == 0);
        CHECK(nbd_opt_abort(other_client.h) == 0);
    }
    TEST_CASE("64 concurrent reads each return their own data") {
        Gateway gateway;
        Client client(gateway.uri("members"));
        constexpr int n = 64;
        for (int i = 0; i < n; ++i)
            REQUIRE(client.write(i * 70000 / 512 * 512,
                                 std::string(4096, static_cast<char>('A' + i % 50))) == 0);
        std::vector<std::string> got(n, std::string(4096, '\0'));
        std::vector<std::int64_t> cookies;
        for (int i = 0; i < n; ++i)
            cookies.push_back(nbd_aio_pread(client.h, got[static_cast<std::size_t>(i)].data(), 4096,
                                            static_cast<std::uint64_t>(i * 70000 / 512 * 512),
                                            NBD_NULL_COMPLETION, 0));
        while (nbd_aio_in_flight(client.h) > 0 && nbd_poll(client.h, 5000) > 0) {
        }
        for (int i = 0; i < n; ++i) {
            CHECK(nbd_aio_command_completed(
                      client.h, static_cast<std::uint64_t>(cookies[static_cast<std::size_t>(i)])) ==
                  1);
            CHECK(got[static_cast<std::size_t>(i)] ==
                  std::string(4096, static_cast<char>('A' + i % 50)));
        }
    }
    TEST_CASE("trimmed and zeroed ranges read as zeroes, and block status reports where data is") {
        Gateway gateway;
        Client client;
        nbd_add_meta_context(client.h, "base:allocation");
        REQUIRE(nbd_connect_uri(client.h, gateway.uri("reports").c_str()) == 0);
        CHECK(client.write(0, std::string(16384, 'x')) == 0);
        CHECK(nbd_trim(client.h, 4096, 4096, 0) == 0);
        CHECK(nbd_zero(client.h, 4096, 8192, LIBNBD_CMD_FLAG_NO_HOLE) == 0);
        CHECK(client.read(4096, 4096) == std::string(4096, '\0'));
        CHECK(nbd_trim(client.h, 4096, 4096, 0) == 0);
        std::vector<std::uint32_t> runs;
        nbd_extent_callback extents{
            [](void *to, const char *, std::uint64_t, std::uint32_t *e, std::size_t n, int *) {
                static_cast<std::vector<std::uint32_t> *>(to)->assign(e, e + n);
                return 0;
            },
            &runs, nullptr};
        CHECK(nbd_block_status(client.h, 16384, 0, extents, 0) == 0);
        CHECK(runs == std::vector<std::uint32_t>{4096, 0, 4096, 3, 8192, 0});
    }
    TEST_CASE(
        "clients that disconnect with requests in flight, cleanly or not, do not affect others") {
        Gateway gateway(2, 1, fleet::default_scheduling(),
                        "[speed]\nunit_time = 20ms\nslots = 2\n");
        for (bool clean_disconnect : {true, false}) {
            Client client(gateway.uri("members"));
            std::string data(4096, 'q');
            for (std::uint64_t i = 0; i < 8; ++i)
                nbd_aio_pwrite(client.h, data.data(), 4096, i * 262144, NBD_NULL_COMPLETION, 0);
            if (clean_disconnect)
                nbd_aio_disconnect(client.h, 0);
        }
        Client other_client(gateway.uri("members"));
        CHECK(other_client.read(1 << 20, 512).size() == 512);
    }
    TEST_CASE("invalid requests are refused and the connection stays usable") {
        Gateway gateway;
        Client client(gateway.uri("reports"));
        nbd_set_strict_mode(client.h, 0);
        CHECK(client.read(64 << 20, 512) == "error " + std::to_string(EINVAL));
        CHECK(client.write((64 << 20) - 512, std::string(1024, 'x')) == ENOSPC);
        CHECK(client.read(100, 512) == "error " + std::to_string(EINVAL));
        CHECK(client.read(0, 512).size() == 512);
    }
}
