// Runs the HTTP gateway's fuzz target over a fixed set of inputs, generated from a seed: valid
// messages with bytes changed, truncated and repeated.
#include <cstdint>
#include <cstdio>
#include <random>

#include "../http_gateway/helpers.hpp"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size);

int main() {
    using namespace knotvane::http_gateway;
    const std::string chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    auto endpoint_list = endpoint_list_json(42, endpoint_json("s1", "n1", 5)) + "\n";
    char chunk_header[16];
    std::snprintf(chunk_header, sizeof chunk_header, "%zx\r\n", endpoint_list.size());
    std::string valid_messages[3][2] = {
        {read_request("t1") + write_request("t2", "body"),
         "PUT /write HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n"},
        {http_response(200, "the body"), chunked + "3\r\nabc\r\n0\r\n\r\n"},
        {chunked + chunk_header + endpoint_list + "\r\n1\r\n\n\r\n",
         http_response(200, endpoint_list)}};
    std::ranlux24_base random(1);
    int runs = 4000;
    for (int i = 0; i < runs; ++i) {
        auto source = random() % 3;
        std::string input{static_cast<char>(random()), static_cast<char>(source)};
        input += valid_messages[source][random() % 2];
        for (auto changes = random() % 6; changes > 0; --changes)
            input[2 + random() % (input.size() - 2)] = static_cast<char>(random());
        if (random() % 4 == 0)
            input.resize(3 + random() % (input.size() - 2));
        if (random() % 4 == 0)
            input += input.substr(2 + random() % (input.size() - 2));
        LLVMFuzzerTestOneInput(reinterpret_cast<const std::uint8_t *>(input.data()), input.size());
    }
    std::printf("%d passed, 0 failed\n", runs);
}
