#include "scheduling/least_recently_used.hpp"

#include <doctest/doctest.h>

namespace knotvane::scheduling {
namespace {

TEST_CASE("the oldest key is the one that was used longest ago") {
    LeastRecentlyUsed<int> keys;
    for (int key : {1, 2, 3, 1})
        keys.use(key);
    CHECK(keys.size() == 3);
    for (int oldest : {2, 3, 1}) {
        CHECK(keys.oldest() == oldest);
        keys.remove_oldest();
    }
    CHECK(keys.size() == 0);
}

} // namespace
} // namespace knotvane::scheduling
