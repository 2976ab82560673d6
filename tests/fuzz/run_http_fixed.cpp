// Runs the HTTP gateway's fuzz target over a fixed, seeded set: good messages with bytes changed,
// cut and repeated.
#include <cstdint>
#include <cstdio>
#include <random>

#include "../http_gateway/helpers.hpp"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size);

int main() {
    using namespace knotvane::http_gateway;
    const std::string chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    auto list = endpoint_list_json(42, endpoint_json("s1", "n1", 5)) + "\n";
    char length[16];
    std::snprintf(length, sizeof length, "%zx\r\n", list.size());
    std::string seeds[3][2] = {
        {read_request("t1") + write_request("t2", "body"),
         "PUT /write HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n"},
        {http_response(200, "the body"), chunked + "3\r\nabc\r\n0\r\n\r\n"},
        {chunked + length + list + "\r\n1\r\n\n\r\n", http_response(200, list)}};
    std::ranlux24_base chance(1);
    int runs = 4000;
    for (int i = 0; i < runs; ++i) {
        auto kind = chance() % 3;
        std::string s{static_cast<char>(chance()), static_cast<char>(kind)};
        s += seeds[kind][chance() % 2];
        for (auto n = chance() % 6; n > 0; --n)
            s[2 + chance() % (s.size() - 2)] = static_cast<char>(chance());
        if (chance() % 4 == 0)
            s.resize(3 + chance() % (s.size() - 2));
        if (chance() % 4 == 0)
            s += s.substr(2 + chance() % (s.size() - 2));
        LLVMFuzzerTestOneInput(reinterpret_cast<const std::uint8_t *>(s.data()), s.size());
    }
    std::printf("%d passed, 0 failed\n", runs);
}
