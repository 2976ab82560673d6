#include "scheduling/windowed_sum.hpp"

#include <doctest/doctest.h>

namespace knotvane::scheduling {
namespace {

TEST_CASE("a sum includes what was added at its start or later, and discards the rest") {
    WindowedSum sum;
    sum.add(1, 0.1);
    sum.add(2, 0.2);
    sum.add(3, 0.4);
    CHECK(sum.sum_since(1) == doctest::Approx(0.7));
    CHECK(sum.sum_since(2) == doctest::Approx(0.6));
    CHECK(sum.sum_since(1) == doctest::Approx(0.6));
    // Exactly 0: no rounding error remains.
    CHECK(sum.sum_since(4) == 0);
}

} // namespace
} // namespace knotvane::scheduling
