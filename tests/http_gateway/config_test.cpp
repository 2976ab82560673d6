#include <string>
#include <vector>

#include <doctest/doctest.h>

#include "http_gateway/config.hpp"

using namespace knotvane;
using namespace knotvane::http_gateway;

TEST_CASE("a configuration gives settings by the simulator's paths and names in order, and an "
          "error names its field") {
    std::string valid =
        R"({"name":"n","listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"8c1f30d27a5be964",
        "limits":{"sockets":256},"settings":{"Classes":[{"Name":"a b","TargetS":0.15},{"Name":"c"}],"Report":{"Columns":[]},
        "Extra":{"Writes":[false,true]},"Contracts":[],"Zones":["z1","z2"]}})";
    Config config(valid);
    CHECK(config.seed() == 0x8c1f30d27a5be964);
    CHECK(config.settings().count("Classes.count") == 2);
    CHECK(config.settings().number("Classes.0.TargetS") == 0.15);
    CHECK(config.settings().text("Extra.Writes") == "false,true");
    CHECK(config.names("Classes") == std::vector<std::string>{"a b", "c"});
    CHECK(config.names("Zones").size() == 2);
    for (std::string field : {"listen", "discovery", "seed", "sockets", "settings"}) {
        auto invalid = valid;
        invalid.replace(invalid.find("\"" + field), 1, "\"x");
        CHECK_THROWS_WITH_AS(Config{invalid}, doctest::Contains(field.c_str()),
                             scheduler_setup::MalformedInput);
    }
    CHECK(config.max_memory() == 32'000'000);
    auto with_memory = [&](const std::string &limit) {
        auto text = valid;
        return text.replace(text.find("\"sockets\""), 0, "\"memory_mb\":" + limit + ",");
    };
    CHECK(Config{with_memory("192")}.max_memory() == 192'000'000);
    CHECK(Config{with_memory("32.5")}.max_memory() == 32'500'000);
    for (const char *invalid : {"0", "-1", "\"much\"", "1e300", "null"})
        CHECK_THROWS_WITH_AS(Config{with_memory(invalid)}, doctest::Contains("memory_mb"),
                             scheduler_setup::MalformedInput);
    CHECK_THROWS_AS(Config{"[]"}, scheduler_setup::MalformedInput);
    CHECK_THROWS_AS(Config{"{"}, scheduler_setup::MalformedInput);
}
