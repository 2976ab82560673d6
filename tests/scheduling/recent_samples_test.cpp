#include "scheduling/recent_samples.hpp"

#include <doctest/doctest.h>

#include <cstddef>

namespace knotvane::scheduling {
namespace {

TEST_CASE("the buffer keeps the last samples, oldest first") {
    RecentSamples<int, 3> samples;
    CHECK(samples.empty());
    CHECK(samples.maximum() == 0);
    CHECK(samples.quantile(0.5) == 0);
    for (int i = 1; i <= 20; ++i) {
        samples.add(i);
        REQUIRE(samples.size() == static_cast<std::size_t>(i < 3 ? i : 3));
        REQUIRE(*(samples.end() - 1) == i);
        REQUIRE(samples.minimum() == (i < 3 ? 1 : i - 2));
        REQUIRE(samples.maximum() == i);
    }
}

TEST_CASE("a quantile is the sample that the given fraction of the samples is below") {
    RecentSamples<int, 5> samples;
    for (int sample : {50, 10, 40, 20, 30})
        samples.add(sample);
    CHECK(samples.quantile(0) == 10);
    CHECK(samples.quantile(0.25) == 20);
    CHECK(samples.quantile(0.5) == 30);
    CHECK(samples.quantile(0.99) == 40);
    CHECK(samples.quantile(1) == 50);
}

} // namespace
} // namespace knotvane::scheduling
